package cwsoak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
)

// storeGate is the store behind its misbehaviour.
type storeGate struct {
	next http.Handler

	mu sync.Mutex
	// down refuses, slow delays, lose lets writes take effect late and without
	// an answer.
	down, lose bool
	slow       time.Duration
}

func (g *storeGate) set(f func(*storeGate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g)
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	down, lose, slow := g.down, g.lose, g.slow
	g.mu.Unlock()
	time.Sleep(slow)
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case lose && r.Method == http.MethodPost:
		time.Sleep(lateWrite)
		g.next.ServeHTTP(discard{}, r)
		panic(http.ErrAbortHandler)
	default:
		g.next.ServeHTTP(w, r)
	}
}

// discard is an answer that nobody gets.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// Times of faults.
const (
	lateWrite = 300 * time.Millisecond
	storeSlow = 200 * time.Millisecond
	linkSlow  = 30 * time.Millisecond
	// beginEvery is the mean pause between two faults, lastFor their mean
	// length: two or three overlap.
	beginEvery = 600 * time.Millisecond
	lastFor    = 1500 * time.Millisecond
	// restoreEvery is the mean pause between two restores of the store, and
	// restoreLasts how long it is away for one.
	restoreEvery = 5 * time.Second
	restoreLasts = 700 * time.Millisecond
)

// faults plays faults until its time is up.
type faults struct {
	world *world
	rand  *rand.Rand
	// restores draws the restores of the store, which come beside the other faults,
	// so that a seed's other faults stay what they are.
	restores *rand.Rand
	// members draws what happens among the targets, beside the others as well.
	members *rand.Rand

	mu     sync.Mutex
	played int
	// active are the ends of the faults that go on, by what they harm.
	active map[string]func()
}

// fault is something that can go wrong.
type fault struct {
	name string
	// planned is true for what must cut nobody off.
	planned bool
	// begin lets it go wrong; end, which may be nil, mends it. What names the
	// thing that is harmed: one fault at a time harms it.
	begin func() (what string, end func())
}

func (f *faults) loop(ctx context.Context) error {
	all := f.kinds()
	for pause(ctx, time.Duration(f.rand.ExpFloat64()*float64(beginEvery))) {
		k := all[f.rand.IntN(len(all))]
		length := time.Duration(f.rand.ExpFloat64() * float64(lastFor))
		f.play(k, length)
	}
	return nil
}

// loopRestores has the store go back to copies.
func (f *faults) loopRestores(ctx context.Context) error {
	for pause(ctx, time.Duration(f.restores.ExpFloat64()*float64(restoreEvery))) {
		age := f.restores.IntN(copies)
		after := time.Duration(f.restores.Int64N(int64(writeAgainWithin)))
		length := time.Duration(f.restores.ExpFloat64() * float64(restoreLasts))
		f.play(f.restored(age, after), length)
	}
	return nil
}

func (f *faults) restored(age int, after time.Duration) fault {
	return fault{name: "storeRestored", begin: func() (string, func()) {
		f.world.gate.set(func(g *storeGate) { g.down = true })
		return "store", func() {
			f.world.restore(age, after)
			f.world.gate.set(func(g *storeGate) { g.down = false })
		}
	}}
}

func (f *faults) play(k fault, length time.Duration) {
	f.mu.Lock()
	f.played++
	f.mu.Unlock()
	if !k.planned {
		f.world.disturb()
	}
	what, end := k.begin()
	f.world.cfg.Log.Info("fault", "kind", k.name, "what", what, "forMs", length.Milliseconds())
	if end == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if before := f.active[what]; before != nil {
		before()
	}
	var once sync.Once
	mend := func() {
		once.Do(func() {
			end()
			f.world.disturb()
		})
	}
	f.active[what] = mend
	time.AfterFunc(length, mend)
}

// lift ends all faults.
func (f *faults) lift() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, end := range f.active {
		end()
	}
}

func (f *faults) kinds() []fault {
	return append(append(f.linkKinds(), f.storeKinds()...), append(f.targetKinds(), f.processKinds()...)...)
}

// anyLink returns the path to some target, or of some instance to the store.
func (f *faults) anyLink() *cwlink.Link {
	if f.rand.IntN(4) == 0 {
		return f.world.stores[f.rand.IntN(len(f.world.stores))]
	}
	g := f.anyGroup()
	return g.links[g.ids[f.rand.IntN(len(g.ids))]]
}

func (f *faults) anyGroup() *group { return f.world.groups[f.rand.IntN(len(f.world.groups))] }

func (f *faults) linkKinds() []fault {
	set := func(faults cwlink.Faults) func() (string, func()) {
		return func() (string, func()) {
			l := f.anyLink()
			l.SetFaults(faults)
			return l.Addr(), func() { l.SetFaults(cwlink.Faults{}) }
		}
	}
	return []fault{
		{name: "linkSlow", begin: set(cwlink.Faults{Delay: linkSlow})},
		{name: "linkCut", begin: set(cwlink.Faults{Cut: true})},
		{name: "linkCutOneWay", begin: set(cwlink.Faults{CutBack: true})},
		{name: "linkReset", begin: set(cwlink.Faults{Refuse: true})},
		{name: "linkSilent", begin: func() (string, func()) {
			l := f.anyLink()
			l.Silence()
			return l.Addr(), nil
		}},
	}
}

func (f *faults) storeKinds() []fault {
	set := func(begin, end func(*storeGate)) func() (string, func()) {
		return func() (string, func()) {
			f.world.gate.set(begin)
			return "store", func() { f.world.gate.set(end) }
		}
	}
	return []fault{
		{name: "storeDown", begin: set(func(g *storeGate) { g.down = true }, func(g *storeGate) { g.down = false })},
		{name: "storeSlow", begin: set(func(g *storeGate) { g.slow = storeSlow }, func(g *storeGate) { g.slow = 0 })},
		{name: "storeLosesWrites", begin: set(func(g *storeGate) { g.lose = true }, func(g *storeGate) { g.lose = false })},
		{name: "storeForgets", begin: func() (string, func()) {
			f.world.store.DropHistory()
			return "store's history", nil
		}},
	}
}

func (f *faults) targetKinds() []fault {
	return []fault{
		{name: "primaryDark", begin: func() (string, func()) {
			g := f.anyGroup()
			id := cmp.Or(g.Primary(), g.ids[0])
			g.SetDark(id, true, clockwork.NewRealClock())
			return "dark " + string(id), func() { g.SetDark(id, false, clockwork.NewRealClock()) }
		}},
		{name: "targetDark", begin: func() (string, func()) {
			g := f.anyGroup()
			id := g.ids[f.rand.IntN(len(g.ids))]
			g.SetDark(id, true, clockwork.NewRealClock())
			return "dark " + string(id), func() { g.SetDark(id, false, clockwork.NewRealClock()) }
		}},
		{name: "targetDeaf", begin: func() (string, func()) {
			g := f.anyGroup()
			id := g.ids[f.rand.IntN(len(g.ids))]
			g.SetDeaf(id, true)
			return "deaf " + string(id), func() { g.SetDeaf(id, false) }
		}},
		{name: "answersLost", begin: func() (string, func()) {
			g := f.anyGroup()
			id := g.ids[f.rand.IntN(len(g.ids))]
			g.LoseAnswers(id, true)
			return "answers " + string(id), func() { g.LoseAnswers(id, false) }
		}},
	}
}

func (f *faults) processKinds() []fault {
	any := func() *process { return f.world.instances[f.rand.IntN(len(f.world.instances))] }
	send := func(s syscall.Signal) func() (string, func()) {
		return func() (string, func()) {
			p := any()
			p.signal(s)
			return p.name, nil
		}
	}
	return []fault{
		{name: "kill", begin: send(syscall.SIGKILL)},
		{name: "terminate", planned: true, begin: send(syscall.SIGTERM)},
		{name: "reload", planned: true, begin: send(syscall.SIGHUP)},
		{name: "terminateAndReload", planned: true, begin: func() (string, func()) {
			p := any()
			p.signal(syscall.SIGTERM)
			p.signal(syscall.SIGHUP)
			return p.name, nil
		}},
		{name: "killAll", begin: func() (string, func()) {
			for _, p := range f.world.instances {
				p.signal(syscall.SIGKILL)
			}
			return "all", nil
		}},
		{name: "pause", begin: func() (string, func()) {
			p := any()
			p.signal(syscall.SIGSTOP)
			return "pause " + p.name, func() { p.signal(syscall.SIGCONT) }
		}},
	}
}
