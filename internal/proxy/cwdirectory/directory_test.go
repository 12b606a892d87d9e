package cwdirectory

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// source answers questions by a function; snapshots are empty.
type source struct {
	mu    sync.Mutex
	asked []time.Duration
	// changes answers questions about the desired state.
	changes func(ctx context.Context, n int, wait time.Duration) (cwport.Batch, error)
	targets chan cwport.Batch
	// lost makes questions about targets fail.
	lost         atomic.Bool
	targetsAsked atomic.Int64
}

func (s *source) Snapshot(_ context.Context, t cwport.Topic) (cwport.Batch, error) {
	if t == cwport.Targets {
		return cwport.Batch{Version: 1, Listed: []cwport.Listing{{ID: "a"}, {ID: "b"}}}, nil
	}
	return cwport.Batch{Version: 1}, nil
}

func (s *source) Changes(ctx context.Context, t cwport.Topic, after cwfeed.Version, wait time.Duration) (cwport.Batch, error) {
	switch t {
	case cwport.Desired:
		s.mu.Lock()
		s.asked = append(s.asked, wait)
		n := len(s.asked)
		s.mu.Unlock()
		if s.changes != nil {
			return s.changes(ctx, n, wait)
		}
	case cwport.Targets:
		s.targetsAsked.Add(1)
		if s.lost.Load() {
			return cwport.Batch{}, errAway
		}
		select {
		case b := <-s.targets:
			return b, nil
		case <-time.After(wait):
			return cwport.Batch{Version: after}, nil
		case <-ctx.Done():
			return cwport.Batch{}, ctx.Err()
		}
	}
	<-ctx.Done()
	return cwport.Batch{}, ctx.Err()
}

// sink collects the news.
type sink struct {
	mu        sync.Mutex
	revisions []cwcatalogue.Revision
	present   map[cwgroup.MemberID]bool
	// lapsed has those that are used though their entries are missing.
	lapsed map[cwgroup.MemberID]bool
}

func (s *sink) SetCatalogue(c cwcatalogue.Catalogue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revisions = append(s.revisions, c.Revision)
}

func (s *sink) SetListings(all []cwport.Listing) { s.ChangeListings(all, nil) }

func (s *sink) ChangeListings(listed []cwport.Listing, removed []cwgroup.MemberID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lapsed == nil {
		s.lapsed = make(map[cwgroup.MemberID]bool)
	}
	for _, l := range listed {
		s.present[l.ID], s.lapsed[l.ID] = true, l.Lapsed
	}
	for _, id := range removed {
		delete(s.present, id)
	}
}

func (s *sink) Rows([]cwport.Row, bool) {}
func (s *sink) SetEra(uint64)           {}

func (s *sink) has(id cwgroup.MemberID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.present[id]
}

func (s *sink) hasLapsed(id cwgroup.MemberID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lapsed[id]
}

func (s *sink) revision() cwcatalogue.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.revisions) == 0 {
		return 0
	}
	return s.revisions[len(s.revisions)-1]
}

func start(t *testing.T, src *source) *sink { return startWith(t, src, log.New(io.Discard)) }

func startWith(t *testing.T, src *source, l *log.Logger) *sink {
	out := &sink{present: map[cwgroup.MemberID]bool{}}
	d := &Directory{
		Waits: Waits{Desired: 50 * time.Millisecond, Targets: time.Hour}, Source: src, Sink: out,
		Clock: clockwork.NewRealClock(), Log: l,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	return out
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 2000 {
		if f() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not within 10 s: %s", what)
}

var errAway = errors.New("away")

// An operator's change is not in force half a minute later, and nothing shows
// an error: the answer that carried it was lost, and the connection delivers
// nothing further.
func TestLostAnswerIsMadeUpFor(t *testing.T) {
	src := &source{changes: func(ctx context.Context, n int, _ time.Duration) (cwport.Batch, error) {
		if n == 1 {
			<-ctx.Done()
			return cwport.Batch{}, ctx.Err()
		}
		return cwport.Batch{Version: 2, Catalogue: &cwcatalogue.Catalogue{Revision: 7}}, nil
	}}
	out := start(t, src)
	eventually(t, "the change is in force", func() bool { return out.revision() == 7 })
}

// The store comes back, and an instance goes on with the old desired state for
// as long as a long poll lasts, since one was just sent into the silence.
func TestQuestionsAreShortWhileTheStoreIsAway(t *testing.T) {
	src := &source{changes: func(ctx context.Context, n int, _ time.Duration) (cwport.Batch, error) {
		if n < 4 {
			return cwport.Batch{}, errAway
		}
		<-ctx.Done()
		return cwport.Batch{}, ctx.Err()
	}}
	start(t, src)
	eventually(t, "four questions", func() bool {
		src.mu.Lock()
		defer src.mu.Unlock()
		return len(src.asked) >= 4
	})
	src.mu.Lock()
	defer src.mu.Unlock()
	qt.Assert(t, src.asked[:4], qt.DeepEquals, []time.Duration{50 * time.Millisecond, 0, 0, 0})
}

// A target whose entry lapsed with the store is still there, and is used until
// it is sure that the entry does not come back.
func TestVanishedTargetCountsForAWhile(t *testing.T) {
	src := &source{targets: make(chan cwport.Batch)}
	out := start(t, src)
	eventually(t, "the list is known", func() bool { return out.has("a") })
	src.targets <- cwport.Batch{Version: 2, Removed: []cwgroup.MemberID{"a", "b"}}
	src.targets <- cwport.Batch{Version: 3, Listed: []cwport.Listing{{ID: "b"}}}
	qt.Assert(t, out.has("a"), qt.IsTrue)
	eventually(t, "the one that stayed away is gone", func() bool { return !out.has("a") })
	qt.Assert(t, out.has("b"), qt.IsTrue)
}

// Guards against a new member that counts beside the one whose place it takes.
func TestLapsedEntryIsTold(t *testing.T) {
	src := &source{targets: make(chan cwport.Batch)}
	out := start(t, src)
	eventually(t, "the list is known", func() bool { return out.has("a") })
	src.targets <- cwport.Batch{Version: 2, Removed: []cwgroup.MemberID{"a"}}
	eventually(t, "it is told", func() bool { return out.hasLapsed("a") })
	qt.Assert(t, out.has("a"), qt.IsTrue)
	src.targets <- cwport.Batch{Version: 3, Listed: []cwport.Listing{{ID: "a"}}}
	eventually(t, "it is back", func() bool { return !out.hasLapsed("a") })
}

// The store is back for a moment, in which entries are seen to have lapsed, and
// gone again. Every target lives, but for as long as the store is away, nobody
// can tell; callers must be served all the while.
func TestNoTargetIsGoneWhileTheStoreIsAway(t *testing.T) {
	src := &source{targets: make(chan cwport.Batch)}
	out := start(t, src)
	eventually(t, "the list is known", func() bool { return out.has("a") })
	src.targets <- cwport.Batch{Version: 2, Removed: []cwgroup.MemberID{"a"}}
	src.lost.Store(true)
	select {
	case src.targets <- cwport.Batch{Version: 3}:
		// A question was on its way before the store went.
	case <-time.After(100 * time.Millisecond):
	}
	time.Sleep(MinGoneAfter + 2*goneStep)
	qt.Assert(t, out.has("a"), qt.IsTrue)
	src.lost.Store(false)
	eventually(t, "it is gone once the store is there and says so", func() bool { return !out.has("a") })
}

// Somebody else writes into the list of targets, twice a second, what no database
// would write, under the id of one that is there and under one of its own. The
// log fills up with the same line; the database whose entry it was counts as one
// that left, and comes back with its next entry.
func TestForeignEntryIsLoggedOnce(t *testing.T) {
	src := &source{targets: make(chan cwport.Batch)}
	var lines lockedBuffer
	out := startWith(t, src, log.New(&lines))
	eventually(t, "the list is known", func() bool { return out.has("a") })
	foreign := func(v cwfeed.Version) cwport.Batch {
		return cwport.Batch{
			Version: v, Removed: []cwgroup.MemberID{"a", "x"},
			Faults: []cwport.RowFault{{Key: "a", Version: v, Cause: errForeign}, {Key: "x", Version: v, Cause: errForeign}},
		}
	}
	for v := range cwfeed.Version(2) {
		src.targets <- foreign(v + 2)
	}
	qt.Assert(t, out.has("a"), qt.IsTrue)
	qt.Assert(t, out.has("b"), qt.IsTrue)
	eventually(t, "the target without an entry of its own is gone", func() bool { return !out.has("a") })
	src.targets <- cwport.Batch{Version: 4, Listed: []cwport.Listing{{ID: "a"}}}
	eventually(t, "it is back", func() bool { return out.has("a") })
	qt.Assert(t, lines.count("rowUnreadable"), qt.Equals, 2)
	src.targets <- foreign(5)
	eventually(t, "a good entry that turns bad again is logged again", func() bool { return lines.count("rowUnreadable") == 3 })
}

var errForeign = errors.New("foreign")

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), what)
}

// Many targets start together, each with an entry of its own. Every instance
// asked the store once for each, and a deployment with many instances used up
// the calls that all of them may make.
func TestChangesComeTogether(t *testing.T) {
	src := &source{targets: make(chan cwport.Batch, 20)}
	out := start(t, src)
	for i := range 20 {
		src.targets <- cwport.Batch{Version: cwfeed.Version(i + 2), Listed: []cwport.Listing{{ID: cwgroup.MemberID(rune('c' + i))}}}
	}
	eventually(t, "the first of them is listed", func() bool { return out.has("c") })
	time.Sleep(targetsSettle * 3 / 2)
	left := len(src.targets)
	qt.Assert(t, left >= 16, qt.IsTrue, qt.Commentf("%d answers are left, of 20", left))
}

// A store that is down is asked by every instance for every topic twice a
// second: more calls than it takes from all of them in its best hour.
func TestOneTopicAsksForAllWhileTheStoreIsAway(t *testing.T) {
	src := &source{changes: func(context.Context, int, time.Duration) (cwport.Batch, error) { return cwport.Batch{}, errAway }}
	src.lost.Store(true)
	start(t, src)
	time.Sleep(2 * time.Second)
	targets := src.targetsAsked.Load()
	qt.Assert(t, targets <= 4, qt.IsTrue, qt.Commentf("%d questions about targets in two seconds", targets))
	src.mu.Lock()
	defer src.mu.Unlock()
	qt.Assert(t, len(src.asked) >= 4, qt.IsTrue)
}

// Guards against a start of all that has each instance log a line for each target there is.
func TestTargetsThatAreToldTogetherAreOneLine(t *testing.T) {
	for _, n := range []int{1, logEach, logEach + 1, 3000} {
		var lines bytes.Buffer
		d := &Directory{Sink: &sink{present: map[cwgroup.MemberID]bool{}}, Decoder: decoder{}, Clock: clockwork.NewRealClock(), Log: log.New(&lines)}
		d.prepare()
		var rows []cwport.Row
		for i := range n {
			rows = append(rows, cwport.Row{Key: fmt.Sprint("i-", i), Version: 5})
		}
		d.takeTargets(decoder{}.Decode(cwport.Targets, 5, rows), true)
		qt.Assert(t, bytes.Count(lines.Bytes(), []byte("\n")) <= logEach, qt.IsTrue, qt.Commentf("%d targets", n))
	}
}
