// Package cwack decides when a write may be acknowledged to its caller.
//
// Replication is asynchronous, so a record that only the primary has is lost
// with the primary. A write is therefore acknowledged once a majority of the
// members, the primary among them, reports that its log holds the record at the
// primary's own term. A change of primary first makes a majority of the members
// adopt the next term and promotes the most advanced of them. Two majorities
// have a member in common, so whatever was acknowledged is in the new primary's
// log; and the replaced primary finds no majority at its term any more, so
// nothing is acknowledged on its behalf.
//
// Tracker holds the writes that wait. It does no I/O: views and times go in,
// outcomes come out.
package cwack

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Outcome is how a wait ended.
type Outcome uint8

// The outcomes of a wait.
const (
	// Pending means that the wait goes on.
	Pending Outcome = iota
	// Acknowledged means that a majority holds the record.
	Acknowledged
	// Superseded means that the primary was replaced first. The record may have
	// survived or not.
	Superseded
	// TimedOut means that the deadline passed first. The record may survive.
	TimedOut
)

// String names the outcome.
func (o Outcome) String() string {
	return [...]string{"pending", "acknowledged", "superseded", "timedOut"}[o]
}

// Judge decides about one write.
func Judge(v cwgroup.View, m cwgroup.Mark, deadline, now time.Time) Outcome {
	// A replaced primary's write is not acknowledged even if a late report
	// shows it on a majority: the report may be older than the replacement.
	if v.Superseded(m.Term) || v.Term() > m.Term {
		return Superseded
	}
	if v.HeldByMajority(m) {
		return Acknowledged
	}
	if !now.Before(deadline) {
		return TimedOut
	}
	return Pending
}

// Wait is one write that waits.
type Wait struct {
	Mark     cwgroup.Mark
	Deadline time.Time
	// Done receives the outcome, once. It is called without any lock held by
	// the package, and must not block.
	Done func(Outcome)
}

// Tracker holds the waits of one group. The zero Tracker is empty. It is not
// safe for concurrent use; its owner's lock guards it.
type Tracker struct {
	waits []Wait
}

// Add starts a wait.
func (t *Tracker) Add(w Wait) { t.waits = append(t.waits, w) }

// Len returns the number of waits in progress.
func (t *Tracker) Len() int { return len(t.waits) }

// Observe ends the waits that v or now decide, and calls their Done.
func (t *Tracker) Observe(v cwgroup.View, now time.Time) {
	kept := t.waits[:0]
	for _, w := range t.waits {
		if o := Judge(v, w.Mark, w.Deadline, now); o != Pending {
			w.Done(o)
			continue
		}
		kept = append(kept, w)
	}
	clear(t.waits[len(kept):])
	t.waits = kept
}

// Close ends all waits without knowing their outcome.
func (t *Tracker) Close() {
	waits := t.waits
	t.waits = nil
	for _, w := range waits {
		w.Done(TimedOut)
	}
}
