package cwholder

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestWorkspaceAffinity(t *testing.T) {
	holders := instances(3, "a")
	at := time.Unix(1000, 0)
	first := func(a *WorkspaceAffinity, workspace string) string {
		id := a.Order(workspace, "g", holders, at)[0].ID
		a.Record(id, at)
		return id
	}
	t.Run("all instances choose the same holder", func(t *testing.T) {
		var x, y WorkspaceAffinity
		chosen := make(map[string]bool)
		for w := range 20 {
			id := first(&x, fmt.Sprint(w))
			qt.Assert(t, y.Order(fmt.Sprint(w), "g", holders, at)[0].ID, qt.Equals, id)
			chosen[id] = true
			x = WorkspaceAffinity{}
		}
		qt.Assert(t, chosen, qt.HasLen, len(holders))
	})
	t.Run("a workspace with many statements uses all holders", func(t *testing.T) {
		var a WorkspaceAffinity
		count := make(map[string]int)
		for range 900 {
			count[first(&a, "heavy")]++
		}
		for id, n := range count {
			qt.Check(t, n <= 900/2, qt.IsTrue, qt.Commentf("%s: %d", id, n))
		}
	})
	t.Run("past load does not count", func(t *testing.T) {
		var a WorkspaceAffinity
		preferred := first(&a, "w")
		for range 900 {
			a.Record(preferred, at)
		}
		qt.Assert(t, a.Order("w", "g", holders, at)[0].ID, qt.Not(qt.Equals), preferred)
		qt.Assert(t, a.Order("w", "g", holders, at.Add(time.Minute))[0].ID, qt.Equals, preferred)
		qt.Assert(t, a.Order("w", "g", holders, at.Add(5*time.Minute))[0].ID, qt.Equals, preferred)
		qt.Assert(t, a.load, qt.HasLen, 0)
	})
}
