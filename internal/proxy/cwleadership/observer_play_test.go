package cwleadership

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/standin/cwreplicaset"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Sizes of a play: holders and other users of the group in each data centre.
const (
	playDataCentres = 3
	playHolders     = 2
	playUsers       = 10
)

// play is a group with one member in each of three data centres, and all instances that
// use it, on virtual time.
type play struct {
	t         *testing.T
	members   *cwreplicaset.Group
	table     *playTable
	instances []*playInstance

	mu sync.Mutex
	// checks counts the health checks of all instances by cause.
	checks map[CheckCause]int
	// answers counts the requests to observers by outcome.
	answers map[cwevidence.Outcome]int
}

// playInstance is an instance in a play.
type playInstance struct {
	*Group
	name   string
	centre int
	// serve answers a request for reports; a test replaces it to simulate faults.
	serve atomic.Pointer[serveFunc]
	// reversed is true if the instance has another order of the holders than the others.
	reversed atomic.Bool
}

type serveFunc func(context.Context, cwport.MembersRequest) (cwport.MembersResponse, error)

func (in *playInstance) setServe(f serveFunc) { in.serve.Store(&f) }

// playTable is a table with one row that can be claimed.
type playTable struct {
	rowTable
	version int
}

func (r *playTable) Get(ctx context.Context, key string) (cwplatform.Row, error) {
	row, err := r.rowTable.Get(ctx, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	row.ETag = strconv.Itoa(r.version)
	return row, err
}

func (r *playTable) Commit(_ context.Context, ch cwplatform.Change) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch tag := ch.Expect[0].ETag; {
	case r.unavailable:
		return &cwplatform.UnavailableError{Cause: errUnavailable}
	case tag != strconv.Itoa(r.version) && (tag != "" || r.value != nil):
		return &cwplatform.ConflictError{Key: ch.Expect[0].Key}
	}
	r.value, r.version = ch.Put[0].Value, r.version+1
	return nil
}

// runPlay runs f in a play in which every instance knows the primary. Instances ask
// observers if observed is true.
func runPlay(t *testing.T, observed bool, f func(p *play)) {
	synctest.Test(t, func(t *testing.T) {
		p := &play{
			t: t, members: cwreplicaset.NewGroup("ledger", "m0", "m1", "m2"), table: &playTable{},
			checks: make(map[CheckCause]int), answers: make(map[cwevidence.Outcome]int),
		}
		ctx, cancel := context.WithCancel(context.Background())
		eg, ctx := errgroup.WithContext(ctx)
		for n := range playDataCentres * (playHolders + playUsers) {
			p.add(n, observed)
		}
		eg.Go(func() error { return p.loopRows(ctx) })
		for _, in := range p.instances {
			eg.Go(func() error { return in.Run(ctx) })
			eg.Go(func() error { return in.loopReads(ctx) })
		}
		defer func() {
			cancel()
			for _, in := range p.instances {
				in.Close()
			}
			qt.Check(t, eg.Wait(), qt.IsNil)
			// Requests in progress end within their timeouts.
			time.Sleep(5 * time.Second)
		}()
		time.Sleep(3 * time.Second)
		p.assertPrimary("m0")
		f(p)
	})
}

// add adds the instance with a number. The holders come first, in rank order: one of
// each data centre, then the second one of each.
func (p *play) add(n int, observed bool) {
	in := &playInstance{name: fmt.Sprintf("x%02d", n), centre: n % playDataCentres}
	cfg := Config{
		Self: cwfailover.InstanceID(in.name), DataCentre: centreName(in.centre), Service: "ledger", Clock: clockwork.NewRealClock(), Log: log.New(io.Discard),
		Dialer: p.members.DialerFrom(in.name), Table: p.table, Promoter: p.members, ClaimSeed: "play", MinHolderInterval: time.Second,
		CountCheck: p.countCheck, CountAnswer: p.countAnswer,
	}
	if observed {
		cfg.Observers = func() []cwport.Observer { return p.observersOf(in) }
	}
	// As the engine does, a suspicion of the path is checked at once.
	cfg.RemotePath = &RemotePath{Clock: cfg.Clock, OnSuspicion: func() { in.ProbeRemote() }}
	in.Group = New(cfg)
	in.setServe(func(ctx context.Context, q cwport.MembersRequest) (cwport.MembersResponse, error) {
		time.Sleep(time.Millisecond)
		return in.ServeMembers(ctx, q), nil
	})
	in.SetMembers(playMembers(), playDataCentres, 100)
	if n < playDataCentres*playHolders {
		in.SetHeld(n, true)
	} else {
		in.SetHeld(-1, false)
	}
	p.instances = append(p.instances, in)
}

// newUser returns another user of the group in the data centre of in, without a loop and
// without reads of its own. It is not one of the instances of the play.
func (p *play) newUser(in *playInstance) *playInstance {
	user := &playInstance{name: "late", centre: in.centre}
	user.Group = New(in.cfg)
	user.cfg.Dialer = p.members.DialerFrom("late")
	user.cfg.Observers = func() []cwport.Observer { return p.observersOf(user) }
	user.SetMembers(playMembers(), playDataCentres, 100)
	user.SetHeld(-1, false)
	return user
}

// playMembers returns the list of the members of a play.
func playMembers() []cwport.ListedTarget {
	var list []cwport.ListedTarget
	for i := range playDataCentres {
		list = append(list, cwport.ListedTarget{ID: memberOf(i), Service: "ledger", Address: string(memberOf(i)), DataCentre: centreName(i), Slots: 3})
	}
	return list
}

func centreName(i int) string              { return fmt.Sprintf("dc%d", i) }
func memberOf(i int) cwgroup.MemberID      { return cwgroup.MemberID(fmt.Sprintf("m%d", i)) }
func (p *play) holder(n int) *playInstance { return p.instances[n] }

// observersOf returns the holders as cwpeers does: those in the same data centre first.
func (p *play) observersOf(self *playInstance) []cwport.Observer {
	var near, far []cwport.Observer
	for _, h := range p.instances[:playDataCentres*playHolders] {
		o := cwport.Observer{Name: h.name, Remote: h.centre != self.centre}
		if h != self {
			o.Ask = func(ctx context.Context, q cwport.MembersRequest) (cwport.MembersResponse, error) {
				return (*h.serve.Load())(ctx, q)
			}
		}
		if o.Remote {
			far = append(far, o)
		} else {
			near = append(near, o)
		}
	}
	if self.reversed.Load() {
		slices.Reverse(near)
	}
	return append(near, far...)
}

// loopRows passes the group's row on to all instances, as the platform's store does.
func (p *play) loopRows(ctx context.Context) error {
	for ctx.Err() == nil {
		if row, _, err := (cwclaim.Store{Table: p.table, Group: "ledger"}).Read(ctx); err == nil {
			for _, in := range p.instances {
				in.SetRow(row)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// loopReads places reads with a maximum age, and some of the newest data, as the callers
// of an instance do.
func (in *playInstance) loopReads(ctx context.Context) error {
	for n := 0; ctx.Err() == nil; n++ {
		now := time.Now()
		if n%5 == 0 {
			_, _ = in.ConfirmedPrimary(ctx, now, now.Add(300*time.Millisecond))
		} else {
			_, _ = in.PlaceRead(ctx, Read{ArrivedAt: now, MaxAge: 1500 * time.Millisecond}, now.Add(300*time.Millisecond))
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func (p *play) countCheck(c CheckCause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checks[c]++
}

func (p *play) countAnswer(o cwevidence.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[o]++
}

// checksDuring returns the number of health checks that begin within d.
func (p *play) checksDuring(d time.Duration) int {
	p.mu.Lock()
	clear(p.checks)
	clear(p.answers)
	p.mu.Unlock()
	time.Sleep(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.checks {
		n += c
	}
	p.t.Logf("%d checks in %v: %v, answers %v", n, d, p.checks, p.answers)
	return n
}

// cutMember cuts a member off from everything but the instances of one data centre;
// a negative number stands for none.
func (p *play) cutMember(id cwgroup.MemberID, except int, cut bool) {
	for _, in := range p.instances {
		if in.centre != except {
			p.members.Cut(string(id), in.name, cut)
		}
	}
	for i := range playDataCentres {
		if memberOf(i) != id {
			p.members.Cut(string(id), string(memberOf(i)), cut)
		}
	}
}

// assertPrimary asserts that every instance knows the primary.
func (p *play) assertPrimary(want cwgroup.MemberID) {
	p.t.Helper()
	for _, in := range p.instances {
		pl, err := in.Primary()
		qt.Assert(p.t, err, qt.IsNil, qt.Commentf("%s", in.name))
		qt.Assert(p.t, pl.ID, qt.Equals, want, qt.Commentf("%s", in.name))
	}
}

// promotedAfter returns the time until a member is promoted.
func (p *play) promotedAfter() time.Duration {
	p.t.Helper()
	began := time.Now()
	for len(p.members.Promotions()) == 0 {
		if time.Since(began) > 10*time.Second {
			p.t.Fatal("no member is promoted within 10 s")
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// Guards against health checks in proportion to the number of instances.
func TestObserversBoundHealthChecks(t *testing.T) {
	const d = 5 * time.Second
	for _, tc := range []struct {
		name string
		// begin brings about the situation.
		begin func(p *play)
		// maxChecks bounds the health checks in d, minRatio the number without observers
		// divided by that with them.
		maxChecks int
		minRatio  float64
	}{
		{"steady state", func(*play) {}, 150, 3},
		{"unknown primary", func(p *play) {
			p.table.setUnavailable(true)
			p.cutMember("m0", -1, true)
		}, 1600, 3},
		{"a data centre is cut off", func(p *play) {
			p.table.setUnavailable(true)
			p.cutMember("m0", 0, true)
			for _, in := range p.instances {
				if in.centre == 0 {
					p.members.Cut("m1", in.name, true)
					p.members.Cut("m2", in.name, true)
				}
			}
		}, 1700, 2},
		{"an observer is killed", func(p *play) {
			p.holder(0).setServe(func(context.Context, cwport.MembersRequest) (cwport.MembersResponse, error) {
				return cwport.MembersResponse{}, errUnavailable
			})
		}, 200, 3},
		{"two observers in each data centre", func(p *play) {
			for n, in := range p.instances {
				in.reversed.Store(n%2 == 0)
			}
		}, 200, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var with, without int
			runPlay(t, true, func(p *play) {
				tc.begin(p)
				with = p.checksDuring(d)
			})
			runPlay(t, false, func(p *play) {
				tc.begin(p)
				without = p.checksDuring(d)
			})
			qt.Assert(t, with <= tc.maxChecks, qt.IsTrue, qt.Commentf("%d checks", with))
			qt.Assert(t, float64(without) >= tc.minRatio*float64(with), qt.IsTrue, qt.Commentf("%d checks, without observers %d", with, without))
		})
	}
}
