package cwpeers

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// demandTest has the Peers of instance "a", which holds group "g" with "b", "c" and "d",
// and records the demand that it receives. It implements cwport.DemandRecorder.
type demandTest struct {
	*qt.C
	*Peers
	net *fakeNetwork

	mu        sync.Mutex
	contended bool
	recorded  map[string]time.Time
	asked     map[string]int
	// answers are the errors of the other holders; no entry means an answer.
	answers   map[string]error
	malformed int
	// answerContended is whether answers of holders report contention.
	answerContended bool
}

var (
	ownDemand     = []cwport.MemberDemand{{Member: "m", Demand: cwlimit.Demand{Running: 2, Waiting: map[int]int{1: 3}}}}
	groupCapacity = cwholder.TargetCapacity{Connections: 32, Slots: 4}
)

func (c *fakeConn) ExchangeDemand(ctx context.Context, _, _ string, _ []cwport.MemberDemand) ([]cwport.MemberDemand, error) {
	return ownDemand, c.awaitAnswer(ctx)
}

// demandConn is a connection to a holder whose answers to reports of demand a demandTest
// determines.
type demandConn struct {
	Conn
	name string
	test *demandTest
}

func (c demandConn) ExchangeDemand(ctx context.Context, group, self string, members []cwport.MemberDemand) ([]cwport.MemberDemand, error) {
	var refusal error
	c.test.withLock(func() { c.test.asked[c.name]++; refusal = c.test.answers[c.name] })
	theirs, err := c.Conn.ExchangeDemand(ctx, group, self, members)
	return theirs, errors.Join(refusal, err)
}

func (c demandConn) Forward(ctx context.Context, h cwport.ForwardRequest) (cwport.ForwardResponse, error) {
	r, err := c.Conn.Forward(ctx, h)
	c.test.withLock(func() { r.Contended = c.test.answerContended })
	return r, err
}

func (w *demandTest) withLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *demandTest) ContendedGroups() []cwport.ContendedGroup {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.contended {
		return nil
	}
	return []cwport.ContendedGroup{{Name: "g", Capacity: groupCapacity}}
}
func (w *demandTest) Demand(string) []cwport.MemberDemand { return ownDemand }
func (w *demandTest) RecordDemand(_, holder string, _ []cwport.MemberDemand, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recorded[holder] = at
}

// runDemand runs f with statements waiting at instance "a".
func runDemand(t *testing.T, f func(w *demandTest)) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{unresponsive: map[string]bool{}, rows: map[string][]byte{}, refused: map[string]bool{}, hanging: map[string]chan struct{}{}}
		w := &demandTest{C: qt.New(t), net: n, contended: true, recorded: map[string]time.Time{}, asked: map[string]int{}, answers: map[string]error{}}
		var rows []cwport.Row
		for i, name := range []string{"a", "b", "c", "d"} {
			rows = append(rows, row(instance(name, fmt.Sprint("z", i%2))))
		}
		w.Peers = &Peers{Self: instance("a", "z0"), Table: n, Dial: w.dial, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard)}
		w.Peers.Demand, w.OnMalformed = w, func(string) { w.withLock(func() { w.malformed++ }) }
		w.ApplyRows(rows, true)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- w.Peers.Run(ctx) }()
		f(w)
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
}

func (w *demandTest) dial(ctx context.Context, name, address string) (Conn, error) {
	conn, err := w.net.dial(ctx, name, address)
	return demandConn{conn, name, w}, err
}

// askedIn returns how often an instance is asked in a period.
func (w *demandTest) askedIn(name string, d time.Duration) (n int) {
	w.withLock(func() { n = -w.asked[name] })
	time.Sleep(d)
	w.withLock(func() { n += w.asked[name] })
	return n
}

// recordedSince returns how long ago the counted demand of a holder was current; an hour
// if none was received.
func (w *demandTest) recordedSince(holder string) (d time.Duration) {
	d = time.Hour
	w.withLock(func() {
		if at, ok := w.recorded[holder]; ok {
			d = time.Since(at)
		}
	})
	return d
}

func (w *demandTest) assertCurrent(holders ...string) {
	w.Helper()
	for _, h := range holders {
		w.Assert(w.recordedSince(h) <= 2*demandInterval, qt.IsTrue, qt.Commentf("%s", h))
	}
}

func (w *demandTest) assertOutdated(holder string) {
	w.Helper()
	w.Assert(w.recordedSince(holder) > cwlimit.DemandMaxAge, qt.IsTrue)
}

func TestDemandExchange(t *testing.T) {
	t.Run("all holders while statements wait", func(t *testing.T) {
		runDemand(t, func(w *demandTest) {
			time.Sleep(time.Second)
			w.assertCurrent("b", "c", "d")
			w.withLock(func() { w.contended = false })
			time.Sleep(demandInterval)
			w.Assert(w.askedIn("b", time.Second), qt.Equals, 0)
		})
	})
	t.Run("a holder that reports by itself is not asked", func(t *testing.T) {
		runDemand(t, func(w *demandTest) {
			for range 20 {
				w.Assert(w.ExchangeDemand("g", "b", ownDemand), qt.DeepEquals, ownDemand)
				time.Sleep(demandInterval / 2)
			}
			w.Assert(w.askedIn("b", 0), qt.Equals, 0)
			w.assertCurrent("b", "c", "d")
		})
	})
	t.Run("an older build is asked again after 30 s", func(t *testing.T) {
		runDemand(t, func(w *demandTest) {
			w.withLock(func() { w.answers["b"] = &cwport.MethodUnknownError{Method: "demand"} })
			time.Sleep(time.Second)
			w.Assert(w.askedIn("b", missingMethodPause-2*time.Second), qt.Equals, 0)
			w.Assert(w.askedIn("b", 3*time.Second) > 0, qt.IsTrue)
			w.assertOutdated("b")
			w.assertCurrent("c", "d")
		})
	})
	t.Run("a frozen holder does not delay the others", func(t *testing.T) {
		runDemand(t, func(w *demandTest) {
			time.Sleep(time.Second)
			w.net.withLock(func() { w.net.unresponsive["b"] = true })
			time.Sleep(2 * time.Second)
			w.assertOutdated("b")
			w.assertCurrent("c", "d")
		})
	})
	t.Run("a malformed answer is dropped and counted", func(t *testing.T) {
		runDemand(t, func(w *demandTest) {
			w.withLock(func() { w.answers["b"] = &cwport.MalformedAnswerError{Method: "demand", Cause: errNoAnswer} })
			time.Sleep(time.Second)
			w.withLock(func() { w.Assert(w.malformed > 0, qt.IsTrue) })
			w.assertOutdated("b")
			w.assertCurrent("c", "d")
		})
	})
	t.Run("lists of holders that differ", func(t *testing.T) {
		runDemand(t, func(w *demandTest) {
			w.ExchangeDemand("g", "unknown", ownDemand)
			w.assertCurrent("unknown")
			w.Assert(w.askedIn("unknown", time.Second), qt.Equals, 0)
			w.ApplyRows([]cwport.Row{{Key: InstanceKey(instance("b", "z1")), Removed: true}}, false)
			time.Sleep(2 * time.Second)
			w.assertOutdated("b")
			w.assertCurrent("c", "d")
		})
	})
}

// Guards against statements of a workspace that open connections at every holder of a
// contended group, and against ones that depend on another data centre without need.
func TestWorkspacePrefersHolder(t *testing.T) {
	runDemand(t, func(w *demandTest) {
		time.Sleep(time.Second)
		suspected := false
		w.PathSuspected = func() bool { return suspected }
		choose := func(workspace string) string {
			time.Sleep(time.Minute)
			if h, ok := w.WorkspaceHolder(workspace, "g", groupCapacity, nil); ok {
				return h.Name()
			}
			return w.Self.ID
		}
		chosen := func() map[string]bool {
			out := make(map[string]bool)
			for i := range 20 {
				workspace := fmt.Sprint("workspace-", i)
				name := choose(workspace)
				w.Check(choose(workspace), qt.Equals, name)
				out[name] = true
			}
			return out
		}
		w.Assert(chosen(), qt.DeepEquals, map[string]bool{"a": true, "b": true, "c": true, "d": true})
		w.Assert(choose(""), qt.Equals, "a")
		w.withLock(func() { w.contended = false })
		time.Sleep(contentionPeriod)
		w.Assert(chosen(), qt.DeepEquals, map[string]bool{"a": true})
		w.withLock(func() { w.contended = true })
		suspected = true
		w.Assert(chosen(), qt.DeepEquals, map[string]bool{"a": true, "c": true})
		w.net.withLock(func() { w.net.unresponsive["c"], w.net.refused["c"] = true, true })
		time.Sleep(time.Minute)
		w.Assert(chosen(), qt.DeepEquals, map[string]bool{"a": true})
	})
}

// Guards against an instance without waiting statements that does not learn from its
// holders that others wait there.
func TestAnswerReportsContention(t *testing.T) {
	runDemand(t, func(w *demandTest) {
		time.Sleep(time.Second)
		w.withLock(func() { w.contended = false })
		time.Sleep(contentionPeriod)
		forward := func() {
			entry := cwcatalogue.Entry{Groups: []cwcatalogue.Group{{Name: "g"}}}
			w.Peers.mu.Lock()
			l := w.link(instance("b", "z1"))
			w.Peers.mu.Unlock()
			_, err := l.Forward(context.Background(), cwport.ForwardRequest{Entry: entry, Statement: cwstatement.Statement{ID: "s"}})
			w.Assert(err, qt.IsNil)
		}
		elsewhere := func() (n int) {
			for i := range 20 {
				if _, ok := w.WorkspaceHolder(fmt.Sprint("workspace-", i), "g", groupCapacity, nil); ok {
					n++
				}
			}
			return n
		}
		forward()
		w.Assert(elsewhere(), qt.Equals, 0)
		w.withLock(func() { w.answerContended = true })
		forward()
		w.Assert(elsewhere() > 0, qt.IsTrue)
		time.Sleep(contentionPeriod)
		w.Assert(elsewhere(), qt.Equals, 0)
	})
}

// Guards against memory that grows with the groups for which demand was ever reported, or
// whose statements were ever distributed by workspace.
func TestContentionOfFormerGroupsIsForgotten(t *testing.T) {
	runDemand(t, func(w *demandTest) {
		for i := range 20 {
			group := fmt.Sprint("former-", i)
			w.ExchangeDemand(group, "b", nil)
			w.WorkspaceHolder("north", group, groupCapacity, nil)
		}
		time.Sleep(2 * time.Minute)
		w.Peers.mu.Lock()
		defer w.Peers.mu.Unlock()
		w.Check(w.affinities, qt.HasLen, 0)
		w.Check(w.contendedUntil, qt.HasLen, 1) // "g", for which statements wait
	})
}

// Guards against a log line every 200 ms while statements wait now and then.
func TestContentionIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	p, now, last := &Peers{Log: log.New(&out)}, time.Unix(0, 0), map[string]time.Time{}
	lines := func(current ...string) int {
		out.Reset()
		p.logContended(last, current, now)
		now = now.Add(demandInterval)
		return strings.Count(out.String(), "\n")
	}
	qt.Assert(t, lines("g"), qt.Equals, 1)
	for range 50 {
		qt.Assert(t, lines(), qt.Equals, 0)
		qt.Assert(t, lines("g"), qt.Equals, 0)
	}
	now = now.Add(contentionPeriod)
	qt.Assert(t, lines(), qt.Equals, 1)
	qt.Assert(t, lines(), qt.Equals, 0)
}
