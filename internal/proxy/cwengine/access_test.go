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
	env := &keyedEnv{testEnv: newTestEnv(t, cwcatalogue.ReadLatest), revision: 1}
	env.engine = env.engineWithConfig("front", env.configureKeys)
	env.setKeys(map[string][]string{"north": {"n1", "n2"}, "south": {"s1"}})
	env.waitForPrimary(env.engine)
	return env
}

func (env *keyedEnv) configureKeys(cfg *Config) {
	cfg.KeyRevocationBound = keyBound
	cfg.CatalogueConfirmedAt = func() time.Time {
		if at := env.confirmed.Load(); at != 0 {
			return time.Unix(0, at)
		}
		return env.clock.Now()
	}
}

// setKeys puts a catalogue with workspaces and their keys in force.
func (env *keyedEnv) setKeys(keys map[string][]string) {
	env.revision++
	c := cwcatalogue.Catalogue{Revision: env.revision, Entries: []cwcatalogue.Entry{env.entry}, KeyRequired: true}
	for name, list := range keys {
		w := cwcatalogue.Workspace{Name: name}
		for _, k := range list {
			w.Keys = append(w.Keys, cwcatalogue.DigestOf(k))
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	env.engine.SetCatalogue(c)
}

func (env *keyedEnv) caller(key string) *testCaller { return env.sessionFor(env.engine, key) }

// assertedWorkspace returns the workspace for which a statement ran, and asserts that it
// ran once.
func (env *keyedEnv) assertedWorkspace(id string) string {
	env.c.Helper()
	var out []string
	for _, ran := range env.group.CallerCommands() {
		if ran.ID == id {
			out = append(out, ran.Workspace)
		}
	}
	env.c.Assert(out, qt.HasLen, 1, qt.Commentf("runs of %s", id))
	return out[0]
}

func (env *keyedEnv) assertNeverRan(id string) {
	env.c.Helper()
	for _, ran := range env.group.CallerCommands() {
		env.c.Assert(ran.ID, qt.Not(qt.Equals), id)
	}
}

func assertUnauthorised(c *qt.C, a cwstatement.Response) {
	c.Helper()
	c.Assert(a.Code, qt.Equals, cwstatement.Unauthorised, qt.Commentf("%s", a.Detail))
}

func TestWorkspaceKeys(t *testing.T) {
	t.Run("an unknown key opens no session", func(t *testing.T) {
		env := newKeyedEnv(t)
		for _, key := range []string{"", "x", "n1 "} {
			a := env.engine.admit(cwport.Startup{Database: testDatabase, KeyDigest: cwcatalogue.DigestOf(key)})
			assertUnauthorised(env.c, a)
		}
		a := env.engine.admit(cwport.Startup{Database: testDatabase, KeyDigest: cwcatalogue.DigestOf("n2")})
		assertOK(env.c, a)
	})
	t.Run("statements run for the workspace of the key", func(t *testing.T) {
		env := newKeyedEnv(t)
		north, south := env.caller("n1"), env.caller("s1")
		assertOK(env.c, north.ask(cwstatement.Write, "WRITE a 1"))
		assertOK(env.c, south.ask(cwstatement.Write, "WRITE b 1"))
		assertOK(env.c, env.caller("n2").ask(cwstatement.Read, "READ a"))
		env.c.Assert(env.assertedWorkspace("WRITE a 1"), qt.Equals, "north")
		env.c.Assert(env.assertedWorkspace("WRITE b 1"), qt.Equals, "south")
		env.c.Assert(env.assertedWorkspace("READ a"), qt.Equals, "north")
	})
	t.Run("a public entry needs none", func(t *testing.T) {
		env := newKeyedEnv(t)
		env.entry.Public = true
		env.setKeys(map[string][]string{"north": {"n1"}})
		assertOK(env.c, env.caller("anybody").ask(cwstatement.Write, "WRITE a 1"))
		env.c.Assert(env.assertedWorkspace("WRITE a 1"), qt.Equals, "")
	})
	t.Run("a holder runs them for the same workspace", func(t *testing.T) {
		env := newKeyedEnv(t)
		env.engine = env.engineWithConfig("through", func(cfg *Config) {
			env.configureKeys(cfg)
			cfg.Holders = &forwardingHolders{list: []*testHolder{{name: "front", engine: env.engine}}}
		})
		env.setKeys(map[string][]string{"north": {"n1"}})
		s := env.caller("n1")
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE a 1"))
		assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE b 1"))
		assertOK(env.c, s.ask(cwstatement.Commit, "COMMIT"))
		env.c.Assert(env.assertedWorkspace("WRITE a 1"), qt.Equals, "north")
		env.c.Assert(env.assertedWorkspace("WRITE b 1"), qt.Equals, "north")
	})
}

// Guards against a revoked key that stays usable through open sessions, because the key
// was checked only when they began.
func TestRevokedKey(t *testing.T) {
	t.Run("its open session is refused", func(t *testing.T) {
		env := newKeyedEnv(t)
		s := env.caller("n1")
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE a 1"))
		env.setKeys(map[string][]string{"north": {"n2"}})
		a := s.tryAsk(cwstatement.Write, "WRITE a 2")
		env.c.Assert(a.Code, qt.Not(qt.Equals), cwstatement.OK)
		env.assertNeverRan("WRITE a 2")
		assertOK(env.c, env.caller("n2").ask(cwstatement.Write, "WRITE a 3"))
	})
	t.Run("its open transaction keeps nothing", func(t *testing.T) {
		env := newKeyedEnv(t)
		s := env.caller("n1")
		assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE a 1"))
		env.setKeys(map[string][]string{"north": {"n2"}})
		a := s.tryAsk(cwstatement.Commit, "COMMIT")
		env.c.Assert(a.Code, qt.Not(qt.Equals), cwstatement.OK)
		env.c.Assert(env.group.Value("a"), qt.Equals, "")
	})
	t.Run("it may come back", func(t *testing.T) {
		env := newKeyedEnv(t)
		env.setKeys(map[string][]string{"north": {"n2"}})
		assertUnauthorised(env.c, env.engine.admit(cwport.Startup{Database: testDatabase, KeyDigest: cwcatalogue.DigestOf("n1")}))
		env.setKeys(map[string][]string{"north": {"n1"}})
		assertOK(env.c, env.caller("n1").ask(cwstatement.Write, "WRITE a 1"))
	})
	t.Run("it may move to another workspace", func(t *testing.T) {
		env := newKeyedEnv(t)
		s := env.caller("n1")
		assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE a 1"))
		env.setKeys(map[string][]string{"south": {"n1"}})
		assertNothingKept(env.c, s.ask(cwstatement.Commit, "COMMIT"))
		env.c.Assert(env.group.Value("a"), qt.Equals, "")
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE a 2"))
		env.c.Assert(env.assertedWorkspace("WRITE a 2"), qt.Equals, "south")
	})
}

// Guards against a revoked key that stays usable at an instance that is cut off from the
// store, or was suspended, and has not learned of the revocation. The instance must not
// rely on a catalogue older than the bound for keys.
func TestStaleCatalogueRefusesKeys(t *testing.T) {
	env := newKeyedEnv(t)
	s := env.caller("n1")
	assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE a 1"))
	env.confirmed.Store(env.clock.Now().UnixNano())
	env.clock.Advance(keyBound)
	assertNothingKept(env.c, s.ask(cwstatement.Commit, "COMMIT"))
	assertNothingKept(env.c, s.ask(cwstatement.Write, "WRITE a 2"))
	assertNothingKept(env.c, env.engine.admit(cwport.Startup{Database: testDatabase, KeyDigest: cwcatalogue.DigestOf("n1")}))
	env.c.Assert(env.engine.Ready(), qt.IsFalse)
	env.assertNeverRan("WRITE a 2")
	env.c.Assert(env.group.Value("a"), qt.Equals, "")
	env.confirmed.Store(0)
	env.c.Assert(env.engine.Ready(), qt.IsTrue)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE a 3"))
}

// Guards against a deadlock between a probe and a change of the list of targets.
func TestProbeDoesNotDeadlockWithTargetChanges(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	var mu sync.Mutex
	e := env.engineWithConfig("x", func(cfg *Config) {
		cfg.KeyRevocationBound = time.Hour
		cfg.CatalogueConfirmedAt = func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return env.clock.Now()
		}
	})
	e.SetCatalogue(cwcatalogue.Catalogue{Revision: 2, KeyRequired: true, Entries: []cwcatalogue.Entry{env.entry}})
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
			e.UpdateTargets(nil, nil)
			mu.Unlock()
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("deadlock between a probe and a change of the list of targets")
	}
}
