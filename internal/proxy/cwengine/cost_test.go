package cwengine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Every question to a target takes one of the few statements that it runs at
// once, and a proxy that asks for each commit or read slows all of them. The
// load is one session that writes and reads every 20 ms for four seconds.
//
// Before the traffic's own answers counted as confirmations: 13 questions a
// second and group, and two for each commit.
func TestQuestionsUnderTraffic(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadOwnWrites)
	e := w.engine("x")
	w.settled(e)
	s := w.session(e)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 0"))
	before := w.group.Questions()
	const commits = 100
	for range commits {
		succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		reads(w.c, s.ask(cwstatement.Read, "READ i"), "1")
		w.clock.Sleep(20 * time.Millisecond)
	}
	asked := w.group.Questions() - before
	t.Logf("%d questions for %d commits and as many reads", asked, commits)
	w.c.Assert(asked < 3*commits/2, qt.IsTrue, qt.Commentf("%d questions", asked))
}

// On the busiest day a clerk is told that the database is lost, though it
// answers everybody who has a connection. The database had as many connections
// as it takes; the fresh one that was to tell whether it lives was refused.
func TestFullTargetIsNotLost(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	e := w.engine("x")
	w.settled(e)
	s := w.session(e)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	w.group.LimitConnections("a", 1)
	g, _ := e.Group(testService)
	g.Suspect("a")
	w.clock.Sleep(500 * time.Millisecond)
	reads(w.c, s.ask(cwstatement.Read, "READ i"), "1")
	w.c.Assert(w.group.Promotions(), qt.HasLen, 0)
}
