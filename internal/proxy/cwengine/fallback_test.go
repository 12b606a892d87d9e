package cwengine

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// fallbackHolders makes an instance hold every group, and forward statements to other
// instances if it cannot run them itself. It implements cwport.Holders.
type fallbackHolders struct {
	self string
	list []*testHolder
}

func (h *fallbackHolders) Holder(_ string, _ cwholder.TargetCapacity, tried []string) (cwport.Holder, bool) {
	if !slices.Contains(tried, h.self) {
		return nil, false
	}
	for _, to := range h.list {
		if !slices.Contains(tried, to.Name()) {
			return to, true
		}
	}
	return nil, false
}

func (h *fallbackHolders) Connect(string, cwholder.TargetCapacity) {}

func (h *fallbackHolders) HolderRank(string, cwholder.TargetCapacity) (int, bool) { return 0, true }

// newFallbackSession returns a caller's session at an instance x that holds the group.
// Another holder, y, is available to x as a fallback.
func newFallbackSession(t *testing.T, rule cwcatalogue.ReadConsistency) (*testEnv, *fallbackCaller) {
	env := newTestEnv(t, rule)
	y := &testHolder{name: "y", engine: env.engine("y")}
	x := env.engineWithHolders("x", &fallbackHolders{self: "x", list: []*testHolder{y}})
	env.waitForPrimary(x)
	env.waitForPrimary(y.engine)
	s := &fallbackCaller{testCaller: env.session(x), engine: x, helper: y.engine}
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	return env, s
}

// fallbackCaller is a caller's session with the engines that can serve it.
type fallbackCaller struct {
	*testCaller
	// engine is the caller's instance, helper the one that it can fall back to.
	engine, helper *Engine
}

// keepWriting makes a caller of an engine write until the test ends, so that the
// replicas are seen to follow the primary.
func (env *testEnv) keepWriting(e *Engine) {
	other := env.session(e)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				other.tryAsk(cwstatement.Write, "WRITE other 1")
				env.clock.Sleep(20 * time.Millisecond)
			}
		}
	}()
	env.c.Cleanup(func() { close(stop); <-done })
}

// assertServesAll asserts that statements of every kind are served, after those that were
// in progress when a path was cut have ended.
func (env *testEnv) assertServesAll(s *fallbackCaller) {
	env.c.Helper()
	env.eventually("a write is served", func() bool { return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK })
	for range 5 {
		assertRead(env.c, s.ask(cwstatement.Read, "READ i"), "2")
	}
	assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
	assertRead(env.c, s.ask(cwstatement.Read, "READ i"), "2")
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 3"))
	assertOK(env.c, s.ask(cwstatement.Commit, "COMMIT"))
	assertRead(env.c, s.ask(cwstatement.Read, "READ i"), "3")
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 2"))
}

// Guards against an instance that holds a group, loses its path to the primary and
// refuses its callers for as long as that lasts, although another instance that it
// knows reaches every member. Such an instance must forward statements to the other one.
func TestInstanceForwardsWithoutPathToPrimary(t *testing.T) {
	for _, rule := range []cwcatalogue.ReadConsistency{cwcatalogue.ReadLatest, cwcatalogue.ReadYourWrites} {
		t.Run(string(rule), func(t *testing.T) {
			env, s := newFallbackSession(t, rule)
			env.keepWriting(s.helper)
			env.group.Cut("x", "a", true)
			env.assertServesAll(s)
			env.clock.Sleep(2 * env.entry.Contract.MaxAge)
			env.assertServesAll(s)
			env.c.Assert(env.group.Promotions(), qt.HasLen, 0)
			env.group.Cut("x", "a", false)
			env.clock.Sleep(time.Second)
			env.assertServesAll(s)
		})
	}
}

// The same when most members are unreachable. The instance uses no other group, so it
// also closes its idle sessions; each step therefore has a session of its own. Callers
// must be served until they have left.
func TestIsolatedInstanceForwardsStatements(t *testing.T) {
	env, s := newFallbackSession(t, cwcatalogue.ReadLatest)
	e := s.engine
	for _, member := range []string{"a", "b"} {
		env.group.Cut("x", member, true)
	}
	env.eventually("a write is served", func() bool {
		return env.session(e).tryAsk(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK
	})
	served := 0
	for range 20 {
		if env.session(e).tryAsk(cwstatement.Read, "READ i").Code == cwstatement.OK {
			served++
		}
	}
	env.c.Assert(served >= 15, qt.IsTrue, qt.Commentf("%d of 20 reads are served", served))
}

// Guards against a write of unknown outcome that could have been refused as not run: the
// instance reaches the primary but no other member, and knows it, so no member can
// acknowledge the write.
func TestWriteIsRefusedWithoutAMajority(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	env.waitForPrimary(e)
	g, _ := e.Group(testService)
	env.group.Cut("x", "b", true)
	env.group.Cut("x", "c", true)
	for _, id := range []string{"b", "c"} {
		g.Probe(memberID(id))
	}
	env.eventually("both members are known to be unreachable", g.MajorityUnreachable)
	a := env.session(e).tryAsk(cwstatement.Write, "WRITE i 1")
	assertNothingKept(env.c, a)
	env.c.Assert(env.group.CommandCount("WRITE i 1"), qt.Equals, 0)
}
