package cwdirectory

import (
	"context"
	"fmt"
	"io"
	"slices"
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

// Waits and ages of the instances in a fleet, as in a deployment with hundreds of
// instances.
var (
	fleetWaits = PollWaits{Desired: 5 * time.Second, Targets: 8 * time.Second}
	fleetStale = StaleAfter{Desired: 4200 * time.Millisecond, Targets: 8 * time.Second}
)

// maxConfigDelay is the longest time until a desired state is in force.
const maxConfigDelay = 6 * time.Second

// fakeStore is the platform's store in memory, on virtual time. A target's row has only
// its id as the key; the version of the desired state's row is its revision.
type fakeStore struct {
	mu      sync.Mutex
	version cwfeed.Version
	history [cwport.TopicCount]cwfeed.ChangeLog[cwport.Row]
	changed chan struct{}
	// calls counts all requests, snapshots those for snapshots.
	calls, snapshots int
	// unavailable reports whether the store does not answer an instance.
	unavailable func(name string) bool
}

func newFakeStore() *fakeStore {
	s := &fakeStore{version: 1, changed: make(chan struct{}), unavailable: func(string) bool { return false }}
	for i := range s.history {
		s.history[i].Replace(1, nil)
	}
	return s
}

// put writes or removes a row in the next version.
func (s *fakeStore) put(t cwport.Topic, key string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history[t].Apply(s.version, (&Directory{Clock: clockwork.NewRealClock()}).changeLogEntries([]cwport.Row{{Key: key, Version: s.version, Removed: removed}}))
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore simulates a restore from an empty copy, in the next era.
func (s *fakeStore) restore(c *qt.C) {
	c.Helper()
	s.mu.Lock()
	version, err := cwfeed.NewVersion(s.version.Era()+1, 1)
	c.Assert(err, qt.IsNil)
	s.version = version
	for i := range s.history {
		s.history[i] = cwfeed.ChangeLog[cwport.Row]{}
		s.history[i].Replace(version, nil)
	}
	s.mu.Unlock()
}

// setUnavailable sets which instances the store does not answer.
func (s *fakeStore) setUnavailable(f func(name string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = f
}

// count returns the number of requests so far.
func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// storeClient is the connection of one instance to the store.
type storeClient struct {
	*fakeStore
	name string
}

func (s storeClient) Snapshot(ctx context.Context, t cwport.Topic) (cwport.Batch, error) {
	return s.answer(ctx, t, 0, true)
}

func (s storeClient) Changes(ctx context.Context, t cwport.Topic, after cwfeed.Version, wait time.Duration) (cwport.Batch, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	end := time.After(wait)
	for {
		s.mu.Lock()
		changed, hasChanges, unavailable := s.changed, s.history[t].HasChangesSince(after), s.unavailable(s.name)
		s.mu.Unlock()
		if hasChanges || unavailable {
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

// answer answers at once. If the store does not answer the instance, it blocks until ctx
// ends.
func (s storeClient) answer(ctx context.Context, t cwport.Topic, after cwfeed.Version, whole bool) (cwport.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole {
		s.calls++
		s.snapshots++
	}
	if s.unavailable(s.name) {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return cwport.Batch{}, ctx.Err()
	}
	if !whole && s.version.Era() > after.Era() {
		return cwport.Batch{}, &cwport.ChangesLostError{After: after}
	}
	rows, _ := s.history[t].ChangesSince(after)
	return decoder{}.Decode(t, s.version, rows), nil
}

// decoder decodes the rows of fakeStore.
type decoder struct{}

func (decoder) Decode(t cwport.Topic, version cwfeed.Version, rows []cwport.Row) cwport.Batch {
	b := cwport.Batch{Version: version, Raw: rows}
	for _, r := range rows {
		switch {
		case t == cwport.TopicOwn:
			b.OwnRows = append(b.OwnRows, r)
		case t == cwport.TopicTargets && r.Removed:
			b.Removed = append(b.Removed, cwgroup.MemberID(r.Key))
		case t == cwport.TopicTargets:
			b.Updated = append(b.Updated, cwport.ListedTarget{ID: cwgroup.MemberID(r.Key)})
		default:
			b.Catalogue = &cwcatalogue.Catalogue{Revision: cwcatalogue.Revision(r.Version)}
		}
	}
	return b
}

// fleet has the instances of one data centre, which share a store and request changes from
// one another.
type fleet struct {
	store *fakeStore
	names []string
	dirs  map[string]*Directory
	sinks map[string]*fakeSink

	mu sync.Mutex
	// frozen instances neither answer nor have a feeder.
	frozen map[string]bool
}

// fleetInstance is one instance of a fleet. It implements cwport.Feeders for itself and
// cwport.Feeder for the others.
type fleetInstance struct {
	*fleet
	name string
}

func (m fleetInstance) Feeder() (cwport.Feeder, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var running []string
	for _, n := range m.names {
		if !m.frozen[n] {
			running = append(running, n)
		}
	}
	if m.frozen[m.name] {
		return nil, false
	}
	parent, ok := cwfeed.DistributionTree{}.Parent(m.name, running)
	if !ok {
		return nil, true
	}
	return fleetInstance{m.fleet, parent}, false
}

func (m fleetInstance) Name() string { return m.name }

// ServeChanges handles a request of another instance. A frozen feeder does not answer before
// the request times out.
func (m fleetInstance) ServeChanges(ctx context.Context, q cwport.ChangesRequest) (cwport.ChangesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+500*time.Millisecond)
	defer cancel()
	n, err := m.dirs[m.name].ServeChanges(ctx, q)
	m.mu.Lock()
	frozen := m.frozen[m.name]
	m.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return cwport.ChangesResponse{}, ctx.Err()
	}
	return n, err
}

// runFleet starts n instances on virtual time and runs f a minute later.
func runFleet(t *testing.T, n int, f func(c *qt.C, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := &fleet{store: newFakeStore(), dirs: map[string]*Directory{}, sinks: map[string]*fakeSink{}, frozen: map[string]bool{}}
		fl.store.put(cwport.TopicDesired, "config", false)
		for i := range n {
			name := fmt.Sprintf("front-%d", i)
			fl.names = append(fl.names, name)
			fl.sinks[name] = &fakeSink{present: map[cwgroup.MemberID]bool{}}
			fl.dirs[name] = &Directory{
				PollWaits: fleetWaits, StaleAfter: fleetStale, Source: storeClient{fl.store, name}, Decoder: decoder{}, Sink: fl.sinks[name],
				Feeders: fleetInstance{fl, name}, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard),
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

// freeze makes an instance stop answering.
func (fl *fleet) freeze(name string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.frozen[name] = true
}

// roots returns the instances that read from the store.
func (fl *fleet) roots() (roots []string) {
	for _, name := range fl.names {
		if _, root := (fleetInstance{fl, name}).Feeder(); root {
			roots = append(roots, name)
		}
	}
	return roots
}

// changeDesired writes a desired state and returns how long it takes until it is in force
// at all instances except those in excluded.
func (fl *fleet) changeDesired(c *qt.C, excluded ...string) time.Duration {
	c.Helper()
	fl.store.put(cwport.TopicDesired, "config", false)
	want := cwcatalogue.Revision(fl.store.version)
	began := time.Now()
	for {
		behind := ""
		for _, name := range fl.names {
			if fl.sinks[name].revision() < want && !slices.Contains(excluded, name) {
				behind = name
			}
		}
		if behind == "" {
			return time.Since(began)
		}
		if time.Since(began) > time.Minute {
			c.Fatalf("%s goes on with an old desired state", behind)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runOne runs d while f runs. It sets the waits, clock and log.
func runOne(t *testing.T, d *Directory, f func(c *qt.C)) {
	c := qt.New(t)
	d.PollWaits, d.Clock, d.Log = fleetWaits, clockwork.NewRealClock(), log.New(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- d.Run(ctx) }()
	defer func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	}()
	f(c)
}
