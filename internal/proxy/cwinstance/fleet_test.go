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

// dataCentreCount is the number of data centres of a deployment in these tests.
const dataCentreCount = 6

// fakeStore is the platform's store of a whole deployment. It implements cwport.Source
// and cwport.Decoder. Each snapshot is a copy, so that its memory counts as the
// instance's.
type fakeStore struct {
	instances, groups int
	rows              [cwport.TopicCount][]cwport.Row
	version           cwfeed.Version
}

func dataCentreName(i int) string { return fmt.Sprintf("centre-%d", i%dataCentreCount) }
func instanceName(i int) string {
	return fmt.Sprintf("%s-front-%d", dataCentreName(i), i/dataCentreCount)
}
func groupName(i int) string { return fmt.Sprintf("ledger%04d", i) }

func newFakeStore(instances, groups int) *fakeStore {
	f := &fakeStore{instances: instances, groups: groups}
	for i := range instances {
		f.add(cwport.TopicOwn, cwpeers.InstanceKey(cwholder.Instance{ID: instanceName(i), DataCentre: dataCentreName(i)}), jsonObject{"address": fmt.Sprintf("10.1.0.%d:7440", i), "dataCentre": dataCentreName(i)})
	}
	for g := range groups {
		var members []jsonObject
		for m := range 3 {
			members = append(members, jsonObject{"id": memberName(g, m), "address": "10.2.0.1:8080", "dataCentre": dataCentreName(m), "slots": 3, "of": 3})
			f.add(cwport.TopicTargets, memberName(g, m), jsonObject{
				"group": groupName(g), "address": "10.2.0.1:8080", "dataCentre": dataCentreName(m), "slots": 3, "state": "ready", "count": 7, "version": "16.2",
			})
		}
		f.add(cwport.TopicOwn, cwmembers.KeyPrefix+groupName(g), members)
	}
	f.add(cwport.TopicDesired, "config", jsonObject{"groups": groups})
	return f
}

type jsonObject map[string]any

func memberName(g, m int) string { return fmt.Sprintf("i-%04d-%d", g, m) }

func (f *fakeStore) add(t cwport.Topic, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	f.version++
	f.rows[t] = append(f.rows[t], cwport.Row{Key: key, Value: b, Version: f.version})
}

// Decode implements cwport.Decoder.
func (f *fakeStore) Decode(t cwport.Topic, version cwfeed.Version, rows []cwport.Row) cwport.Batch {
	b := cwport.Batch{Version: version, Raw: rows}
	switch t {
	case cwport.TopicDesired:
		b.Catalogue = f.catalogue()
	case cwport.TopicOwn:
		b.OwnRows = rows
	case cwport.TopicTargets:
		for _, r := range rows {
			var l struct {
				Group, Address, DataCentre string
				Slots                      int
			}
			if err := json.Unmarshal(r.Value, &l); err != nil {
				b.RowErrors = append(b.RowErrors, cwport.RowError{Key: r.Key, Version: r.Version, Cause: err})
				continue
			}
			b.Updated = append(b.Updated, cwport.ListedTarget{
				ID: cwgroup.MemberID(r.Key), Service: l.Group, Address: l.Address, DataCentre: l.DataCentre, Slots: l.Slots, Role: cwport.RoleReplica,
			})
		}
	}
	return b
}

func (f *fakeStore) catalogue() *cwcatalogue.Catalogue {
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
func (f *fakeStore) Snapshot(_ context.Context, t cwport.Topic) (cwport.Batch, error) {
	rows := make([]cwport.Row, 0, len(f.rows[t]))
	for _, r := range f.rows[t] {
		r.Key, r.Value = string([]byte(r.Key)), append([]byte(nil), r.Value...)
		rows = append(rows, r)
	}
	return f.Decode(t, f.version, rows), nil
}

// Changes implements cwport.Source.
func (f *fakeStore) Changes(ctx context.Context, _ cwport.Topic, after cwfeed.Version, wait time.Duration) (cwport.Batch, error) {
	select {
	case <-time.After(wait):
		return cwport.Batch{Version: after}, nil
	case <-ctx.Done():
		return cwport.Batch{}, ctx.Err()
	}
}

// unreachable is a Dialer that reaches no target, and a Table without rows to which
// all writes succeed.
type unreachable struct{}

var errUnreachable = &net.OpError{Op: "dial", Err: net.UnknownNetworkError("none")}

func (unreachable) Dial(context.Context, cwport.Endpoint, string) (cwport.TargetConn, error) {
	return nil, errUnreachable
}

func (unreachable) Get(context.Context, string) (cwplatform.Row, error) {
	return cwplatform.Row{}, &cwplatform.NotFoundError{}
}
func (unreachable) List(context.Context, string) ([]cwplatform.Row, error) { return nil, nil }
func (unreachable) Commit(context.Context, cwplatform.Change) error        { return nil }

// idleUsage is the resource usage of an idle instance.
type idleUsage struct {
	// heap is the live heap in bytes, allocRate the bytes allocated per second.
	heap, allocRate float64
	// goroutines and groups are the numbers of goroutines and of created groups.
	goroutines, groups int
}

// measureIdleInstance runs one instance without callers on virtual time, and returns
// its resource usage after a minute.
func measureIdleInstance(f *fakeStore) (out idleUsage) {
	before, running := liveHeap(), runtime.NumGoroutine()
	in := New(Config{
		Name: instanceName(0), DataCentre: dataCentreName(0), PeerListen: "10.1.0.0:7440", GracePeriod: 6 * time.Second,
		Dialer: unreachable{}, Source: f, Decoder: f, Table: unreachable{}, Era: func() uint64 { return 0 },
		Clock: clockwork.NewRealClock(), Log: log.NewWithOptions(io.Discard, log.Options{Formatter: log.LogfmtFormatter}), DataCentres: dataCentreCount,
	})
	in.directory.PollWaits.Desired, in.directory.PollWaits.Targets = 5*time.Second, 8*time.Second
	in.directory.StaleAfter.Desired, in.directory.StaleAfter.Targets = 5*time.Second, 8*time.Second
	in.peers.Dial = func(context.Context, string, string) (cwpeers.Conn, error) { return nil, errUnreachable }
	ctx, cancel := context.WithCancel(context.Background())
	eg, ctx := errgroup.WithContext(ctx)
	in.engine.Start(ctx, eg)
	eg.Go(func() error { return in.directory.Run(ctx) })
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
	const seconds = 10
	allocated := totalAllocated()
	time.Sleep(seconds * time.Second)
	out.allocRate = (totalAllocated() - allocated) / seconds
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

// Guards against work that grows with the number of all groups: an instance creates
// only the groups that it holds.
func TestInstanceCreatesOnlyHeldGroups(t *testing.T) {
	for _, n := range []int{60, 240} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeStore(n, 2*cwholder.ManyGroupsThreshold)
				usage := measureIdleInstance(f)
				held := 0
				all := make([]cwholder.Instance, 0, n)
				for i := range n {
					all = append(all, cwholder.Instance{ID: instanceName(i), DataCentre: dataCentreName(i)})
				}
				for g := range f.groups {
					for _, h := range cwholder.Holders(groupName(g), all, cwholder.TargetCapacity{Connections: 278, Slots: 3, ManyGroups: true}) {
						if h.ID == instanceName(0) {
							held++
						}
					}
				}
				qt.Assert(t, usage.groups, qt.Equals, held)
			})
		})
	}
}

// Guards against work of an idle instance for groups that only other instances hold.
func TestIdleInstanceAllocatesOnlyForHeldGroups(t *testing.T) {
	for _, size := range []struct{ instances, groups int }{{30, 100}, {100, 333}, {300, 1000}, {986, 1000}, {2000, 2000}} {
		t.Run(fmt.Sprintf("%d instances, %d groups", size.instances, size.groups), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				usage := measureIdleInstance(newFakeStore(size.instances, size.groups))
				t.Logf("%.1f MB live, %.0f kB of garbage a second, %d goroutines, %d groups made",
					usage.heap/1e6, usage.allocRate/1e3, usage.goroutines, usage.groups)
				if size.groups > cwholder.ManyGroupsThreshold {
					perGroup := usage.allocRate / float64(max(1, usage.groups))
					qt.Assert(t, perGroup < maxAllocRatePerGroup, qt.IsTrue, qt.Commentf("%.0f bytes a second for each group that is held", perGroup))
				}
			})
		})
	}
}

// maxAllocRatePerGroup bounds the bytes that a held group whose targets don't answer
// allocates in a second: some requests to each of three targets, twenty times a second.
const maxAllocRatePerGroup = 500e3
