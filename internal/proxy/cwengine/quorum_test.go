package cwengine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

var readRules = []cwcatalogue.ReadConsistency{cwcatalogue.ReadLatest, cwcatalogue.ReadBoundedStaleness, cwcatalogue.ReadYourWrites}

// newSessionWithoutStore returns a caller's session at an instance whose table is then made
// unavailable. A primary that the test cuts off afterwards cannot be replaced.
func newSessionWithoutStore(t *testing.T, rule cwcatalogue.ReadConsistency) (*testEnv, *Engine, *testCaller) {
	env := newTestEnv(t, rule)
	e := env.engine("x")
	env.waitForPrimary(e)
	s := env.session(e)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	env.table.mu.Lock()
	env.table.unavailable = true
	env.table.mu.Unlock()
	return env, e, s
}

// Guards against reads that are refused for as long as the primary is lost and the platform's
// store is unavailable. Two members that have the data are reachable, and nothing can have
// been written since.
func TestReadsContinueWithoutAPrimary(t *testing.T) {
	for _, rule := range readRules {
		t.Run(string(rule), func(t *testing.T) {
			env, _, s := newSessionWithoutStore(t, rule)
			env.group.Cut("x", "a", true)
			env.clock.Sleep(2 * env.entry.Contract.MaxAge)
			assertRead(env.c, s.ask(cwstatement.Read, "READ i"), "1")
			assertOK(env.c, s.ask(cwstatement.BeginRead, "BEGIN READ"))
			assertRead(env.c, s.ask(cwstatement.Read, "READ i"), "1")
			assertOK(env.c, s.ask(cwstatement.Commit, "COMMIT"))
			assertNothingKept(env.c, s.ask(cwstatement.Write, "WRITE i 2"))
			env.c.Assert(env.group.Promotions(), qt.HasLen, 0)
		})
	}
}

// Guards against a read without a primary that misses an acknowledged write. The write was
// confirmed by one replica, and the read goes to the other one, which has not received it.
func TestReadWithoutAPrimaryMissesNothing(t *testing.T) {
	for _, rule := range readRules {
		t.Run(string(rule), func(t *testing.T) {
			env, _, s := newSessionWithoutStore(t, rule)
			env.group.SetReceiveStopped("b", true)
			assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 2"))
			env.group.Cut("x", "a", true)
			env.clock.Sleep(2 * env.entry.Contract.MaxAge)
			for range 10 {
				assertRead(env.c, s.ask(cwstatement.Read, "READ i"), "2")
			}
		})
	}
}

// Checks that a read is refused at once when the primary and the replica with the newest write
// are lost together. Whether the last member has every write cannot be known.
func TestReadWithoutAQuorumIsRefused(t *testing.T) {
	env, e, s := newSessionWithoutStore(t, cwcatalogue.ReadLatest)
	env.group.SetReceiveStopped("b", true)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 2"))
	env.group.Cut("x", "a", true)
	env.group.Cut("x", "c", true)
	env.clock.Sleep(2 * time.Second)
	assertNothingKept(env.c, env.session(e).tryAsk(cwstatement.Read, "READ i"))
}
