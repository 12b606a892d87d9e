package cwengine

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// keyBound is the time within which a revoked key must be out of use in these tests.
const keyBound = 5 * time.Second

// keyedEnv is a test environment whose callers need keys.
type keyedEnv struct {
	*testEnv
	engine *Engine
	// confirmed is the time at which the store last confirmed the catalogue, in
	// nanoseconds since the Unix epoch; zero stands for the present.
	confirmed atomic.Int64
	revision  cwcatalogue.Revision
}

func newKeyedEnv(t *testing.T) *keyedEnv {
	o := &keyedEnv{testEnv: newTestEnv(t, cwcatalogue.ReadNewest), revision: 1}
	o.engine = o.engineWithConfig("front", o.configureKeys)
	o.setKeys(map[string][]string{"north": {"n1", "n2"}, "south": {"s1"}})
	o.waitForPrimary(o.engine)
	return o
}

func (o *keyedEnv) configureKeys(cfg *Config) {
	cfg.KeyBound = keyBound
	cfg.Confirmed = func() time.Time {
		if at := o.confirmed.Load(); at != 0 {
			return time.Unix(0, at)
		}
		return o.clock.Now()
	}
}

// setKeys puts a catalogue with workspaces and their keys in force.
func (o *keyedEnv) setKeys(keys map[string][]string) {
	o.revision++
	c := cwcatalogue.Catalogue{Revision: o.revision, Entries: []cwcatalogue.Entry{o.entry}, Keyed: true}
	for name, list := range keys {
		w := cwcatalogue.Workspace{Name: name}
		for _, k := range list {
			w.Keys = append(w.Keys, cwcatalogue.DigestOf(k))
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	o.engine.SetCatalogue(c)
}

func (o *keyedEnv) caller(key string) *testCaller { return o.sessionFor(o.engine, key) }

// assertedWorkspace returns the workspace for which a statement ran, and asserts that it
// ran once.
func (o *keyedEnv) assertedWorkspace(id string) string {
	o.c.Helper()
	var out []string
	for _, ran := range o.group.Contexts() {
		if ran.ID == id {
			out = append(out, ran.Workspace)
		}
	}
	o.c.Assert(out, qt.HasLen, 1, qt.Commentf("runs of %s", id))
	return out[0]
}

func (o *keyedEnv) assertNeverRan(id string) {
	o.c.Helper()
	for _, ran := range o.group.Contexts() {
		o.c.Assert(ran.ID, qt.Not(qt.Equals), id)
	}
}

func assertUnauthorised(c *qt.C, a cwstatement.Answer) {
	c.Helper()
	c.Assert(a.Code, qt.Equals, cwstatement.Unauthorised, qt.Commentf("%s", a.Detail))
}

func TestKeys(t *testing.T) {
	t.Run("an unknown key opens no session", func(t *testing.T) {
		o := newKeyedEnv(t)
		for _, key := range []string{"", "x", "n1 "} {
			a := o.engine.admit(cwport.Startup{Database: testDatabase, Key: cwcatalogue.DigestOf(key)})
			assertUnauthorised(o.c, a)
		}
		a := o.engine.admit(cwport.Startup{Database: testDatabase, Key: cwcatalogue.DigestOf("n2")})
		assertOK(o.c, a)
	})
	t.Run("statements run for the workspace of the key", func(t *testing.T) {
		o := newKeyedEnv(t)
		north, south := o.caller("n1"), o.caller("s1")
		assertOK(o.c, north.ask(cwstatement.Write, "WRITE a 1"))
		assertOK(o.c, south.ask(cwstatement.Write, "WRITE b 1"))
		assertOK(o.c, o.caller("n2").ask(cwstatement.Read, "READ a"))
		o.c.Assert(o.assertedWorkspace("WRITE a 1"), qt.Equals, "north")
		o.c.Assert(o.assertedWorkspace("WRITE b 1"), qt.Equals, "south")
		o.c.Assert(o.assertedWorkspace("READ a"), qt.Equals, "north")
	})
	t.Run("a public entry needs none", func(t *testing.T) {
		o := newKeyedEnv(t)
		o.entry.Public = true
		o.setKeys(map[string][]string{"north": {"n1"}})
		assertOK(o.c, o.caller("anybody").ask(cwstatement.Write, "WRITE a 1"))
		o.c.Assert(o.assertedWorkspace("WRITE a 1"), qt.Equals, "")
	})
	t.Run("a holder runs them for the same workspace", func(t *testing.T) {
		o := newKeyedEnv(t)
		o.engine = o.engineWithConfig("through", func(cfg *Config) {
			o.configureKeys(cfg)
			cfg.Holders = &forwardingHolders{list: []*testHolder{{name: "front", engine: o.engine}}}
		})
		o.setKeys(map[string][]string{"north": {"n1"}})
		s := o.caller("n1")
		assertOK(o.c, s.ask(cwstatement.Write, "WRITE a 1"))
		assertOK(o.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(o.c, s.ask(cwstatement.Write, "WRITE b 1"))
		assertOK(o.c, s.ask(cwstatement.Commit, "COMMIT"))
		o.c.Assert(o.assertedWorkspace("WRITE a 1"), qt.Equals, "north")
		o.c.Assert(o.assertedWorkspace("WRITE b 1"), qt.Equals, "north")
	})
}

// Guards against a revoked key that stays usable through open sessions, because the key
// was checked only when they began.
func TestKeyThatIsTakenAway(t *testing.T) {
	t.Run("its open session is refused", func(t *testing.T) {
		o := newKeyedEnv(t)
		s := o.caller("n1")
		assertOK(o.c, s.ask(cwstatement.Write, "WRITE a 1"))
		o.setKeys(map[string][]string{"north": {"n2"}})
		a := s.tryAsk(cwstatement.Write, "WRITE a 2")
		o.c.Assert(a.Code, qt.Not(qt.Equals), cwstatement.OK)
		o.assertNeverRan("WRITE a 2")
		assertOK(o.c, o.caller("n2").ask(cwstatement.Write, "WRITE a 3"))
	})
	t.Run("its open transaction keeps nothing", func(t *testing.T) {
		o := newKeyedEnv(t)
		s := o.caller("n1")
		assertOK(o.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(o.c, s.ask(cwstatement.Write, "WRITE a 1"))
		o.setKeys(map[string][]string{"north": {"n2"}})
		a := s.tryAsk(cwstatement.Commit, "COMMIT")
		o.c.Assert(a.Code, qt.Not(qt.Equals), cwstatement.OK)
		o.c.Assert(o.group.Value("a"), qt.Equals, "")
	})
	t.Run("it may come back", func(t *testing.T) {
		o := newKeyedEnv(t)
		o.setKeys(map[string][]string{"north": {"n2"}})
		assertUnauthorised(o.c, o.engine.admit(cwport.Startup{Database: testDatabase, Key: cwcatalogue.DigestOf("n1")}))
		o.setKeys(map[string][]string{"north": {"n1"}})
		assertOK(o.c, o.caller("n1").ask(cwstatement.Write, "WRITE a 1"))
	})
	t.Run("it may move to another workspace", func(t *testing.T) {
		o := newKeyedEnv(t)
		s := o.caller("n1")
		assertOK(o.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(o.c, s.ask(cwstatement.Write, "WRITE a 1"))
		o.setKeys(map[string][]string{"south": {"n1"}})
		assertNothingKept(o.c, s.ask(cwstatement.Commit, "COMMIT"))
		o.c.Assert(o.group.Value("a"), qt.Equals, "")
		assertOK(o.c, s.ask(cwstatement.Write, "WRITE a 2"))
		o.c.Assert(o.assertedWorkspace("WRITE a 2"), qt.Equals, "south")
	})
}

// Guards against a revoked key that stays usable at an instance that is cut off from the
// store, or was suspended, and has not learned of the revocation. The instance must not
// rely on a catalogue older than the bound for keys.
func TestKeysAreNotTrustedForLong(t *testing.T) {
	o := newKeyedEnv(t)
	s := o.caller("n1")
	assertOK(o.c, s.ask(cwstatement.Begin, "BEGIN"))
	assertOK(o.c, s.ask(cwstatement.Write, "WRITE a 1"))
	o.confirmed.Store(o.clock.Now().UnixNano())
	o.clock.Advance(keyBound)
	assertNothingKept(o.c, s.ask(cwstatement.Commit, "COMMIT"))
	assertNothingKept(o.c, s.ask(cwstatement.Write, "WRITE a 2"))
	assertNothingKept(o.c, o.engine.admit(cwport.Startup{Database: testDatabase, Key: cwcatalogue.DigestOf("n1")}))
	o.c.Assert(o.engine.Ready(), qt.IsFalse)
	o.assertNeverRan("WRITE a 2")
	o.c.Assert(o.group.Value("a"), qt.Equals, "")
	o.confirmed.Store(0)
	o.c.Assert(o.engine.Ready(), qt.IsTrue)
	assertOK(o.c, s.ask(cwstatement.Write, "WRITE a 3"))
}

// testMeter allows a fixed number of operations.
type testMeter struct{ remaining atomic.Int64 }

func (m *testMeter) Take(string) cwport.Verdict {
	if m.remaining.Add(-1) < 0 {
		return cwport.Verdict{RetryAfter: time.Second}
	}
	return cwport.Verdict{Allowed: true}
}

// Checks what counts as an operation. With a quota of three operations, a transaction of
// many statements is one of them. The fourth operation is refused without having run, at
// once and with a retry delay.
func TestOperationsAreCounted(t *testing.T) {
	o := newKeyedEnv(t)
	m := &testMeter{}
	m.remaining.Store(3)
	o.engine.cfg.Meter = m
	o.engine.mu.Lock()
	o.engine.access.quotas["north"] = cwcatalogue.Quota{Rate: 3}
	o.engine.mu.Unlock()
	s := o.caller("n1")
	assertOK(o.c, s.ask(cwstatement.Begin, "BEGIN"))
	for _, text := range []string{"WRITE a 1", "WRITE b 1", "WRITE c 1"} {
		assertOK(o.c, s.ask(cwstatement.Write, text))
	}
	assertOK(o.c, s.ask(cwstatement.Commit, "COMMIT"))
	assertOK(o.c, s.ask(cwstatement.Read, "READ a"))
	assertOK(o.c, s.ask(cwstatement.Write, "WRITE a 2"))
	a := s.ask(cwstatement.Write, "WRITE a 3")
	o.c.Assert(a.Code, qt.Equals, cwstatement.Busy)
	o.c.Assert(a.Detail, qt.Matches, ".*notRun=true retryAfterMs=1000")
	o.assertNeverRan("WRITE a 3")
	assertOK(o.c, o.caller("s1").ask(cwstatement.Write, "WRITE d 1"))
}

// Guards against a deadlock between a probe and a change of the list of targets.
func TestProbeAsksWithoutTheLockHeld(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	var mu sync.Mutex
	e := w.engineWithConfig("x", func(cfg *Config) {
		cfg.KeyBound = time.Hour
		cfg.Confirmed = func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return w.clock.Now()
		}
	})
	e.SetCatalogue(cwcatalogue.Catalogue{Revision: 2, Keyed: true, Entries: []cwcatalogue.Entry{w.entry}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() {
			for range 20_000 {
				e.Ready()
			}
		})
		for range 20_000 {
			mu.Lock()
			e.ChangeListings(nil, nil)
			mu.Unlock()
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("deadlock between a probe and a change of the list of targets")
	}
}
