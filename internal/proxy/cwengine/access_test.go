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

// keyBound is the tests' bound for keys that were taken away.
const keyBound = 5 * time.Second

// office is a world whose callers need keys.
type office struct {
	*world
	engine *Engine
	// confirmed is when the store last confirmed the catalogue, in nanoseconds;
	// zero stands for now.
	confirmed atomic.Int64
	revision  cwcatalogue.Revision
}

func newOffice(t *testing.T) *office {
	o := &office{world: newWorld(t, cwcatalogue.ReadNewest), revision: 1}
	o.engine = o.engineOf("front", o.keyed)
	o.setKeys(map[string][]string{"north": {"n1", "n2"}, "south": {"s1"}})
	o.settled(o.engine)
	return o
}

func (o *office) keyed(cfg *Config) {
	cfg.KeyBound = keyBound
	cfg.Confirmed = func() time.Time {
		if at := o.confirmed.Load(); at != 0 {
			return time.Unix(0, at)
		}
		return o.clock.Now()
	}
}

// setKeys puts a catalogue with workspaces and their keys in force.
func (o *office) setKeys(keys map[string][]string) {
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

func (o *office) caller(key string) *testCaller { return o.sessionFor(o.engine, key) }

// workspaceOf returns for which workspace a statement ran; it must have run once.
func (o *office) workspaceOf(id string) string {
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

func (o *office) neverRan(id string) {
	o.c.Helper()
	for _, ran := range o.group.Contexts() {
		o.c.Assert(ran.ID, qt.Not(qt.Equals), id)
	}
}

func unauthorised(c *qt.C, a cwstatement.Answer) {
	c.Helper()
	c.Assert(a.Code, qt.Equals, cwstatement.Unauthorised, qt.Commentf("%s", a.Detail))
}

func TestKeys(t *testing.T) {
	t.Run("an unknown key opens no session", func(t *testing.T) {
		o := newOffice(t)
		for _, key := range []string{"", "x", "n1 "} {
			a := o.engine.admit(cwport.Startup{Database: testDatabase, Key: cwcatalogue.DigestOf(key)})
			unauthorised(o.c, a)
		}
		a := o.engine.admit(cwport.Startup{Database: testDatabase, Key: cwcatalogue.DigestOf("n2")})
		succeeds(o.c, a)
	})
	t.Run("statements run for the workspace of the key", func(t *testing.T) {
		o := newOffice(t)
		north, south := o.caller("n1"), o.caller("s1")
		succeeds(o.c, north.ask(cwstatement.Write, "WRITE a 1"))
		succeeds(o.c, south.ask(cwstatement.Write, "WRITE b 1"))
		succeeds(o.c, o.caller("n2").ask(cwstatement.Read, "READ a"))
		o.c.Assert(o.workspaceOf("WRITE a 1"), qt.Equals, "north")
		o.c.Assert(o.workspaceOf("WRITE b 1"), qt.Equals, "south")
		o.c.Assert(o.workspaceOf("READ a"), qt.Equals, "north")
	})
	t.Run("a public entry needs none", func(t *testing.T) {
		o := newOffice(t)
		o.entry.Public = true
		o.setKeys(map[string][]string{"north": {"n1"}})
		succeeds(o.c, o.caller("anybody").ask(cwstatement.Write, "WRITE a 1"))
		o.c.Assert(o.workspaceOf("WRITE a 1"), qt.Equals, "")
	})
	t.Run("a holder runs them for the same workspace", func(t *testing.T) {
		o := newOffice(t)
		o.engine = o.engineOf("through", func(cfg *Config) {
			o.keyed(cfg)
			cfg.Holders = &holders{list: []*holder{{name: "front", engine: o.engine}}}
		})
		o.setKeys(map[string][]string{"north": {"n1"}})
		s := o.caller("n1")
		succeeds(o.c, s.ask(cwstatement.Write, "WRITE a 1"))
		succeeds(o.c, s.ask(cwstatement.Begin, "BEGIN"))
		succeeds(o.c, s.ask(cwstatement.Write, "WRITE b 1"))
		succeeds(o.c, s.ask(cwstatement.Commit, "COMMIT"))
		o.c.Assert(o.workspaceOf("WRITE a 1"), qt.Equals, "north")
		o.c.Assert(o.workspaceOf("WRITE b 1"), qt.Equals, "north")
	})
}

// An owner's key is taken away after it got into wrong hands. Whoever has it goes
// on reading and writing through the sessions that are open already, because the
// key was looked at when they began and never again.
func TestKeyThatIsTakenAway(t *testing.T) {
	t.Run("its open session is refused", func(t *testing.T) {
		o := newOffice(t)
		s := o.caller("n1")
		succeeds(o.c, s.ask(cwstatement.Write, "WRITE a 1"))
		o.setKeys(map[string][]string{"north": {"n2"}})
		a := s.offer(cwstatement.Write, "WRITE a 2")
		o.c.Assert(a.Code, qt.Not(qt.Equals), cwstatement.OK)
		o.neverRan("WRITE a 2")
		succeeds(o.c, o.caller("n2").ask(cwstatement.Write, "WRITE a 3"))
	})
	t.Run("its open transaction keeps nothing", func(t *testing.T) {
		o := newOffice(t)
		s := o.caller("n1")
		succeeds(o.c, s.ask(cwstatement.Begin, "BEGIN"))
		succeeds(o.c, s.ask(cwstatement.Write, "WRITE a 1"))
		o.setKeys(map[string][]string{"north": {"n2"}})
		a := s.offer(cwstatement.Commit, "COMMIT")
		o.c.Assert(a.Code, qt.Not(qt.Equals), cwstatement.OK)
		o.c.Assert(o.group.Value("a"), qt.Equals, "")
	})
	t.Run("it may come back", func(t *testing.T) {
		o := newOffice(t)
		o.setKeys(map[string][]string{"north": {"n2"}})
		unauthorised(o.c, o.engine.admit(cwport.Startup{Database: testDatabase, Key: cwcatalogue.DigestOf("n1")}))
		o.setKeys(map[string][]string{"north": {"n1"}})
		succeeds(o.c, o.caller("n1").ask(cwstatement.Write, "WRITE a 1"))
	})
	t.Run("it may move to another workspace", func(t *testing.T) {
		o := newOffice(t)
		s := o.caller("n1")
		succeeds(o.c, s.ask(cwstatement.Begin, "BEGIN"))
		succeeds(o.c, s.ask(cwstatement.Write, "WRITE a 1"))
		o.setKeys(map[string][]string{"south": {"n1"}})
		promises(o.c, s.ask(cwstatement.Commit, "COMMIT"))
		o.c.Assert(o.group.Value("a"), qt.Equals, "")
		succeeds(o.c, s.ask(cwstatement.Write, "WRITE a 2"))
		o.c.Assert(o.workspaceOf("WRITE a 2"), qt.Equals, "south")
	})
}

// An instance is cut off from the store, or stood still, and a key is taken away
// meanwhile. It has heard nothing and goes on serving the key's holder for as long
// as the cut lasts. What it knows must not be older than the bound for keys.
func TestKeysAreNotTrustedForLong(t *testing.T) {
	o := newOffice(t)
	s := o.caller("n1")
	succeeds(o.c, s.ask(cwstatement.Begin, "BEGIN"))
	succeeds(o.c, s.ask(cwstatement.Write, "WRITE a 1"))
	o.confirmed.Store(o.clock.Now().UnixNano())
	o.clock.Advance(keyBound)
	promises(o.c, s.ask(cwstatement.Commit, "COMMIT"))
	promises(o.c, s.ask(cwstatement.Write, "WRITE a 2"))
	promises(o.c, o.engine.admit(cwport.Startup{Database: testDatabase, Key: cwcatalogue.DigestOf("n1")}))
	o.c.Assert(o.engine.Ready(), qt.IsFalse)
	o.neverRan("WRITE a 2")
	o.c.Assert(o.group.Value("a"), qt.Equals, "")
	o.confirmed.Store(0)
	o.c.Assert(o.engine.Ready(), qt.IsTrue)
	succeeds(o.c, s.ask(cwstatement.Write, "WRITE a 3"))
}

// meter allows so many operations.
type meter struct{ left atomic.Int64 }

func (m *meter) Take(string) cwport.Verdict {
	if m.left.Add(-1) < 0 {
		return cwport.Verdict{RetryAfter: time.Second}
	}
	return cwport.Verdict{Allowed: true}
}

// A workspace may begin three operations. Its transaction of many statements is
// one of them, and the fourth operation is refused at once with the time to come
// back, without having run.
func TestOperationsAreCounted(t *testing.T) {
	o := newOffice(t)
	m := &meter{}
	m.left.Store(3)
	o.engine.cfg.Meter = m
	o.engine.mu.Lock()
	o.engine.access.quotas["north"] = cwcatalogue.Quota{Rate: 3}
	o.engine.mu.Unlock()
	s := o.caller("n1")
	succeeds(o.c, s.ask(cwstatement.Begin, "BEGIN"))
	for _, text := range []string{"WRITE a 1", "WRITE b 1", "WRITE c 1"} {
		succeeds(o.c, s.ask(cwstatement.Write, text))
	}
	succeeds(o.c, s.ask(cwstatement.Commit, "COMMIT"))
	succeeds(o.c, s.ask(cwstatement.Read, "READ a"))
	succeeds(o.c, s.ask(cwstatement.Write, "WRITE a 2"))
	a := s.ask(cwstatement.Write, "WRITE a 3")
	o.c.Assert(a.Code, qt.Equals, cwstatement.Busy)
	o.c.Assert(a.Detail, qt.Matches, ".*notRun=true retryAfterMs=1000")
	o.neverRan("WRITE a 3")
	succeeds(o.c, o.caller("s1").ask(cwstatement.Write, "WRITE d 1"))
}

// Guards against a probe and news of targets that wait for each other for good.
func TestProbeAsksWithoutTheLockHeld(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	var mu sync.Mutex
	e := w.engineOf("x", func(cfg *Config) {
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
		t.Fatal("the engine waits for itself")
	}
}
