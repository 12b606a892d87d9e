// Package cwshutdown decides the order of a planned stop of an instance.
//
// The aim is that nothing which the instance has read, or which other instances have
// forwarded to it, is left without an answer, although callers go on coming until the
// process is gone: the load balancer notices a stop late, and sends callers to all
// instances of a data centre while fewer than half of them are ready. A stop goes through
// these steps:
//
//   - Notify: the instance says that it is not ready, and runs everything as before.
//     Forwarded statements go to other holders.
//   - CloseIdle: sessions that wait for their caller are ended.
//   - Refuse: what begins from now on is refused with the guarantee that nothing of it is
//     kept: sessions, statements, and transactions that wait for their caller.
//   - Answer: what is still in progress gets its answer now, whatever it waits for. After
//     this the parts of the instance may stop.
//
// A step ends when its time is over, or when nothing is left for it to wait for. The steps
// never go back.
package cwshutdown

import "time"

// Step is a step of a stop. The steps are ordered.
type Step uint8

// The steps, in their order.
const (
	Notify Step = iota
	CloseIdle
	Refuse
	Answer
)

var stepNames = [...]string{Notify: "notify", CloseIdle: "closeIdle", Refuse: "refuse", Answer: "answer"}

// String returns the name of the step.
func (s Step) String() string { return stepNames[s] }

// notifyTime is how long the load balancer needs to notice that an instance is not
// ready: two probes, one second apart, and some slack.
const notifyTime = 2500 * time.Millisecond

// Plan has the times of the steps of a stop. The zero value goes to Answer at once.
type Plan struct {
	// closeIdle, refuse and answer are when the steps begin at the latest, counted from
	// the begin of the stop. They are in ascending order.
	closeIdle, refuse, answer time.Duration
}

// NewPlan returns the plan of an instance whose process is killed at the end of the grace
// period. Open transactions have 6/10 of it to end, and statements that began by then 5/6.
// The rest is left for the answers and for the parts of the instance to stop.
func NewPlan(grace time.Duration) Plan {
	return Plan{closeIdle: min(notifyTime, grace/2), refuse: grace * 6 / 10, answer: grace * 5 / 6}
}

// State is what a stop depends on at a moment.
type State struct {
	// Elapsed is the time since the begin of the stop.
	Elapsed time.Duration
	// Open is the number of sessions, of statements of other instances in progress and of
	// their open transactions.
	Open int
}

// Next returns the step for a state after a step.
func (p Plan) Next(after Step, s State) Step {
	if s.Elapsed < p.closeIdle {
		return after
	}
	switch {
	case s.Elapsed >= p.answer:
		return Answer
	case s.Open == 0 && after >= CloseIdle:
		return min(Answer, after+1)
	case s.Elapsed >= p.refuse:
		return max(after, Refuse)
	}
	return max(after, CloseIdle)
}

// Left returns the time from the begin of Answer, at the latest, to the end of the grace
// period.
func (p Plan) Left() time.Duration { return p.answer / 5 }
