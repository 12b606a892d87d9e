package cwlimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
)

// orderedQueue is the order without workspaces: one list, by priority, due time and
// arrival. A new ticket is refused by the number of tickets before it in the list.
type orderedQueue struct {
	limit, inFlight int
	list            []*Ticket
	average         time.Duration
}

func (o *orderedQueue) submit(t *Ticket, now time.Time) {
	if o.inFlight < o.limit && len(o.list) == 0 {
		o.inFlight++
		t.OnDecision(nil)
		return
	}
	i := len(o.list)
	for i > 0 && (t.Priority < o.list[i-1].Priority || t.Priority == o.list[i-1].Priority && t.dueTime().Before(o.list[i-1].dueTime())) {
		i--
	}
	if wait := o.average * time.Duration(i+1) / time.Duration(o.limit); now.Add(wait).After(t.Deadline) {
		t.OnDecision(cwrefusal.NotRun(cwrefusal.TooManyConnections, max(wait, minRetryAfter), "late"))
		return
	}
	o.list = slices.Insert(o.list, i, t)
}

func (o *orderedQueue) release(took time.Duration, now time.Time) {
	o.inFlight--
	if o.average == 0 {
		o.average = took
	}
	o.average += time.Duration(serviceTimeWeight * float64(took-o.average))
	for i := 0; i < len(o.list); {
		t := o.list[i]
		if !now.After(t.Deadline) {
			i++
			continue
		}
		o.list = slices.Delete(o.list, i, i+1)
		t.OnDecision(cwrefusal.NotRun(cwrefusal.TooManyConnections, max(o.average*time.Duration(len(o.list)+1)/time.Duration(o.limit), minRetryAfter), "late"))
	}
	for o.inFlight < o.limit && len(o.list) > 0 {
		t := o.list[0]
		o.list = o.list[1:]
		o.inFlight++
		t.OnDecision(nil)
	}
}

// Guards against an order that changes for callers without workspaces: the decisions and
// the stated retry times must be those of one ordered list.
func TestOrderWithoutWorkspaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 3).Draw(t, "limit")
		got, want := AdmissionQueue{Limit: limit, QueueLimit: 1000}, orderedQueue{limit: limit}
		var gotLog, wantLog []string
		var gotTickets, wantTickets []*Ticket
		ticket := func(log *[]string, n, priority int, deadline, due time.Time) *Ticket {
			return &Ticket{Priority: priority, Deadline: deadline, Due: due, OnDecision: func(r *cwrefusal.Refusal) {
				if r != nil {
					*log = append(*log, fmt.Sprint(n, " refused, retry after ", r.RetryAfter))
					return
				}
				*log = append(*log, fmt.Sprint(n, " admitted"))
			}}
		}
		at := now
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				priority := rapid.IntRange(0, 2).Draw(t, "priority")
				deadline, due := at.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline"))*time.Millisecond), time.Time{}
				if rapid.Bool().Draw(t, "due") {
					due = at.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "due after")) * time.Millisecond)
				}
				gotTickets, wantTickets = append(gotTickets, ticket(&gotLog, n, priority, deadline, due)), append(wantTickets, ticket(&wantLog, n, priority, deadline, due))
				got.Submit(gotTickets[len(gotTickets)-1], at)
				want.submit(wantTickets[len(wantTickets)-1], at)
			case 3:
				if want.inFlight > 0 {
					took := time.Duration(rapid.IntRange(1, 30).Draw(t, "took")) * time.Millisecond
					got.Complete(&Ticket{}, took, at)
					want.release(took, at)
				}
			case 4:
				if len(wantTickets) > 0 {
					i := rapid.IntRange(0, len(wantTickets)-1).Draw(t, "cancelled")
					got.Cancel(gotTickets[i])
					want.list = slices.DeleteFunc(want.list, func(x *Ticket) bool { return x == wantTickets[i] })
				}
			}
			if !slices.Equal(gotLog, wantLog) || got.Queued() != len(want.list) {
				t.Fatalf("step %d: %v, want %v", n, gotLog, wantLog)
			}
		}
	})
}

// fairnessTest has a queue with one slot, and counts the admissions of each workspace.
type fairnessTest struct {
	AdmissionQueue
	admitted map[string]int
	running  *Ticket
}

func (f *fairnessTest) submit(workspace string, priority, n int) {
	for range n {
		t := &Ticket{Workspace: workspace, Priority: priority, Deadline: now.Add(time.Hour)}
		t.OnDecision = func(*cwrefusal.Refusal) { f.admitted[workspace]++; f.running = t }
		f.Submit(t, now)
	}
}

func (f *fairnessTest) complete(n int, service func(workspace string) time.Duration) {
	for range n {
		f.Complete(f.running, service(f.running.Workspace), now)
	}
}

// Guards against a workspace whose many or long statements delay the others, and against
// fairness that overrides priorities.
func TestFairAmongWorkspaces(t *testing.T) {
	start := func() *fairnessTest {
		f := &fairnessTest{AdmissionQueue: AdmissionQueue{Limit: 1, QueueLimit: 1000}, admitted: make(map[string]int)}
		f.submit("first", 0, 1)
		return f
	}
	equal := func(string) time.Duration { return 10 * time.Millisecond }
	t.Run("many statements of one workspace do not delay another", func(t *testing.T) {
		f := start()
		f.submit("heavy", 1, 100)
		f.submit("light", 1, 5)
		f.complete(10, equal)
		qt.Assert(t, f.admitted["light"], qt.Equals, 5)
		f.submit("late", 1, 5)
		f.complete(10, equal)
		qt.Assert(t, f.admitted["late"], qt.Equals, 5)
	})
	t.Run("time is shared, not the number of statements", func(t *testing.T) {
		f := start()
		f.submit("slow", 1, 100)
		f.submit("quick", 1, 100)
		f.complete(40, func(workspace string) time.Duration {
			if workspace == "slow" {
				return 30 * time.Millisecond
			}
			return 10 * time.Millisecond
		})
		qt.Assert(t, f.admitted["quick"] >= 28 && f.admitted["slow"] >= 8, qt.IsTrue, qt.Commentf("%v", f.admitted))
	})
	t.Run("a higher priority goes first", func(t *testing.T) {
		f := start()
		f.submit("light", 1, 5)
		f.submit("heavy", 0, 5)
		f.complete(5, equal)
		qt.Assert(t, f.admitted, qt.DeepEquals, map[string]int{"first": 1, "heavy": 5})
	})
	t.Run("a statement is refused by its own place", func(t *testing.T) {
		f := start()
		f.complete(1, equal)
		f.submit("first", 1, 1)
		f.submit("heavy", 1, 100)
		for workspace, queued := range map[string]bool{"heavy": false, "light": true} {
			w := newWaiter(50 * time.Millisecond)
			w.Workspace, w.Priority, w.Due = workspace, 1, now.Add(2*time.Hour)
			f.Submit(&w.Ticket, now)
			qt.Check(t, w.refused == nil, qt.Equals, queued)
		}
	})
	t.Run("no state is left when nothing waits", func(t *testing.T) {
		f := start()
		f.submit("heavy", 1, 10)
		f.complete(11, equal)
		qt.Assert(t, f.queue.classes, qt.HasLen, 0)
	})
}

// Guards against an estimate of the wait that differs from the order of admission.
func TestAheadIsOrderOfAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const service = 10 * time.Millisecond
		var q fairQueue
		draw := func() *Ticket {
			return &Ticket{
				Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
				Deadline: now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "deadline")) * time.Millisecond),
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "waiting") {
			q.push(draw())
		}
		for range rapid.IntRange(0, q.length/2).Draw(t, "admitted") {
			q.pop(service)
		}
		last := draw()
		want := q.ahead(last, service)
		q.push(last)
		got := 0
		for q.pop(service) != last {
			got++
		}
		// Of equal virtual times, only the due time of the first statement of each other
		// workspace is compared.
		if got < want-2 || got > want+2 {
			t.Fatalf("%d admitted before, %d expected", got, want)
		}
	})
}

// Guards against memory that grows with the number of workspaces while a target does not
// answer: waiting statements expire or are canceled, and none is admitted.
func TestFlowsOfRemovedTicketsAreDropped(t *testing.T) {
	g, now := AdmissionQueue{Limit: 1, QueueLimit: 10}, time.Unix(0, 0)
	submit := func(workspace string, deadline time.Time) *Ticket {
		ticket := &Ticket{Workspace: workspace, Deadline: deadline, OnDecision: func(*cwrefusal.Refusal) {}}
		g.Submit(ticket, now)
		return ticket
	}
	submit("running", now)
	submit("waiting", now.Add(time.Hour))
	for i := range 50 {
		submit(fmt.Sprint("expires-", i), now.Add(time.Second))
		g.Cancel(submit(fmt.Sprint("canceled-", i), now.Add(time.Minute)))
		now = now.Add(2 * time.Second)
		g.Expire(now)
	}
	qt.Assert(t, g.Queued(), qt.Equals, 1)
	qt.Assert(t, g.queue.classes[0].flows, qt.HasLen, 1)
}

// Guards against a workspace with one long statement at a time whose time is not charged
// because none of its statements waits while it runs.
func TestLongStatementIsChargedAfterOthers(t *testing.T) {
	g, now := AdmissionQueue{Limit: 2, QueueLimit: 10_000}, time.Unix(0, 0)
	type running struct {
		*Ticket
		end time.Time
	}
	var inProgress []running
	service := map[string]time.Duration{"long": 200 * time.Millisecond}
	received := map[string]time.Duration{}
	submit := func(workspace string) {
		ticket := &Ticket{Workspace: workspace, Deadline: now.Add(time.Hour)}
		ticket.OnDecision = func(*cwrefusal.Refusal) {
			inProgress = append(inProgress, running{ticket, now.Add(max(service[workspace], 10*time.Millisecond))})
		}
		g.Submit(ticket, now)
	}
	for range 1000 {
		for _, workspace := range []string{"a", "b", "c", "d"} {
			submit(workspace)
		}
	}
	submit("long")
	for now.Before(time.Unix(10, 0)) {
		i := 0
		for j := range inProgress {
			if inProgress[j].end.Before(inProgress[i].end) {
				i = j
			}
		}
		ended := inProgress[i]
		inProgress = slices.Delete(inProgress, i, i+1)
		now = ended.end
		took := max(service[ended.Workspace], 10*time.Millisecond)
		received[ended.Workspace] += took
		g.Complete(ended.Ticket, took, now)
		if ended.Workspace == "long" {
			submit("long")
		}
	}
	// Each of the five workspaces has a fifth of 20 s of service, give or take a few long
	// statements.
	qt.Assert(t, received["long"] < 5*time.Second, qt.IsTrue, qt.Commentf("%v", received))
	qt.Assert(t, received["a"] > 3*time.Second, qt.IsTrue, qt.Commentf("%v", received))
}
