package cwrequestkey

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestClassify(t *testing.T) {
	for _, tc := range []struct {
		name string
		row  Row
		want RowMeaning
	}{
		{"no row", Row{}, Absent},
		{"done", Row{Found: true, Digest: "d", State: StateDone}, Replay},
		{"other request, done", Row{Found: true, Digest: "x", State: StateDone}, Mismatch},
		{"tombstone", Row{Found: true, Digest: "d", State: TombstoneState("1")}, Tombstoned},
	} {
		t.Run(tc.name, func(t *testing.T) { qt.Assert(t, Classify(tc.row, "d"), qt.Equals, tc.want) })
	}
}

func TestDigestSeparatesParts(t *testing.T) {
	a := Digest([]byte("ab"), []byte("c"))
	qt.Assert(t, a, qt.Not(qt.Equals), Digest([]byte("a"), []byte("bc")))
	qt.Assert(t, a, qt.Equals, Digest([]byte("ab"), []byte("c")))
}

func TestCheckKey(t *testing.T) {
	qt.Assert(t, CheckKey("booking-17"), qt.IsNil)
	for _, invalid := range []string{"", strings.Repeat("k", MaxKeyLen+1), "a\nb", "a\x00"} {
		var ke *KeyError
		qt.Assert(t, CheckKey(invalid), qt.ErrorAs, &ke)
	}
}
