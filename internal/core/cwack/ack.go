// Package cwack decides when a write may be acknowledged to its caller.
//
// Replication is asynchronous, so a record that only the primary has is lost with
// the primary. A write is therefore acknowledged once a majority of the members
// reports that its log has the record and that it is in the primary's term. A change
// of primary first makes a majority of the members adopt the next term and then
// promotes the most advanced of them. Any two majorities have a member in common,
// also while members leave and come (see cwgroup.Quorums), so every acknowledged record is in the new primary's
// log, and the replaced primary can no longer get a majority in its term, so
// nothing is acknowledged on its behalf.
//
// Tracker holds the writes that wait for acknowledgement. It does no I/O: the
// caller passes in views and times, and the outcomes are delivered by callbacks.
package cwack

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Outcome is the outcome of waiting for the acknowledgement of a write.
type Outcome uint8

// The outcomes of a wait.
const (
	// Pending means that the wait has not ended.
	Pending Outcome = iota
	// Acknowledged means that a majority has the record.
	Acknowledged
	// Superseded means that the primary was replaced before the write was
	// acknowledged. The record may have survived or not.
	Superseded
	// TimedOut means that the deadline passed before the write was acknowledged.
	// The record may survive.
	TimedOut
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"pending", "acknowledged", "superseded", "timedOut"}[o]
}

// OutcomeOf returns the outcome of a write at log position m, as seen in v at time
// now.
func OutcomeOf(v cwgroup.View, m cwgroup.LogPosition, deadline, now time.Time) Outcome {
	// The write of a replaced primary is not acknowledged even if a majority is
	// reported to have it: the report may be older than the replacement.
	if v.Superseded(m.Term) || v.Term() > m.Term {
		return Superseded
	}
	if v.OnMajority(m) {
		return Acknowledged
	}
	if !now.Before(deadline) {
		return TimedOut
	}
	return Pending
}

// PendingWrite is a write that waits for acknowledgement.
type PendingWrite struct {
	Position cwgroup.LogPosition
	Deadline time.Time
	// Notify is called once with the outcome. The package holds no lock during the
	// call; Notify must not block.
	Notify func(Outcome)
}

// Tracker holds the waiting writes of one group. The zero Tracker is empty. It is
// not safe for concurrent use; the caller must hold a lock.
type Tracker struct {
	waits []PendingWrite
	// newest is the newest position that was acknowledged.
	newest cwgroup.LogPosition
}

// Newest returns the newest position that was acknowledged; zero if none was.
func (t *Tracker) Newest() cwgroup.LogPosition { return t.newest }

// Add adds a waiting write.
func (t *Tracker) Add(w PendingWrite) { t.waits = append(t.waits, w) }

// Len returns the number of waiting writes.
func (t *Tracker) Len() int { return len(t.waits) }

// Update ends the waits whose outcome is determined by v and now, and calls their
// Notify.
func (t *Tracker) Update(v cwgroup.View, now time.Time) {
	remaining := t.waits[:0]
	for _, w := range t.waits {
		o := OutcomeOf(v, w.Position, w.Deadline, now)
		if o == Acknowledged && w.Position.AtLeast(t.newest) {
			t.newest = w.Position
		}
		if o != Pending {
			w.Notify(o)
			continue
		}
		remaining = append(remaining, w)
	}
	clear(t.waits[len(remaining):])
	t.waits = remaining
}

// Close ends all waits with TimedOut: their outcome is not known.
func (t *Tracker) Close() {
	waits := t.waits
	t.waits = nil
	for _, w := range waits {
		w.Notify(TimedOut)
	}
}
