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

// fakeSource answers requests for changes of the desired state by a function. Its snapshot
// of targets lists a and b; the others are empty.
type fakeSource struct {
	mu sync.Mutex
	// waits are those of the requests for changes of the desired state, in order.
	waits []time.Duration
	// changes answers the n-th request for changes of the desired state.
	changes func(ctx context.Context, n int, wait time.Duration) (cwport.Batch, error)
	// targets supplies the answers to requests for changes of targets.
	targets chan cwport.Batch
	// targetsFail makes requests for changes of targets fail.
	targetsFail    atomic.Bool
	targetRequests atomic.Int64
}

func (s *fakeSource) Snapshot(_ context.Context, t cwport.Topic) (cwport.Batch, error) {
	if t == cwport.TopicTargets {
		return cwport.Batch{Version: 1, Updated: []cwport.ListedTarget{{ID: "a"}, {ID: "b"}}}, nil
	}
	return cwport.Batch{Version: 1}, nil
}

func (s *fakeSource) Changes(ctx context.Context, t cwport.Topic, after cwfeed.Version, wait time.Duration) (cwport.Batch, error) {
	switch t {
	case cwport.TopicDesired:
		s.mu.Lock()
		s.waits = append(s.waits, wait)
		n := len(s.waits)
		s.mu.Unlock()
		if s.changes != nil {
			return s.changes(ctx, n, wait)
		}
	case cwport.TopicTargets:
		s.targetRequests.Add(1)
		if s.targetsFail.Load() {
			return cwport.Batch{}, errUnavailable
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

// fakeSink records what it receives.
type fakeSink struct {
	mu        sync.Mutex
	revisions []cwcatalogue.Revision
	present   map[cwgroup.MemberID]bool
	// lapsed are the targets that are used though their entries are missing.
	lapsed map[cwgroup.MemberID]bool
}

func (s *fakeSink) SetCatalogue(c cwcatalogue.Catalogue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revisions = append(s.revisions, c.Revision)
}

func (s *fakeSink) SetTargets(all []cwport.ListedTarget) { s.UpdateTargets(all, nil) }

func (s *fakeSink) UpdateTargets(listed []cwport.ListedTarget, removed []cwgroup.MemberID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lapsed == nil {
		s.lapsed = make(map[cwgroup.MemberID]bool)
	}
	for _, l := range listed {
		s.present[l.ID], s.lapsed[l.ID] = true, l.EntryMissing
	}
	for _, id := range removed {
		delete(s.present, id)
	}
}

func (s *fakeSink) ApplyRows([]cwport.Row, bool) {}
func (s *fakeSink) SetEra(uint64)                {}

func (s *fakeSink) has(id cwgroup.MemberID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.present[id]
}

func (s *fakeSink) hasLapsed(id cwgroup.MemberID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lapsed[id]
}

func (s *fakeSink) revision() cwcatalogue.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.revisions) == 0 {
		return 0
	}
	return s.revisions[len(s.revisions)-1]
}

// startDirectory runs a Directory with short waits for the desired state, and returns its
// sink.
func startDirectory(t *testing.T, src *fakeSource) *fakeSink {
	return startWithLog(t, src, log.New(io.Discard))
}

// startWithLog is startDirectory with a logger.
func startWithLog(t *testing.T, src *fakeSource, l *log.Logger) *fakeSink {
	out := &fakeSink{present: map[cwgroup.MemberID]bool{}}
	d := &Directory{
		PollWaits: PollWaits{Desired: 50 * time.Millisecond, Targets: time.Hour}, Source: src, Sink: out,
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

// eventually waits up to 10 s until f returns true.
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

var errUnavailable = errors.New("store unavailable")

// Guards against an operator's change that is not in force half a minute later, without
// an error, because its answer was lost on a connection that stopped delivering data.
func TestLostPollAnswerIsRetried(t *testing.T) {
	src := &fakeSource{changes: func(ctx context.Context, n int, _ time.Duration) (cwport.Batch, error) {
		if n == 1 {
			<-ctx.Done()
			return cwport.Batch{}, ctx.Err()
		}
		return cwport.Batch{Version: 2, Catalogue: &cwcatalogue.Catalogue{Revision: 7}}, nil
	}}
	out := startDirectory(t, src)
	eventually(t, "the change is in force", func() bool { return out.revision() == 7 })
}

// Guards against an instance that keeps an old desired state after the store's return for
// as long as a long poll lasts, because one was sent just before.
func TestRequestsAreShortWhileStoreUnavailable(t *testing.T) {
	src := &fakeSource{changes: func(ctx context.Context, n int, _ time.Duration) (cwport.Batch, error) {
		if n < 4 {
			return cwport.Batch{}, errUnavailable
		}
		<-ctx.Done()
		return cwport.Batch{}, ctx.Err()
	}}
	startDirectory(t, src)
	eventually(t, "four requests", func() bool {
		src.mu.Lock()
		defer src.mu.Unlock()
		return len(src.waits) >= 4
	})
	src.mu.Lock()
	defer src.mu.Unlock()
	qt.Assert(t, src.waits[:4], qt.DeepEquals, []time.Duration{50 * time.Millisecond, 0, 0, 0})
}

// Guards against removing a target as soon as its entry has lapsed, which also happens
// when the store was unavailable. It is used until it is certain that the entry does not
// come back.
func TestMissingTargetIsKeptForDelay(t *testing.T) {
	src := &fakeSource{targets: make(chan cwport.Batch)}
	out := startDirectory(t, src)
	eventually(t, "the list is known", func() bool { return out.has("a") })
	src.targets <- cwport.Batch{Version: 2, Removed: []cwgroup.MemberID{"a", "b"}}
	src.targets <- cwport.Batch{Version: 3, Updated: []cwport.ListedTarget{{ID: "b"}}}
	qt.Assert(t, out.has("a"), qt.IsTrue)
	eventually(t, "the target whose entry did not come back is removed", func() bool { return !out.has("a") })
	qt.Assert(t, out.has("b"), qt.IsTrue)
}

// Guards against counting both a new member and the lapsed one that it replaces: the sink
// must learn that an entry has lapsed.
func TestLapsedEntryIsReported(t *testing.T) {
	src := &fakeSource{targets: make(chan cwport.Batch)}
	out := startDirectory(t, src)
	eventually(t, "the list is known", func() bool { return out.has("a") })
	src.targets <- cwport.Batch{Version: 2, Removed: []cwgroup.MemberID{"a"}}
	eventually(t, "the lapse is reported", func() bool { return out.hasLapsed("a") })
	qt.Assert(t, out.has("a"), qt.IsTrue)
	src.targets <- cwport.Batch{Version: 3, Updated: []cwport.ListedTarget{{ID: "a"}}}
	eventually(t, "it is back", func() bool { return !out.hasLapsed("a") })
}

// Guards against removing targets that are alive when the store becomes available for a
// moment, which shows that entries have lapsed, and unavailable again. Callers must be
// served all the while.
func TestNoTargetIsRemovedWhileStoreUnavailable(t *testing.T) {
	src := &fakeSource{targets: make(chan cwport.Batch)}
	out := startDirectory(t, src)
	eventually(t, "the list is known", func() bool { return out.has("a") })
	src.targets <- cwport.Batch{Version: 2, Removed: []cwgroup.MemberID{"a"}}
	src.targetsFail.Store(true)
	select {
	case src.targets <- cwport.Batch{Version: 3}:
		// A request was in progress when the store became unavailable.
	case <-time.After(100 * time.Millisecond):
	}
	time.Sleep(MinRemovalDelay + 2*removalCheckInterval)
	qt.Assert(t, out.has("a"), qt.IsTrue)
	src.targetsFail.Store(false)
	eventually(t, "it is removed once the store is available and confirms it", func() bool { return !out.has("a") })
}

// Guards against a log that fills up with the same line when another program writes
// malformed entries into the list of targets, twice a second, under the id of a database
// and under an unknown id. The database whose entry was overwritten is removed, and is
// back with its next valid entry.
func TestMalformedEntryIsLoggedOnce(t *testing.T) {
	src := &fakeSource{targets: make(chan cwport.Batch)}
	var lines lockedBuffer
	out := startWithLog(t, src, log.New(&lines))
	eventually(t, "the list is known", func() bool { return out.has("a") })
	malformed := func(v cwfeed.Version) cwport.Batch {
		return cwport.Batch{
			Version: v, Removed: []cwgroup.MemberID{"a", "x"},
			RowErrors: []cwport.RowError{{Key: "a", Version: v, Cause: errMalformedRow}, {Key: "x", Version: v, Cause: errMalformedRow}},
		}
	}
	for v := range cwfeed.Version(2) {
		src.targets <- malformed(v + 2)
	}
	qt.Assert(t, out.has("a"), qt.IsTrue)
	qt.Assert(t, out.has("b"), qt.IsTrue)
	eventually(t, "the target without a valid entry is removed", func() bool { return !out.has("a") })
	src.targets <- cwport.Batch{Version: 4, Updated: []cwport.ListedTarget{{ID: "a"}}}
	eventually(t, "it is back", func() bool { return out.has("a") })
	qt.Assert(t, lines.count("rowUnreadable"), qt.Equals, 2)
	src.targets <- malformed(5)
	eventually(t, "an entry that becomes malformed again is logged again", func() bool { return lines.count("rowUnreadable") == 3 })
}

var errMalformedRow = errors.New("malformed row")

// lockedBuffer collects log lines, also of concurrent writers.
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

// Guards against one request for each of many targets that start together: with many
// instances this used up the rate limit that all of them share.
func TestTargetChangesAreBatched(t *testing.T) {
	src := &fakeSource{targets: make(chan cwport.Batch, 20)}
	out := startDirectory(t, src)
	for i := range 20 {
		src.targets <- cwport.Batch{Version: cwfeed.Version(i + 2), Updated: []cwport.ListedTarget{{ID: cwgroup.MemberID(rune('c' + i))}}}
	}
	eventually(t, "the first of them is listed", func() bool { return out.has("c") })
	time.Sleep(targetsBatchDelay * 3 / 2)
	unread := len(src.targets)
	qt.Assert(t, unread >= 16, qt.IsTrue, qt.Commentf("%d answers are left, of 20", unread))
}

// Guards against requests by every instance for every topic twice a second to a store that
// is down: more than it accepts from all instances when it works well.
func TestOneTopicPollsUnavailableStore(t *testing.T) {
	src := &fakeSource{changes: func(context.Context, int, time.Duration) (cwport.Batch, error) { return cwport.Batch{}, errUnavailable }}
	src.targetsFail.Store(true)
	startDirectory(t, src)
	time.Sleep(2 * time.Second)
	targets := src.targetRequests.Load()
	qt.Assert(t, targets <= 4, qt.IsTrue, qt.Commentf("%d requests for targets in two seconds", targets))
	src.mu.Lock()
	defer src.mu.Unlock()
	qt.Assert(t, len(src.waits) >= 4, qt.IsTrue)
}

// Guards against a simultaneous start in which each instance logs one line for every
// target.
func TestTargetsListedTogetherLogOneLine(t *testing.T) {
	for _, n := range []int{1, maxSingleLogLines, maxSingleLogLines + 1, 3000} {
		var lines bytes.Buffer
		d := &Directory{Sink: &fakeSink{present: map[cwgroup.MemberID]bool{}}, Decoder: decoder{}, Clock: clockwork.NewRealClock(), Log: log.New(&lines)}
		d.initState()
		var rows []cwport.Row
		for i := range n {
			rows = append(rows, cwport.Row{Key: fmt.Sprint("i-", i), Version: 5})
		}
		d.applyTargets(decoder{}.Decode(cwport.TopicTargets, 5, rows), true)
		qt.Assert(t, bytes.Count(lines.Bytes(), []byte("\n")) <= maxSingleLogLines, qt.IsTrue, qt.Commentf("%d targets", n))
	}
}
