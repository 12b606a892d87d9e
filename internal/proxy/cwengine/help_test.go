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

// helpers lets an instance that holds everything ask another one for help. It
// implements cwport.Holders.
type helpers struct {
	self string
	list []*holder
}

func (h *helpers) Holder(_ string, _ cwholder.Demand, tried []string) (cwport.Holder, bool) {
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

func (h *helpers) Connect(string, cwholder.Demand) {}

func (h *helpers) Holds(string, cwholder.Demand) (int, bool) { return 0, true }

// helped is a caller's session at an instance x that holds the group, as does
// another one, y, which x can ask.
func helped(t *testing.T, rule cwcatalogue.ReadRule) (*world, *helpedCaller) {
	w := newWorld(t, rule)
	y := &holder{name: "y", engine: w.engine("y")}
	x := w.engineWith("x", &helpers{self: "x", list: []*holder{y}})
	w.settled(x)
	w.settled(y.engine)
	s := &helpedCaller{testCaller: w.session(x), engine: x, helper: y.engine}
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	return w, s
}

// helpedCaller is a caller's session with the engine that serves it.
type helpedCaller struct {
	*testCaller
	// engine is its instance, helper the one that can be asked.
	engine, helper *Engine
}

// keepWriting has a caller of an engine write until the test ends, so that the
// replicas are seen to follow the primary.
func (w *world) keepWriting(e *Engine) {
	other := w.session(e)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				other.offer(cwstatement.Write, "WRITE other 1")
				w.clock.Sleep(20 * time.Millisecond)
			}
		}
	}()
	w.c.Cleanup(func() { close(stop); <-done })
}

// servesAll asserts that a session's statements of every kind are served, once
// those that were under way when a path was cut are over.
func (w *world) servesAll(s *helpedCaller) {
	w.c.Helper()
	w.eventually("a write is served", func() bool { return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK })
	for range 5 {
		reads(w.c, s.ask(cwstatement.Read, "READ i"), "2")
	}
	succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
	reads(w.c, s.ask(cwstatement.Read, "READ i"), "2")
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 3"))
	succeeds(w.c, s.ask(cwstatement.Commit, "COMMIT"))
	reads(w.c, s.ask(cwstatement.Read, "READ i"), "3")
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 2"))
}

// The callers of one instance are refused for as long as its path to a group's
// primary is cut, though the instance beside it reaches every member and both
// know each other. Each instance held the group by itself and asked nobody.
func TestInstanceAsksForHelp(t *testing.T) {
	for _, rule := range []cwcatalogue.ReadRule{cwcatalogue.ReadNewest, cwcatalogue.ReadOwnWrites} {
		t.Run(string(rule), func(t *testing.T) {
			w, s := helped(t, rule)
			w.keepWriting(s.helper)
			w.group.Cut("x", "a", true)
			w.servesAll(s)
			w.clock.Sleep(2 * w.entry.Contract.MaxAge)
			w.servesAll(s)
			w.c.Assert(w.group.Promotions(), qt.HasLen, 0)
			w.group.Cut("x", "a", false)
			w.clock.Sleep(time.Second)
			w.servesAll(s)
		})
	}
}

// The same with most members out of reach. The instance has no other group and
// sends its callers away as well, so each step has a session of its own; until
// they have gone they are served.
func TestCutOffInstanceAsksForHelp(t *testing.T) {
	w, s := helped(t, cwcatalogue.ReadNewest)
	e := s.engine
	for _, member := range []string{"a", "b"} {
		w.group.Cut("x", member, true)
	}
	w.eventually("a write is served", func() bool {
		return w.session(e).offer(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK
	})
	served := 0
	for range 20 {
		if w.session(e).offer(cwstatement.Read, "READ i").Code == cwstatement.OK {
			served++
		}
	}
	w.c.Assert(served >= 15, qt.IsTrue, qt.Commentf("%d of 20 reads are served", served))
}

// A clerk's booking is in doubt: the instance reached the primary and nobody
// else, sent the write, and nobody could acknowledge it. It was known before that
// most members are out of reach, and the write could have been refused as not
// run.
func TestWriteIsRefusedWhereNobodyCanAcknowledgeIt(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	e := w.engine("x")
	w.settled(e)
	g, _ := e.Group(testService)
	w.group.Cut("x", "b", true)
	w.group.Cut("x", "c", true)
	for _, id := range []string{"b", "c"} {
		g.Suspect(memberID(id))
	}
	w.eventually("both are known to be lost", g.CutOff)
	a := w.session(e).offer(cwstatement.Write, "WRITE i 1")
	promises(w.c, a)
	w.c.Assert(w.group.Runs("WRITE i 1"), qt.Equals, 0)
}
