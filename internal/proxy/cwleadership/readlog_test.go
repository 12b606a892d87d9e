package cwleadership

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Guards against stale reads that can't be explained afterwards: the log must show
// where each read ran and on what evidence.
func TestServedReadsLogTheirEvidence(t *testing.T) {
	b := newTestGroup(t)
	var lines bytes.Buffer
	b.cfg.Log = log.NewWithOptions(&lines, log.Options{Formatter: log.LogfmtFormatter})
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
	read := func(id string) string {
		t.Helper()
		lines.Reset()
		rd := Read{ArrivedAt: b.clock.Now(), MaxAge: time.Second}
		place, err := b.PlaceRead(context.Background(), rd, b.clock.Now().Add(time.Second))
		qt.Assert(t, err, qt.IsNil)
		place.ID = "c"
		b.LogRead(id, place)
		return lines.String()
	}
	line := read("r1")
	for _, want := range []string{"id=r1", "target=c", "floor=1/100", "basis=primary", "leader=a", "term=1", "members=3", "ageMs=2", "confirmedMs=2"} {
		qt.Assert(t, strings.Contains(line, want), qt.IsTrue, qt.Commentf("%s lacks %s", line, want))
	}
	qt.Assert(t, read("r2"), qt.Equals, "", qt.Commentf("logged a moment ago"))
	b.clock.Advance(readLogInterval / 2)
	b.reportHealth("b", cwgroup.RolePrimary, 2, 100)
	b.reportHealth("c", cwgroup.RoleReplica, 2, 100)
	line = read("r3")
	for _, want := range []string{"leader=b", "term=2", "readsBefore=1"} {
		qt.Assert(t, strings.Contains(line, want), qt.IsTrue, qt.Commentf("%s lacks %s", line, want))
	}
}
