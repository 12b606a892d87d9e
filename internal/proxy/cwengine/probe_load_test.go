package cwengine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Guards against too many status requests to targets. Each of them takes one of the few
// statements that a target runs at once, so a proxy that sends one for each commit or
// read slows all statements down. The load is one session that writes and reads every
// 20 ms for four seconds.
//
// Before answers to ordinary statements counted as confirmations, a group received 13
// status requests a second and two more for each commit.
func TestStatusRequestsUnderTraffic(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadYourWrites)
	e := env.engine("x")
	env.waitForPrimary(e)
	s := env.session(e)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 0"))
	before := env.group.HealthChecks()
	const commits = 100
	for range commits {
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
		assertRead(env.c, s.ask(cwstatement.Read, "READ i"), "1")
		env.clock.Sleep(20 * time.Millisecond)
	}
	requests := env.group.HealthChecks() - before
	t.Logf("%d status requests for %d commits and as many reads", requests, commits)
	env.c.Assert(requests < 3*commits/2, qt.IsTrue, qt.Commentf("%d status requests", requests))
}

// Guards against a target that is considered lost although it serves all its open
// connections. It had as many connections as it accepts, and refused the new one with
// which it was probed.
func TestFullTargetIsNotLost(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	env.waitForPrimary(e)
	s := env.session(e)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	env.group.LimitConnections("a", 1)
	g, _ := e.Group(testService)
	g.Probe("a")
	env.clock.Sleep(500 * time.Millisecond)
	assertRead(env.c, s.ask(cwstatement.Read, "READ i"), "1")
	env.c.Assert(env.group.Promotions(), qt.HasLen, 0)
}
