package cwdirectory

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Bounds of the fleet below: those of a deployment with hundreds of instances.
var (
	fleetWaits = Waits{Desired: 5 * time.Second, Targets: 8 * time.Second}
	fleetStale = Stale{Desired: 4200 * time.Millisecond, Targets: 8 * time.Second}
)

const configBound = 6 * time.Second

// table is the platform's store in memory, on virtual time. Rows of targets are
// their keys, the desired state is its revision.
type table struct {
	mu      sync.Mutex
	version uint64
	history [cwport.TopicCount]cwfeed.History[cwport.Row]
	changed chan struct{}
	calls   int
	// away tells which instances the store does not answer.
	away func(name string) bool
}

func newTable() *table {
	s := &table{version: 1, changed: make(chan struct{}), away: func(string) bool { return false }}
	for i := range s.history {
		s.history[i].Replace(1, nil)
	}
	return s
}

func (s *table) put(t cwport.Topic, key string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history[t].Add(s.version, entriesOf([]cwport.Row{{Key: key, Version: s.version, Removed: removed}}))
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *table) setAway(f func(name string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = f
}

func (s *table) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// askedBy is the store as one instance reaches it.
type askedBy struct {
	*table
	name string
}

func (s askedBy) Snapshot(ctx context.Context, t cwport.Topic) (cwport.Batch, error) {
	return s.answer(ctx, t, 0, true)
}

func (s askedBy) Changes(ctx context.Context, t cwport.Topic, after uint64, wait time.Duration) (cwport.Batch, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	end := time.After(wait)
	for {
		s.mu.Lock()
		changed, news, away := s.changed, s.history[t].HasSince(after), s.away(s.name)
		s.mu.Unlock()
		if news || away {
			return s.answer(ctx, t, after, false)
		}
		select {
		case <-changed:
		case <-end:
			return s.answer(ctx, t, after, false)
		case <-ctx.Done():
			return cwport.Batch{}, ctx.Err()
		}
	}
}

// answer answers at once; an instance that the store does not answer hears
// nothing until its time is up.
func (s askedBy) answer(ctx context.Context, t cwport.Topic, after uint64, whole bool) (cwport.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole {
		s.calls++
	}
	if s.away(s.name) {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return cwport.Batch{}, ctx.Err()
	}
	rows, _ := s.history[t].Since(after)
	return decoder{}.Decode(t, s.version, rows), nil
}

// decoder reads the rows of table.
type decoder struct{}

func (decoder) Decode(t cwport.Topic, version uint64, rows []cwport.Row) cwport.Batch {
	b := cwport.Batch{Version: version, Raw: rows}
	for _, r := range rows {
		switch {
		case t == cwport.Own:
			b.Rows = append(b.Rows, r)
		case t == cwport.Targets && r.Removed:
			b.Removed = append(b.Removed, cwgroup.MemberID(r.Key))
		case t == cwport.Targets:
			b.Listed = append(b.Listed, cwport.Listing{ID: cwgroup.MemberID(r.Key)})
		default:
			b.Catalogue = &cwcatalogue.Catalogue{Revision: cwcatalogue.Revision(r.Version)}
		}
	}
	return b
}

// fleet is the instances of one data centre, with the store and the paths
// between them.
type fleet struct {
	store *table
	names []string
	dirs  map[string]*Directory
	sinks map[string]*sink

	mu sync.Mutex
	// frozen instances answer nobody and ask nobody.
	frozen map[string]bool
}

// member is one instance's place in the fleet.
type member struct {
	*fleet
	name string
}

func (m member) Feeder() (cwport.Feeder, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var there []string
	for _, n := range m.names {
		if !m.frozen[n] {
			there = append(there, n)
		}
	}
	if m.frozen[m.name] {
		return nil, false
	}
	parent, ok := cwfeed.Tree{}.Parent(m.name, there)
	if !ok {
		return nil, true
	}
	return member{m.fleet, parent}, false
}

func (m member) Name() string { return m.name }

// TellNews is a question of another instance. A frozen feeder lets it wait until
// the asker gives up.
func (m member) TellNews(ctx context.Context, q cwport.NewsQuestion) (cwport.News, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+500*time.Millisecond)
	defer cancel()
	n, err := m.dirs[m.name].TellNews(ctx, q)
	m.mu.Lock()
	frozen := m.frozen[m.name]
	m.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return cwport.News{}, ctx.Err()
	}
	return n, err
}

// run starts n instances and plays f a minute later.
func run(t *testing.T, n int, f func(c *qt.C, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := &fleet{store: newTable(), dirs: map[string]*Directory{}, sinks: map[string]*sink{}, frozen: map[string]bool{}}
		fl.store.put(cwport.Desired, "config", false)
		for i := range n {
			name := fmt.Sprintf("front-%d", i)
			fl.names = append(fl.names, name)
			fl.sinks[name] = &sink{present: map[cwgroup.MemberID]bool{}}
			fl.dirs[name] = &Directory{
				Waits: fleetWaits, Stale: fleetStale, Source: askedBy{fl.store, name}, Decoder: decoder{}, Sink: fl.sinks[name],
				Feeders: member{fl, name}, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard),
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for _, name := range fl.names {
			d := fl.dirs[name]
			wg.Go(func() { c.Check(d.Run(ctx), qt.IsNil) })
		}
		defer wg.Wait()
		defer cancel()
		time.Sleep(time.Minute)
		f(c, fl)
	})
}

// freeze stops an instance, as those who ask it notice after a while.
func (fl *fleet) freeze(name string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.frozen[name] = true
}

func (fl *fleet) roots() (roots []string) {
	for _, name := range fl.names {
		if _, root := (member{fl, name}).Feeder(); root {
			roots = append(roots, name)
		}
	}
	return roots
}

// change writes a desired state and returns how long it takes until it is in
// force at the last of the instances that are not left out.
func (fl *fleet) change(c *qt.C, without ...string) time.Duration {
	c.Helper()
	fl.store.put(cwport.Desired, "config", false)
	want := cwcatalogue.Revision(fl.store.version)
	began := time.Now()
	for {
		late := ""
		for _, name := range fl.names {
			if fl.sinks[name].revision() < want && !contains(without, name) {
				late = name
			}
		}
		if late == "" {
			return time.Since(began)
		}
		if time.Since(began) > time.Minute {
			c.Fatalf("%s goes on with an old desired state", late)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

const fleetSize = 32

// Every instance asked the store for every topic, and all were woken by every
// change: with 195 instances a quiet minute cost 7,000 calls, the largest price
// that the deployment paid.
func TestFewAskTheStore(t *testing.T) {
	run(t, fleetSize, func(c *qt.C, fl *fleet) {
		c.Assert(fl.roots(), qt.HasLen, cwfeed.DefaultRoots)
		before := fl.store.count()
		took := fl.change(c)
		c.Assert(took < 500*time.Millisecond, qt.IsTrue, qt.Commentf("in force after %v", took))
		time.Sleep(time.Minute)
		calls := fl.store.count() - before
		// Each root asks for three topics, every 1.9, 3.6 and 9 s.
		c.Assert(calls <= 120, qt.IsTrue, qt.Commentf("%d calls in a minute", calls))
	})
}

// All instances start at once. Each was two seconds without a feeder, since the
// first question was held like any other while nothing changed.
func TestFeederIsKnownAtOnce(t *testing.T) {
	run(t, fleetSize, func(c *qt.C, fl *fleet) {
		restarted := fl.names[0]
		for _, name := range fl.names {
			if _, root := (member{fl, name}).Feeder(); !root {
				restarted = name
			}
		}
		for range 5 {
			d := &Directory{
				Waits: fleetWaits, Stale: fleetStale, Source: askedBy{fl.store, restarted}, Decoder: decoder{},
				Sink:    &sink{present: map[cwgroup.MemberID]bool{}},
				Feeders: placedLater{member{fl, restarted}, time.Now().Add(50 * time.Millisecond)}, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard),
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error)
			go func() { done <- d.Run(ctx) }()
			time.Sleep(300 * time.Millisecond)
			c.Check(d.newsSource(), qt.Equals, fromFeeder)
			cancel()
			c.Assert(<-done, qt.IsNil)
		}
	})
}

// placedLater is an instance that has no place in the tree before it has read the
// list of instances.
type placedLater struct {
	member
	from time.Time
}

func (p placedLater) Feeder() (cwport.Feeder, bool) {
	if time.Now().Before(p.from) {
		return nil, false
	}
	return p.member.Feeder()
}

// An operator's change is acknowledged while an instance that tells others
// stands still, or does not reach the store. Those that it tells are well, and
// owe their callers the new state in time.
func TestDesiredStateIsInForceInTime(t *testing.T) {
	for _, tc := range []struct {
		name    string
		harm    func(fl *fleet, roots []string)
		without int
	}{
		{"a root freezes", func(fl *fleet, roots []string) { fl.freeze(roots[0]) }, 1},
		{"all roots freeze", func(fl *fleet, roots []string) {
			for _, r := range roots {
				fl.freeze(r)
			}
		}, 2},
		{"the store does not answer the roots", func(fl *fleet, roots []string) {
			fl.store.setAway(func(name string) bool { return contains(roots, name) })
		}, 2},
		{"the store answers nobody for a while", func(fl *fleet, _ []string) {
			fl.store.setAway(func(string) bool { return true })
			time.Sleep(20 * time.Second)
			fl.store.setAway(func(string) bool { return false })
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, fleetSize, func(c *qt.C, fl *fleet) {
				roots := fl.roots()
				tc.harm(fl, roots)
				took := fl.change(c, roots[:tc.without]...)
				c.Assert(took < configBound, qt.IsTrue, qt.Commentf("in force after %v", took))
			})
		})
	}
}

// The store is away. Every instance asked it twice a second, 390 calls a second
// of 195 instances, all of them refused and counted.
func TestStoreThatIsAwayIsAskedByFew(t *testing.T) {
	run(t, fleetSize, func(c *qt.C, fl *fleet) {
		fl.store.setAway(func(string) bool { return true })
		time.Sleep(20 * time.Second)
		before := fl.store.count()
		time.Sleep(20 * time.Second)
		perSecond := float64(fl.store.count()-before) / 20
		c.Assert(perSecond <= 18, qt.IsTrue, qt.Commentf("%.1f calls a second", perSecond))
	})
}

// The store is back for a moment, shows that entries lapsed, and goes away
// again; an instance that hears of it from another one only must not take living
// targets as gone, and must do so once the store says so.
func TestFollowerKeepsTargetsWhileTheStoreIsAway(t *testing.T) {
	run(t, fleetSize, func(c *qt.C, fl *fleet) {
		fl.store.put(cwport.Targets, "a", false)
		time.Sleep(5 * time.Second)
		fl.store.put(cwport.Targets, "a", true)
		time.Sleep(1200 * time.Millisecond)
		fl.store.setAway(func(string) bool { return true })
		time.Sleep(time.Minute)
		for _, name := range fl.names {
			c.Assert(fl.sinks[name].has("a"), qt.IsTrue, qt.Commentf("%s", name))
		}
		fl.store.setAway(func(string) bool { return false })
		time.Sleep(time.Minute)
		for _, name := range fl.names {
			c.Assert(fl.sinks[name].has("a"), qt.IsFalse, qt.Commentf("%s", name))
		}
	})
}

// A target leaves. One answer says so; another one, older and held up on its
// way, says that it is there, and is taken last: work goes to it again.
func TestOlderAnswerChangesNothing(t *testing.T) {
	c := qt.New(t)
	out := &sink{present: map[cwgroup.MemberID]bool{}}
	d := &Directory{Sink: out, Decoder: decoder{}, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard)}
	d.prepare()
	row := func(v uint64, removed bool) []cwport.Row {
		return []cwport.Row{{Key: "a", Version: v, Removed: removed}}
	}
	now := time.Now()
	d.take(cwport.Targets, decoder{}.Decode(cwport.Targets, 5, row(4, false)), true, now)
	d.take(cwport.Targets, decoder{}.Decode(cwport.Targets, 9, row(8, true)), false, now)
	d.take(cwport.Targets, decoder{}.Decode(cwport.Targets, 7, row(6, false)), false, now)
	d.mu.Lock()
	c.Assert(d.vanished["a"].IsZero(), qt.IsFalse, qt.Commentf("the entry is gone, and nothing newer says that it is back"))
	d.mu.Unlock()
	older := append(row(6, false), cwport.Row{Key: "b", Version: 5})
	d.take(cwport.Targets, decoder{}.Decode(cwport.Targets, 8, older), true, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	c.Assert(d.vanished["a"].IsZero(), qt.IsFalse)
	rows, _ := d.topics[cwport.Targets].history.Since(0)
	c.Assert(rows, qt.HasLen, 0, qt.Commentf("b was gone by version 9, and is told to nobody"))
}

// The store answers about the list of targets and not about the product's own
// rows, where the members of groups are remembered. Callers are served all the
// same.
func TestListCountsWithoutTheOwnRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newTable()
		store.put(cwport.Targets, "a", false)
		out := &sink{present: map[cwgroup.MemberID]bool{}}
		d := &Directory{
			Waits: fleetWaits, Source: withoutOwn{askedBy{store, "front-1"}}, Sink: out, Remembered: func() []cwport.Listing { return nil },
			Clock: clockwork.NewRealClock(), Log: log.New(io.Discard),
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- d.Run(ctx) }()
		defer func() {
			cancel()
			c.Check(<-done, qt.IsNil)
		}()
		time.Sleep(3 * time.Second)
		c.Assert(out.has("a"), qt.IsTrue)
	})
}

// withoutOwn is a store that does not answer about the product's own rows.
type withoutOwn struct{ askedBy }

func (s withoutOwn) Snapshot(ctx context.Context, t cwport.Topic) (cwport.Batch, error) {
	if t == cwport.Own {
		return cwport.Batch{}, errAway
	}
	return s.askedBy.Snapshot(ctx, t)
}

// A replacement starts while the store is away. When the store returns, one of a
// group's three members has its entry back, the others a second and a half later.
// The instance took the one for the whole group; a supervisor read a booking's
// state from before it was made.
func TestFirstListAfterAnOutageIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newTable()
		store.setAway(func(string) bool { return true })
		out := &sink{present: map[cwgroup.MemberID]bool{}}
		d := &Directory{
			Waits: fleetWaits, Source: askedBy{store, "front-1"}, Sink: out,
			Clock: clockwork.NewRealClock(), Log: log.New(io.Discard),
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- d.Run(ctx) }()
		defer func() {
			cancel()
			c.Check(<-done, qt.IsNil)
		}()
		time.Sleep(5 * time.Second)
		store.put(cwport.Targets, "a", false)
		store.setAway(func(string) bool { return false })
		back := time.Now()
		time.AfterFunc(1500*time.Millisecond, func() {
			store.put(cwport.Targets, "b", false)
			store.put(cwport.Targets, "c", false)
		})
		for !out.has("a") && !out.has("b") && !out.has("c") {
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(out.has("a") && out.has("b") && out.has("c"), qt.IsTrue)
		c.Assert(time.Since(back) < 5*time.Second, qt.IsTrue, qt.Commentf("the list is told after %v", time.Since(back)))
	})
}

// All instances are killed within a second or two of the store's return, which
// none of them sees when it starts again. The entries of two of a group's members
// are not back yet. The third, which had led until it was replaced behind a cut,
// was taken for the whole group and led on.
func TestMembersAreRememberedAcrossAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newTable()
		store.put(cwport.Targets, "a", false)
		store.put(cwport.Own, "members/s", false)
		out := &sink{present: map[cwgroup.MemberID]bool{}}
		ownRead := false
		d := &Directory{
			Waits: fleetWaits, GoneAfter: 8 * time.Second, Source: askedBy{store, "front-1"}, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard),
			Sink: rowsSink{out, func() { ownRead = true }},
			Remembered: func() []cwport.Listing {
				c.Check(ownRead, qt.IsTrue, qt.Commentf("asked before the rows are known"))
				return []cwport.Listing{{ID: "a"}, {ID: "b"}, {ID: "c"}}
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- d.Run(ctx) }()
		defer func() {
			cancel()
			c.Check(<-done, qt.IsNil)
		}()
		time.Sleep(100 * time.Millisecond)
		c.Assert(out.has("a") && out.has("b") && out.has("c"), qt.IsTrue)
		time.Sleep(1400 * time.Millisecond)
		store.put(cwport.Targets, "b", false)
		time.Sleep(7 * time.Second)
		c.Assert(out.has("b"), qt.IsTrue)
		c.Assert(out.has("c"), qt.IsFalse, qt.Commentf("its entry did not come back"))
	})
}

// rowsSink is a sink that is told of rows.
type rowsSink struct {
	*sink
	rows func()
}

func (s rowsSink) Rows([]cwport.Row, bool) { s.rows() }
