package cwcommand

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguestore"
)

// Guards against a line of the history that an operator's note has forged, and against texts of
// callers that control the terminal of whoever counts losses.
func TestTextsOfOthersStayInTheirLine(t *testing.T) {
	var out bytes.Buffer
	printChange(&out, cwcataloguestore.Change{Who: "ana\r\n", Note: "ok\n2026-01-01T00:00:00Z  eva: revision 9", Summary: []string{"a\x1b[2J"}})
	qt.Assert(t, strings.Count(out.String(), "\n"), qt.Equals, 2)
	log := `time=2026-01-01T00:00:00Z msg=statementFailed id=1 code=noDatabase why="no entry is named \u001b[2J\nx" tookMs=0`
	lines, err := parseLog("front", strings.NewReader(log))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, printLosses(&out, countLosses(lines, time.Second)), qt.IsNil)
	qt.Assert(t, strings.ContainsAny(out.String(), "\x1b\r"), qt.IsFalse)
	qt.Assert(t, strings.Count(out.String(), "\n"), qt.Equals, 4)
}
