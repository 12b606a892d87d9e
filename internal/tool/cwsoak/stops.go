package cwsoak

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Timing of runs with planned stops only.
const (
	// stopInterval is the mean time between two series of stops.
	stopInterval = 1500 * time.Millisecond
	// maxSignalGap is the longest time between two signals of a series.
	maxSignalGap = 1200 * time.Millisecond
	// exitSlack is the time that a process that ended in time may take to be seen as
	// ended.
	exitSlack = 200 * time.Millisecond
	// shortVisitPause and longVisitThink are the mean pauses of callers between sessions
	// of one operation, and within sessions of many.
	shortVisitPause = 15 * time.Millisecond
	longVisitThink  = 60 * time.Millisecond
	maxLongVisit    = 60
)

// Work times of members.
const (
	minWorkTime, maxWorkTime           = 5 * time.Millisecond, 60 * time.Millisecond
	minSlowWorkTime, maxSlowWorkTime   = 300 * time.Millisecond, 900 * time.Millisecond
	minHeavyWorkTime, maxHeavyWorkTime = 1200 * time.Millisecond, 1800 * time.Millisecond
	// slowPercent and heavyPercent are the shares of commands that are slow and heavy.
	slowPercent, heavyPercent = 6, 2
	// stopsStatementTimeout is the time limit of statements. It leaves room for heavy ones.
	stopsStatementTimeout = 2500 * time.Millisecond
)

// workTime returns how long a member takes for the command with an id.
func (env *environment) workTime(id string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	r := rand.New(rand.NewPCG(env.cfg.Seed, h.Sum64()))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(r.Int64N(int64(high-low))) }
	switch n := r.IntN(100); {
	case n < heavyPercent:
		return between(minHeavyWorkTime, maxHeavyWorkTime)
	case n < heavyPercent+slowPercent:
		return between(minSlowWorkTime, maxSlowWorkTime)
	}
	return between(minWorkTime, maxWorkTime)
}

// playStops runs callers and planned stops until ctx ends, and waits until the instances that
// were stopped have ended.
func (env *environment) playStops(ctx context.Context) (played, error) {
	eg, ctx := errgroup.WithContext(ctx)
	b := newBalancer(env)
	for i := range env.cfg.Callers {
		c := &caller{env: env, id: i, rand: rand.New(rand.NewPCG(env.cfg.Seed, uint64(i)+1))}
		v := &visitor{caller: c, balancer: b}
		eg.Go(func() error { return v.run(ctx) })
	}
	s := &stopper{env: env, rand: rand.New(rand.NewPCG(env.cfg.Seed, 0))}
	eg.Go(func() error { return b.run(ctx) })
	eg.Go(func() error { return s.run(ctx) })
	eg.Go(func() error { return env.runDesiredStates(ctx) })
	if err := eg.Wait(); err != nil {
		return played{}, err
	}
	s.stops.Wait()
	return played{faults: s.series, stopped: s.stopped}, nil
}

// visitor opens one session after another until the run ends, also at instances that stop.
type visitor struct {
	caller   *caller
	balancer *balancer
}

// run opens sessions by the visitor's number: at one and the same instance with one
// operation each, where the balancer assigns it with one operation each, or there with many.
func (v *visitor) run(ctx context.Context) error {
	c := v.caller
	c.startItem()
	one := func() int { return 1 }
	for sleep(ctx, time.Duration(c.rand.Int64N(int64(2*shortVisitPause)))) {
		p := v.balancer.pick(dataCentreName(c.id), c.rand.IntN)
		switch c.id % 4 {
		case 0:
			c.visit(ctx, visit{process: c.env.instances[c.id/4%len(c.env.instances)], operations: one, think: time.Millisecond})
		case 1:
			c.visit(ctx, visit{process: p, operations: func() int { return 1 + c.rand.IntN(maxLongVisit) }, think: longVisitThink})
		default:
			c.visit(ctx, visit{process: p, operations: one, think: time.Millisecond})
		}
	}
	return nil
}

// stopper sends series of signals to instances, as the platform does: SIGKILL follows a
// SIGTERM after the grace period.
type stopper struct {
	env  *environment
	rand *rand.Rand
	// stops waits for the instances that are being stopped.
	stops sync.WaitGroup
	// series and stopped count the series of signals and the instances that were stopped.
	series, stopped int
}

// run sends one series after the other until ctx ends. A series does not wait for the end
// of the one before.
func (s *stopper) run(ctx context.Context) error {
	kinds := []func(context.Context){s.stopOne, s.stopTwice, s.stopInTurn, s.stopDataCentre, s.reloadAndStop}
	for sleep(ctx, time.Duration(s.rand.ExpFloat64()*float64(stopInterval))) {
		s.series++
		kinds[s.rand.IntN(len(kinds))](ctx)
	}
	return nil
}

func (s *stopper) randomInstance() int { return s.rand.IntN(len(s.env.instances)) }

// pause waits for a random time between two signals.
func (s *stopper) pause(ctx context.Context) {
	sleep(ctx, time.Duration(s.rand.Int64N(int64(maxSignalGap))))
}

func (s *stopper) stopOne(context.Context) { s.stop(s.env.instances[s.randomInstance()]) }

// stopTwice sends SIGTERM, SIGHUP and SIGTERM again to one instance.
func (s *stopper) stopTwice(ctx context.Context) {
	p := s.env.instances[s.randomInstance()]
	s.stop(p)
	s.pause(ctx)
	p.signal(syscall.SIGHUP)
	s.pause(ctx)
	p.signal(syscall.SIGTERM)
}

// stopInTurn stops some instances, each before the one before it has ended.
func (s *stopper) stopInTurn(ctx context.Context) {
	first := s.randomInstance()
	for i := range 2 + s.rand.IntN(3) {
		s.stop(s.env.instances[(first+i)%len(s.env.instances)])
		s.pause(ctx)
	}
}

// stopDataCentre stops all instances of a data centre but one at the same time, so that
// the load balancer uses all of them.
func (s *stopper) stopDataCentre(ctx context.Context) {
	name := dataCentreName(s.rand.IntN(membersPerGroup))
	spared := false
	for _, p := range s.env.instances {
		if p.dataCentre != name {
			continue
		}
		if spared {
			s.stop(p)
		}
		spared = true
	}
	s.pause(ctx)
}

// reloadAndStop sends SIGHUP and SIGTERM right after each other.
func (s *stopper) reloadAndStop(context.Context) {
	p := s.env.instances[s.randomInstance()]
	p.signal(syscall.SIGHUP)
	s.stop(p)
	p.signal(syscall.SIGHUP)
}

// stop sends SIGTERM to an instance, and SIGKILL after the grace period. An instance that
// needs the SIGKILL, or exits with an error, is a violation.
func (s *stopper) stop(p *process) {
	if _, stopping := p.state(); stopping {
		return
	}
	s.stopped++
	ended := p.current()
	p.signal(syscall.SIGTERM)
	s.stops.Go(func() { s.awaitEnd(p, ended) })
}

// awaitEnd waits for the end of an instance that got SIGTERM.
func (s *stopper) awaitEnd(p *process, ended <-chan struct{}) {
	select {
	case <-ended:
	case <-time.After(s.env.cfg.Platform.GracePeriod + exitSlack):
		s.env.ledger.addViolation(StopFailed, "%s still runs after the grace period", p.name)
		p.signal(syscall.SIGKILL)
		<-ended
		return
	}
	if err := p.exit(); err != nil {
		s.env.ledger.addViolation(StopFailed, "%s ended with %v", p.name, err)
	}
}
