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

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
)

// faultyStore passes requests to the store, with the faults that are set.
type faultyStore struct {
	next http.Handler

	mu sync.Mutex
	// down answers each request with status 503. loseWrites delays writes by
	// lostWriteDelay and drops their answers. delay is added to each request.
	down, loseWrites bool
	delay            time.Duration
}

func (s *faultyStore) set(f func(*faultyStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// ServeHTTP implements http.Handler.
func (s *faultyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, loseWrites, delay := s.down, s.loseWrites, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case loseWrites && r.Method == http.MethodPost:
		time.Sleep(lostWriteDelay)
		s.next.ServeHTTP(discardResponse{}, r)
		panic(http.ErrAbortHandler)
	default:
		s.next.ServeHTTP(w, r)
	}
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}

// Timing of faults.
const (
	lostWriteDelay = 300 * time.Millisecond
	storeDelay     = 200 * time.Millisecond
	linkDelay      = 30 * time.Millisecond
	// faultInterval is the mean interval between two faults, meanFaultDuration their
	// mean duration: two or three faults overlap on average.
	faultInterval     = 600 * time.Millisecond
	meanFaultDuration = 1500 * time.Millisecond
	// restoreInterval is the mean interval between two restores of the store, and
	// meanRestoreDuration the mean time for which the store is down for one.
	restoreInterval     = 5 * time.Second
	meanRestoreDuration = 700 * time.Millisecond
)

// faultInjector injects random faults.
type faultInjector struct {
	env  *environment
	rand *rand.Rand
	// restoreRand is the source of randomness of the restores of the store. It is
	// separate, so that restores do not change the other faults of a seed.
	restoreRand *rand.Rand
	// memberRand is the source of randomness of the faults of members, separate for
	// the same reason.
	memberRand *rand.Rand

	mu sync.Mutex
	// injected is the number of faults so far.
	injected int
	// active ends the faults, by the name of what they affect. Faults that have ended
	// stay in it; ending them again has no effect.
	active map[string]func()
}

// fault is a kind of fault.
type fault struct {
	name string
	// planned is true for faults that must not interrupt any statement.
	planned bool
	// begin starts the fault; end, which may be nil, ends it. what is the name of the
	// thing that is affected: a new fault of the same thing ends the previous one.
	begin func() (what string, end func())
}

// run injects faults of links, the store, targets and processes until ctx ends.
func (f *faultInjector) run(ctx context.Context) error {
	all := f.allFaults()
	for sleep(ctx, time.Duration(f.rand.ExpFloat64()*float64(faultInterval))) {
		k := all[f.rand.IntN(len(all))]
		length := time.Duration(f.rand.ExpFloat64() * float64(meanFaultDuration))
		f.inject(k, length)
	}
	return nil
}

// runRestores restores snapshots of the store until ctx ends.
func (f *faultInjector) runRestores(ctx context.Context) error {
	for sleep(ctx, time.Duration(f.restoreRand.ExpFloat64()*float64(restoreInterval))) {
		age := f.restoreRand.IntN(maxSnapshots)
		after := time.Duration(f.restoreRand.Int64N(int64(maxRewriteDelay)))
		length := time.Duration(f.restoreRand.ExpFloat64() * float64(meanRestoreDuration))
		f.inject(f.restoreFault(age, after), length)
	}
	return nil
}

// restoreFault returns the fault in which the store is down and comes back with an older
// snapshot. Lost rows are written again after a delay.
func (f *faultInjector) restoreFault(age int, after time.Duration) fault {
	return fault{name: "storeRestored", begin: func() (string, func()) {
		f.env.faultyStore.set(func(s *faultyStore) { s.down = true })
		return "store", func() {
			f.env.restore(age, after)
			f.env.faultyStore.set(func(s *faultyStore) { s.down = false })
		}
	}}
}

// inject starts a fault that ends after a duration.
func (f *faultInjector) inject(k fault, length time.Duration) {
	f.mu.Lock()
	f.injected++
	f.mu.Unlock()
	if !k.planned {
		f.env.markDisturbed()
	}
	what, end := k.begin()
	f.env.cfg.Log.Info("fault", "kind", k.name, "what", what, "forMs", length.Milliseconds())
	if end == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if previous := f.active[what]; previous != nil {
		previous()
	}
	var once sync.Once
	endOnce := func() {
		once.Do(func() {
			end()
			f.env.markDisturbed()
		})
	}
	f.active[what] = endOnce
	time.AfterFunc(length, endOnce)
}

// endAll ends all faults.
func (f *faultInjector) endAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, end := range f.active {
		end()
	}
}

func (f *faultInjector) allFaults() []fault {
	return append(append(f.linkFaults(), f.storeFaults()...), append(f.targetFaults(), f.processFaults()...)...)
}

// randomLink returns the path to a random target or, in a quarter of the cases, the path
// of a random instance to the store.
func (f *faultInjector) randomLink() *cwlink.Link {
	if f.rand.IntN(4) == 0 {
		return f.env.storeLinks[f.rand.IntN(len(f.env.storeLinks))]
	}
	g := f.randomGroup()
	return g.link(f.randomTarget(g))
}

func (f *faultInjector) randomGroup() *group { return f.env.groups[f.rand.IntN(len(f.env.groups))] }

func (f *faultInjector) randomTarget(g *group) cwgroup.MemberID {
	ids := g.targets()
	return ids[f.rand.IntN(len(ids))]
}

func (f *faultInjector) linkFaults() []fault {
	set := func(faults cwlink.Faults) func() (string, func()) {
		return func() (string, func()) {
			l := f.randomLink()
			l.SetFaults(faults)
			return l.Addr(), func() { l.SetFaults(cwlink.Faults{}) }
		}
	}
	return []fault{
		{name: "linkSlow", begin: set(cwlink.Faults{Delay: linkDelay})},
		{name: "linkCut", begin: set(cwlink.Faults{Cut: true})},
		{name: "linkCutOneWay", begin: set(cwlink.Faults{CutFromTarget: true})},
		{name: "linkReset", begin: set(cwlink.Faults{Refuse: true})},
		{name: "linkSilent", begin: func() (string, func()) {
			l := f.randomLink()
			l.SilenceConnections()
			return l.Addr(), nil
		}},
	}
}

func (f *faultInjector) storeFaults() []fault {
	set := func(begin, end func(*faultyStore)) func() (string, func()) {
		return func() (string, func()) {
			f.env.faultyStore.set(begin)
			return "store", func() { f.env.faultyStore.set(end) }
		}
	}
	return []fault{
		{name: "storeDown", begin: set(func(s *faultyStore) { s.down = true }, func(s *faultyStore) { s.down = false })},
		{name: "storeSlow", begin: set(func(s *faultyStore) { s.delay = storeDelay }, func(s *faultyStore) { s.delay = 0 })},
		{name: "storeLosesWrites", begin: set(func(s *faultyStore) { s.loseWrites = true }, func(s *faultyStore) { s.loseWrites = false })},
		{name: "storeForgets", begin: func() (string, func()) {
			f.env.store.DropChangeHistory()
			return "store's history", nil
		}},
	}
}

func (f *faultInjector) targetFaults() []fault {
	return []fault{
		{name: "primaryDark", begin: func() (string, func()) {
			g := f.randomGroup()
			id := cmp.Or(g.Primary(), g.targets()[0])
			g.SetUnresponsive(id, true, clockwork.NewRealClock())
			return "dark " + string(id), func() { g.SetUnresponsive(id, false, clockwork.NewRealClock()) }
		}},
		{name: "targetDark", begin: func() (string, func()) {
			g := f.randomGroup()
			id := f.randomTarget(g)
			g.SetUnresponsive(id, true, clockwork.NewRealClock())
			return "dark " + string(id), func() { g.SetUnresponsive(id, false, clockwork.NewRealClock()) }
		}},
		{name: "targetDeaf", begin: func() (string, func()) {
			g := f.randomGroup()
			id := f.randomTarget(g)
			g.SetReceiveStopped(id, true)
			return "deaf " + string(id), func() { g.SetReceiveStopped(id, false) }
		}},
		{name: "answersLost", begin: func() (string, func()) {
			g := f.randomGroup()
			id := f.randomTarget(g)
			g.LoseAnswers(id, true)
			return "answers " + string(id), func() { g.LoseAnswers(id, false) }
		}},
	}
}

func (f *faultInjector) processFaults() []fault {
	randomProcess := func() *process { return f.env.instances[f.rand.IntN(len(f.env.instances))] }
	send := func(s syscall.Signal) func() (string, func()) {
		return func() (string, func()) {
			p := randomProcess()
			p.signal(s)
			return p.name, nil
		}
	}
	return []fault{
		{name: "kill", begin: send(syscall.SIGKILL)},
		{name: "terminate", planned: true, begin: send(syscall.SIGTERM)},
		{name: "reload", planned: true, begin: send(syscall.SIGHUP)},
		{name: "terminateAndReload", planned: true, begin: func() (string, func()) {
			p := randomProcess()
			p.signal(syscall.SIGTERM)
			p.signal(syscall.SIGHUP)
			return p.name, nil
		}},
		{name: "killAll", begin: func() (string, func()) {
			for _, p := range f.env.instances {
				p.signal(syscall.SIGKILL)
			}
			return "all", nil
		}},
		{name: "pause", begin: func() (string, func()) {
			p := randomProcess()
			p.signal(syscall.SIGSTOP)
			return "pause " + p.name, func() { p.signal(syscall.SIGCONT) }
		}},
	}
}
