package cwinstance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmembers"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpeers"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// fleetCentres is how many data centres the instances of a fleet are in.
const fleetCentres = 6

// fleet is what the platform's store tells one instance of a whole deployment. It
// implements cwport.Source and cwport.Decoder; each reading has copies of its own.
type fleet struct {
	instances, groups int
	rows              [cwport.TopicCount][]cwport.Row
	version           cwfeed.Version
}

func centreName(i int) string   { return fmt.Sprintf("centre-%d", i%fleetCentres) }
func instanceName(i int) string { return fmt.Sprintf("%s-front-%d", centreName(i), i/fleetCentres) }
func groupName(i int) string    { return fmt.Sprintf("ledger%04d", i) }

func newFleet(instances, groups int) *fleet {
	f := &fleet{instances: instances, groups: groups}
	for i := range instances {
		f.add(cwport.Own, cwpeers.InstanceKey(cwholder.Instance{ID: instanceName(i), DataCentre: centreName(i)}), fields{"address": fmt.Sprintf("10.1.0.%d:7440", i), "dataCentre": centreName(i)})
	}
	for g := range groups {
		var members []fields
		for m := range 3 {
			members = append(members, fields{"id": memberName(g, m), "address": "10.2.0.1:8080", "dataCentre": centreName(m), "slots": 3, "of": 3})
			f.add(cwport.Targets, memberName(g, m), fields{
				"group": groupName(g), "address": "10.2.0.1:8080", "dataCentre": centreName(m), "slots": 3, "state": "ready", "count": 7, "version": "16.2",
			})
		}
		f.add(cwport.Own, cwmembers.KeyPrefix+groupName(g), members)
	}
	f.add(cwport.Desired, "config", fields{"groups": groups})
	return f
}

type fields map[string]any

func memberName(g, m int) string { return fmt.Sprintf("i-%04d-%d", g, m) }

func (f *fleet) add(t cwport.Topic, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	f.version++
	f.rows[t] = append(f.rows[t], cwport.Row{Key: key, Value: b, Version: f.version})
}

// Decode implements cwport.Decoder.
func (f *fleet) Decode(t cwport.Topic, version cwfeed.Version, rows []cwport.Row) cwport.Batch {
	b := cwport.Batch{Version: version, Raw: rows}
	switch t {
	case cwport.Desired:
		b.Catalogue = f.catalogue()
	case cwport.Own:
		b.Rows = rows
	case cwport.Targets:
		for _, r := range rows {
			var l struct {
				Group, Address, DataCentre string
				Slots                      int
			}
			if err := json.Unmarshal(r.Value, &l); err != nil {
				b.Faults = append(b.Faults, cwport.RowFault{Key: r.Key, Version: r.Version, Cause: err})
				continue
			}
			b.Listed = append(b.Listed, cwport.Listing{
				ID: cwgroup.MemberID(r.Key), Service: l.Group, Address: l.Address, DataCentre: l.DataCentre, Slots: l.Slots, Role: cwport.LeadershipReplica,
			})
		}
	}
	return b
}

func (f *fleet) catalogue() *cwcatalogue.Catalogue {
	c := &cwcatalogue.Catalogue{Revision: 3}
	for g := range f.groups {
		c.Entries = append(c.Entries, cwcatalogue.Entry{
			Service: fmt.Sprintf("books%04d", g), Groups: []cwcatalogue.Group{{Name: groupName(g)}},
			Contract: cwcatalogue.Contract{Connections: 278, StatementTimeout: 800 * time.Millisecond, Aim: 150 * time.Millisecond, Reads: cwcatalogue.ReadLatest},
		})
	}
	return c
}

// Snapshot implements cwport.Source.
func (f *fleet) Snapshot(_ context.Context, t cwport.Topic) (cwport.Batch, error) {
	rows := make([]cwport.Row, 0, len(f.rows[t]))
	for _, r := range f.rows[t] {
		r.Key, r.Value = string([]byte(r.Key)), append([]byte(nil), r.Value...)
		rows = append(rows, r)
	}
	return f.Decode(t, f.version, rows), nil
}

// Changes implements cwport.Source.
func (f *fleet) Changes(ctx context.Context, _ cwport.Topic, after cwfeed.Version, wait time.Duration) (cwport.Batch, error) {
	select {
	case <-time.After(wait):
		return cwport.Batch{Version: after}, nil
	case <-ctx.Done():
		return cwport.Batch{}, ctx.Err()
	}
}

// nobody answers at the address of any instance or target, and takes every row.
type nobody struct{}

var errNobody = &net.OpError{Op: "dial", Err: net.UnknownNetworkError("none")}

func (nobody) Dial(context.Context, cwport.Endpoint, string) (cwport.Target, error) {
	return nil, errNobody
}

func (nobody) Get(context.Context, string) (cwplatform.Row, error) {
	return cwplatform.Row{}, &cwplatform.NotFoundError{}
}
func (nobody) List(context.Context, string) ([]cwplatform.Row, error) { return nil, nil }
func (nobody) Commit(context.Context, cwplatform.Change) error        { return nil }

// footprint is what an instance of a fleet takes.
type footprint struct {
	// heap is live memory in bytes, garbage what is allocated in a second at rest.
	heap, garbage float64
	// goroutines and groups are how many there are.
	goroutines, groups int
}

// measure runs one instance of a fleet on virtual time, and returns what it takes at rest.
func measure(f *fleet) (out footprint) {
	before, running := liveHeap(), runtime.NumGoroutine()
	in := New(Config{
		Name: instanceName(0), DataCentre: centreName(0), Peers: "10.1.0.0:7440", Grace: 6 * time.Second,
		Dialer: nobody{}, Source: f, Decoder: f, Table: nobody{}, Era: func() uint64 { return 0 },
		Clock: clockwork.NewRealClock(), Log: log.NewWithOptions(io.Discard, log.Options{Formatter: log.LogfmtFormatter}), DataCentres: fleetCentres,
	})
	in.dir.PollWaits.Desired, in.dir.PollWaits.Targets = 5*time.Second, 8*time.Second
	in.dir.StaleAfter.Desired, in.dir.StaleAfter.Targets = 5*time.Second, 8*time.Second
	in.peers.Dial = func(context.Context, string, string) (cwpeers.Conn, error) { return nil, errNobody }
	ctx, cancel := context.WithCancel(context.Background())
	eg, ctx := errgroup.WithContext(ctx)
	in.engine.Start(ctx, eg)
	eg.Go(func() error { return in.dir.Run(ctx) })
	eg.Go(func() error { return in.members.Run(ctx) })
	eg.Go(func() error { return in.peers.Run(ctx) })
	time.Sleep(time.Minute)
	out.heap = liveHeap() - before
	out.goroutines = runtime.NumGoroutine() - running
	for g := range f.groups {
		if _, made := in.engine.Group(groupName(g)); made {
			out.groups++
		}
	}
	const rest = 10
	allocated := totalAllocated()
	time.Sleep(rest * time.Second)
	out.garbage = (totalAllocated() - allocated) / rest
	cancel()
	_ = eg.Wait()
	return out
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func totalAllocated() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.TotalAlloc)
}

// Guards against an instance whose part in the deployment grows with the number of groups.
func TestInstanceOfAFleetMakesTheGroupsThatItHolds(t *testing.T) {
	for _, n := range []int{60, 240} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(n, 2*cwholder.ManyGroupsThreshold)
				took := measure(f)
				held := 0
				all := make([]cwholder.Instance, 0, n)
				for i := range n {
					all = append(all, cwholder.Instance{ID: instanceName(i), DataCentre: centreName(i)})
				}
				for g := range f.groups {
					for _, h := range cwholder.Holders(groupName(g), all, cwholder.TargetCapacity{Connections: 278, Slots: 3, ManyGroups: true}) {
						if h.ID == instanceName(0) {
							held++
						}
					}
				}
				qt.Assert(t, took.groups, qt.Equals, held)
			})
		})
	}
}

// Guards against work at rest for groups that others hold.
func TestInstanceOfAFleetAtRest(t *testing.T) {
	for _, size := range []struct{ instances, groups int }{{30, 100}, {100, 333}, {300, 1000}, {986, 1000}, {2000, 2000}} {
		t.Run(fmt.Sprintf("%d instances, %d groups", size.instances, size.groups), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				took := measure(newFleet(size.instances, size.groups))
				t.Logf("%.1f MB live, %.0f kB of garbage a second, %d goroutines, %d groups made",
					took.heap/1e6, took.garbage/1e3, took.goroutines, took.groups)
				if size.groups > cwholder.ManyGroupsThreshold {
					perGroup := took.garbage / float64(max(1, took.groups))
					qt.Assert(t, perGroup < garbageOfAGroup, qt.IsTrue, qt.Commentf("%.0f bytes a second for each group that is held", perGroup))
				}
			})
		})
	}
}

// garbageOfAGroup bounds what a group that is held, and whose targets do not answer,
// allocates in a second, in bytes: some questions to each of three targets, twenty times.
const garbageOfAGroup = 500e3
