package cwlimit

import (
	"container/list"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
)

// Ticket is one statement's place at a gate.
type Ticket struct {
	// Deadline is when the statement must have started at the latest.
	Deadline time.Time
	// Priority orders those that wait; lower goes first.
	Priority int
	// Due orders those of one priority. Zero stands for Deadline.
	Due time.Time
	// Ready is called once the statement may start, or with a refusal. It is
	// called while the gate's owner holds its lock, and must not block.
	Ready func(*cwrefusal.Refusal)

	elem *list.Element
}

// Gate admits statements to one target. Limit statements are in progress at
// once; QueueLimit more wait in the order of their priorities, then of when they
// are due, then of arrival. A statement that is not expected to start by its
// deadline is refused at once, with the time after which to come back, instead
// of being held until it is too late.
//
// A Gate is not safe for concurrent use; its owner's lock guards it.
type Gate struct {
	// Limit is the number of statements in progress at once.
	Limit int
	// QueueLimit is the number of statements that may wait.
	QueueLimit int

	// busy is the number of statements in progress. It can exceed Limit after
	// Limit was lowered, never otherwise.
	busy    int
	queue   list.List
	service time.Duration
}

// smoothing is the weight of the newest service time in the average.
const smoothing = 0.1

// minRetryAfter is the least time a refused caller is told to wait.
const minRetryAfter = 10 * time.Millisecond

// Busy returns the number of statements in progress.
func (g *Gate) Busy() int { return g.busy }

// Queued returns the number of statements that wait.
func (g *Gate) Queued() int { return g.queue.Len() }

// expectedWait is how long a statement would wait behind ahead others.
func (g *Gate) expectedWait(ahead int) time.Duration {
	if g.Limit <= 0 {
		return 0
	}
	return g.service * time.Duration(ahead+1) / time.Duration(g.Limit)
}

// Expect returns how long a statement without haste would wait now.
func (g *Gate) Expect() time.Duration {
	if g.busy < g.Limit && g.queue.Len() == 0 {
		return 0
	}
	return g.expectedWait(g.queue.Len())
}

// before reports whether t goes before o, which came earlier.
func (t *Ticket) before(o *Ticket) bool {
	if t.Priority != o.Priority {
		return t.Priority < o.Priority
	}
	return t.due().Before(o.due())
}

func (t *Ticket) due() time.Time {
	if t.Due.IsZero() {
		return t.Deadline
	}
	return t.Due
}

// place returns the waiting ticket behind which t belongs, nil for the front,
// and how many are ahead of it.
func (g *Gate) place(t *Ticket) (after *list.Element, ahead int) {
	ahead = g.queue.Len()
	for e := g.queue.Back(); e != nil; e = e.Prev() {
		if !t.before(e.Value.(*Ticket)) {
			return e, ahead
		}
		ahead--
	}
	return nil, 0
}

// Enter asks for a place. It calls Ready at once if there is one or if the
// statement is refused, and later otherwise.
func (g *Gate) Enter(t *Ticket, now time.Time) {
	if g.busy < g.Limit && g.queue.Len() == 0 {
		g.busy++
		t.Ready(nil)
		return
	}
	after, ahead := g.place(t)
	wait := g.expectedWait(ahead)
	switch {
	case g.queue.Len() >= g.QueueLimit:
		t.Ready(cwrefusal.NotRun(cwrefusal.TooManyConnections, max(wait, minRetryAfter), "the queue for this database is full"))
	case now.Add(wait).After(t.Deadline):
		t.Ready(cwrefusal.NotRun(cwrefusal.TooManyConnections, max(wait, minRetryAfter), "the database is too busy to start this in time"))
	default:
		t.elem = g.insert(t, after)
	}
}

func (g *Gate) insert(t *Ticket, after *list.Element) *list.Element {
	if after == nil {
		return g.queue.PushFront(t)
	}
	return g.queue.InsertAfter(t, after)
}

// Abandon takes a waiting ticket out of the queue, if it is still there. Ready
// is not called.
func (g *Gate) Abandon(t *Ticket) {
	if t.elem != nil {
		g.queue.Remove(t.elem)
		t.elem = nil
	}
}

// Leave returns a place after a statement took the given time.
func (g *Gate) Leave(took time.Duration, now time.Time) {
	g.busy--
	if g.service == 0 {
		g.service = took
	}
	g.service += time.Duration(smoothing * float64(took-g.service))
	g.advance(now)
}

// SetLimit changes the limit.
func (g *Gate) SetLimit(n int, now time.Time) {
	g.Limit = n
	g.advance(now)
}

// Expire refuses the waiting statements whose deadline has passed.
func (g *Gate) Expire(now time.Time) {
	for e := g.queue.Front(); e != nil; {
		next := e.Next()
		if t := e.Value.(*Ticket); now.After(t.Deadline) {
			g.queue.Remove(e)
			t.elem = nil
			t.Ready(cwrefusal.NotRun(cwrefusal.TooManyConnections, max(g.expectedWait(g.queue.Len()), minRetryAfter), "the database stayed too busy to start this in time"))
		}
		e = next
	}
}

func (g *Gate) advance(now time.Time) {
	g.Expire(now)
	for g.busy < g.Limit && g.queue.Len() > 0 {
		t := g.queue.Remove(g.queue.Front()).(*Ticket)
		t.elem = nil
		g.busy++
		t.Ready(nil)
	}
}

// Budget bounds retries to a share of the requests, so that an outage is not
// multiplied by everybody repeating. Each request earns a fraction of a retry,
// and each retry spends one.
type Budget struct {
	// Ratio is the retries earned by one request.
	Ratio float64
	// Max is the most that can be saved up.
	Max float64

	saved   float64
	started bool
}

// Earn records a request.
func (b *Budget) Earn() {
	if !b.started {
		b.saved, b.started = b.Max, true
	}
	b.saved = min(b.Max, b.saved+b.Ratio)
}

// Spend takes one retry from the budget, or reports that there is none.
func (b *Budget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Adaptive finds the number of statements that a target executes well at once.
// It starts from a seed, the entry's slots, and moves by additive increase and
// multiplicative decrease: while latency stays near the best seen it grows, and
// once latency is a multiple of that it shrinks.
type Adaptive struct {
	// Seed is where the limit starts. Max is its upper bound.
	Seed, Max int

	limit float64
	best  time.Duration
}

// latencyTolerance is the multiple of the best latency beyond which the target
// counts as queueing.
const latencyTolerance = 3

// Limit returns the present limit.
func (a *Adaptive) Limit() int {
	if a.limit == 0 {
		a.limit = float64(a.Seed)
	}
	return max(1, min(a.Max, int(a.limit)))
}

// Observe records one statement's latency while busy statements were in
// progress.
func (a *Adaptive) Observe(latency time.Duration, busy int) {
	limit := a.Limit()
	if a.best == 0 || latency < a.best {
		a.best = latency
	}
	switch {
	case latency <= latencyTolerance*a.best+time.Millisecond:
		if busy >= limit {
			a.limit = min(float64(a.Max), a.limit+1/a.limit)
		}
	case limit > 1:
		a.limit = max(1, a.limit*0.98)
	default:
		// Alone and still slow: the target became slower for good. Only now may
		// the best latency be forgotten; otherwise queueing would pass for it.
		a.best += (latency - a.best) / 16
	}
}
