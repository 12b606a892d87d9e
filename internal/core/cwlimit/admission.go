package cwlimit

import (
	"container/list"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
)

// Ticket is the request of one statement for admission by an AdmissionQueue.
type Ticket struct {
	// Deadline is the latest time at which the statement may start.
	Deadline time.Time
	// Priority orders waiting statements; lower values are admitted first.
	Priority int
	// Due orders waiting statements of the same priority; earlier times are
	// admitted first. The zero time means Deadline.
	Due time.Time
	// Workspace is the workspace on whose behalf the statement runs; empty if it has
	// none. Waiting statements of one priority are admitted fairly among workspaces.
	Workspace string
	// OnDecision is called with nil once the statement may start, or with a
	// refusal. It is called while the queue's owner holds its lock, and must not
	// block.
	OnDecision func(*cwrefusal.Refusal)

	// elem is the ticket's place in its flow; nil if it does not wait. class and flow
	// are set once it has waited.
	elem    *list.Element
	class   *priorityClass
	flow    *flow
	arrival uint64
	// charged is the service that the workspace was charged at the admission.
	charged time.Duration
}

// AdmissionQueue admits statements to one target. At most Limit statements are in
// progress concurrently and at most QueueLimit wait, ordered by priority, then fairly
// among workspaces, then by due time, then by arrival. A statement that is not expected
// to start by its deadline is refused at once, with the time after which to retry,
// instead of being queued until it is too late.
//
// An AdmissionQueue is not safe for concurrent use; its owner's lock guards it.
type AdmissionQueue struct {
	// Limit is the number of statements that may be in progress concurrently.
	Limit int
	// QueueLimit is the number of statements that may wait.
	QueueLimit int

	// inFlight is the number of statements in progress. It exceeds Limit only
	// after Limit was lowered.
	inFlight int
	queue    fairQueue
	// averageServiceTime is the moving average of the time that a statement is in
	// progress.
	averageServiceTime time.Duration
}

// serviceTimeWeight is the weight of the newest service time in the average.
const serviceTimeWeight = 0.1

// minRetryAfter is the shortest retry delay that a refusal states.
const minRetryAfter = 10 * time.Millisecond

// InFlight returns the number of statements in progress.
func (g *AdmissionQueue) InFlight() int { return g.inFlight }

// Queued returns the number of waiting statements.
func (g *AdmissionQueue) Queued() int { return g.queue.length }

// Demand returns the statements that are in progress or wait.
func (g *AdmissionQueue) Demand() Demand {
	d := Demand{Running: g.inFlight}
	if g.queue.length > 0 {
		d.Waiting = make(map[int]int, len(g.queue.classes))
	}
	for _, c := range g.queue.classes {
		d.Waiting[c.priority] = c.waiting
	}
	return d
}

// waitBehind returns the expected wait of a statement with ahead statements
// before it in the queue.
func (g *AdmissionQueue) waitBehind(ahead int) time.Duration {
	if g.Limit <= 0 {
		return 0
	}
	return g.averageServiceTime * time.Duration(ahead+1) / time.Duration(g.Limit)
}

// ExpectedWait returns the expected wait of a statement that is queued last.
func (g *AdmissionQueue) ExpectedWait() time.Duration {
	if g.inFlight < g.Limit && g.queue.length == 0 {
		return 0
	}
	return g.waitBehind(g.queue.length)
}

// dueTime returns Due or its default.
func (t *Ticket) dueTime() time.Time {
	if t.Due.IsZero() {
		return t.Deadline
	}
	return t.Due
}

// Submit requests admission. It calls OnDecision at once if the statement may start
// or is refused. Otherwise the ticket is queued and OnDecision is called later.
func (g *AdmissionQueue) Submit(t *Ticket, now time.Time) {
	if g.inFlight < g.Limit && g.queue.length == 0 {
		g.inFlight++
		t.OnDecision(nil)
		return
	}
	wait := g.waitBehind(g.queue.ahead(t, g.averageServiceTime))
	switch {
	case g.queue.length >= g.QueueLimit:
		t.OnDecision(cwrefusal.NotRun(cwrefusal.TooManyConnections, max(wait, minRetryAfter), "the queue for this database is full"))
	case now.Add(wait).After(t.Deadline):
		t.OnDecision(cwrefusal.NotRun(cwrefusal.TooManyConnections, max(wait, minRetryAfter), "the database is too busy to start this in time"))
	default:
		g.queue.push(t)
	}
}

// Cancel removes a ticket from the queue if it is still waiting. OnDecision is not
// called.
func (g *AdmissionQueue) Cancel(t *Ticket) {
	if t.elem != nil {
		g.queue.remove(t)
	}
}

// Release ends an admitted statement that was in progress for the time took, and
// admits waiting ones.
func (g *AdmissionQueue) Release(took time.Duration, now time.Time) {
	g.inFlight--
	if g.averageServiceTime == 0 {
		g.averageServiceTime = took
	}
	g.averageServiceTime += time.Duration(serviceTimeWeight * float64(took-g.averageServiceTime))
	g.admitWaiting(now)
}

// Complete is Release for the statement of a ticket. It corrects the service that the
// ticket's workspace was charged.
func (g *AdmissionQueue) Complete(t *Ticket, took time.Duration, now time.Time) {
	t.settle(took)
	g.Release(took, now)
}

// SetLimit changes Limit and admits waiting statements that it allows.
func (g *AdmissionQueue) SetLimit(n int, now time.Time) {
	g.Limit = n
	g.admitWaiting(now)
}

// Expire refuses waiting statements whose deadline has passed.
func (g *AdmissionQueue) Expire(now time.Time) {
	for t := range g.queue.all() {
		if now.After(t.Deadline) {
			g.queue.remove(t)
			t.OnDecision(cwrefusal.NotRun(cwrefusal.TooManyConnections, max(g.waitBehind(g.queue.length), minRetryAfter), "the database stayed too busy to start this in time"))
		}
	}
}

// admitWaiting refuses expired statements and admits waiting ones up to Limit.
func (g *AdmissionQueue) admitWaiting(now time.Time) {
	g.Expire(now)
	for g.inFlight < g.Limit && g.queue.length > 0 {
		g.inFlight++
		g.queue.pop(g.averageServiceTime).OnDecision(nil)
	}
}

// RetryBudget limits retries to a share of the requests, so that retries don't
// multiply the load during an outage. Each request adds a fraction of a token
// and each retry takes one token. The budget starts full.
type RetryBudget struct {
	// Ratio is the number of tokens that a request adds.
	Ratio float64
	// Max is the greatest number of tokens that accumulate.
	Max float64

	tokens  float64
	started bool
}

// Earn adds the tokens of one request.
func (b *RetryBudget) Earn() {
	if !b.started {
		b.tokens, b.started = b.Max, true
	}
	b.tokens = min(b.Max, b.tokens+b.Ratio)
}

// Spend takes a token for one retry. It returns false if there is none.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// AdaptiveLimit finds the concurrency limit of a target, the number of statements
// that it executes concurrently without queueing them. The limit starts at Initial,
// the slots of the catalogue entry, and changes by additive increase and
// multiplicative decrease: it grows while the latency stays near the lowest one
// observed and shrinks once the latency is a multiple of that.
type AdaptiveLimit struct {
	// Initial is the initial limit, and Max its upper bound.
	Initial, Max int

	limit       float64
	bestLatency time.Duration
}

// latencyTolerance is the multiple of the lowest latency above which the target
// is considered to queue statements.
const latencyTolerance = 3

// Limit returns the current limit. It is at least 1.
func (a *AdaptiveLimit) Limit() int {
	if a.limit == 0 {
		a.limit = float64(a.Initial)
	}
	return max(1, min(a.Max, int(a.limit)))
}

// Observe records the latency of a statement that ended while busy statements
// were in progress.
func (a *AdaptiveLimit) Observe(latency time.Duration, busy int) {
	limit := a.Limit()
	if a.bestLatency == 0 || latency < a.bestLatency {
		a.bestLatency = latency
	}
	switch {
	case latency <= latencyTolerance*a.bestLatency+time.Millisecond:
		if busy >= limit {
			a.limit = min(float64(a.Max), a.limit+1/a.limit)
		}
	case limit > 1:
		a.limit = max(1, a.limit*0.98)
	default:
		// A single statement is slow too, so the target itself became slower. The
		// lowest latency is raised in this case only; otherwise it would adapt to
		// queueing.
		a.bestLatency += (latency - a.bestLatency) / 16
	}
}
