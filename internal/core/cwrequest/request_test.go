package cwrequest

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestJudge(t *testing.T) {
	for _, tc := range []struct {
		name string
		row  Row
		want Verdict
	}{
		{"not there", Row{}, Absent},
		{"done", Row{Found: true, Digest: "d", State: StateDone}, Replay},
		{"done by another request", Row{Found: true, Digest: "x", State: StateDone}, Mismatch},
		{"a tombstone", Row{Found: true, Digest: "d", State: Tombstone("1")}, Buried},
	} {
		t.Run(tc.name, func(t *testing.T) { qt.Assert(t, Judge(tc.row, "d"), qt.Equals, tc.want) })
	}
}

func TestDigestKeepsPartsApart(t *testing.T) {
	a := Digest([]byte("ab"), []byte("c"))
	qt.Assert(t, a, qt.Not(qt.Equals), Digest([]byte("a"), []byte("bc")))
	qt.Assert(t, a, qt.Equals, Digest([]byte("ab"), []byte("c")))
}

func TestCheckKey(t *testing.T) {
	qt.Assert(t, CheckKey("booking-17"), qt.IsNil)
	for _, bad := range []string{"", strings.Repeat("k", MaxKeyLen+1), "a\nb", "a\x00"} {
		var ke *KeyError
		qt.Assert(t, CheckKey(bad), qt.ErrorAs, &ke)
	}
}
