// Package cwpath decides when the network path from a data centre to the others counts
// as cut.
//
// An instance suspects the path when a request that it sent to another data centre is
// overdue and nothing has arrived from there since. It sends a report to some instances
// of its own data centre, its neighbours. A neighbour that has had an answer from
// another data centre in the meantime replies with the age of that answer. Any other
// neighbour suspects the path as well and passes the report on. An answer from another
// data centre ends the suspicion and is passed on in the same way.
//
// Suspicion is direct if a request of the instance itself is overdue, and adopted if it
// follows from a report. Only an answer to the instance itself ends direct suspicion;
// adopted suspicion is also ended by a newer answer to a neighbour. An instance that is
// cut off alone therefore stays suspicious, and its neighbours do not follow it.
//
// The package does no I/O and has no clock. Callers pass the time and a source of random
// numbers.
package cwpath

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Times of requests and reports.
const (
	// CallTimeout is how long an answer to a report is awaited. A busy instance answers
	// within some tens of milliseconds, and may pause for most of a tenth of a second.
	CallTimeout = 100 * time.Millisecond
	// MinOverdue is the shortest time without an answer after which a request that failed
	// counts as overdue. One that fails sooner was refused, reset or never sent, which says
	// nothing about the path.
	MinOverdue = 100 * time.Millisecond
	// MaxReportAge is the longest silence that a report may state. An instance that was
	// suspended passes on older ones.
	MaxReportAge = 2 * time.Second
	// readDelay is how late an answer may be read that arrived before a cut, because the
	// instance was paused. Such an answer does not refute a report.
	readDelay = 100 * time.Millisecond
	// IsolationDelay is how long suspicion must last, with probes unanswered, until the
	// instance counts as isolated: an instance of another data centre that pauses
	// answers sooner.
	IsolationDelay = 100 * time.Millisecond
)

// Report is a message to a neighbour about the path to other data centres.
type Report struct {
	// ID identifies the suspicion that the report is about, by the instance and the time
	// at which it began. It stays the same when the report is passed on. Instance is the
	// sender.
	ID, Instance string
	// SilentSince is when the request was sent whose answer is overdue. If Ended is
	// true, it is when the last answer from another data centre arrived.
	SilentSince time.Time
	// NotReadySince is when the sender became not ready; zero if it is ready.
	NotReadySince time.Time
	// Ended is true if the suspicion has ended.
	Ended bool
}

// Reply is the answer to a Report.
type Reply struct {
	// AnsweredAt is when an answer from another data centre last arrived; zero if none
	// has arrived since the SilentSince of the report.
	AnsweredAt time.Time
	// NotReadySince is when the instance became not ready; zero if it is ready.
	NotReadySince time.Time
}

// Message is a report to be sent to one neighbour.
type Message struct {
	To     string
	Report Report
}

// Detector holds what one instance knows about the path. The zero Detector suspects
// nothing and has no neighbours. A Detector is not safe for concurrent use.
type Detector struct {
	// Self is the name of this instance.
	Self string
	// Rand chooses the neighbours that replace others. It must be set before
	// SetNeighbours.
	Rand *rand.Rand

	// answeredAt is when an answer from another data centre last arrived here.
	// neighbourAnsweredAt is when one last arrived at a neighbour, as far as known.
	answeredAt, neighbourAnsweredAt time.Time
	// refutedAt is when the neighbour's answer arrived that last ended suspicion here.
	refutedAt time.Time
	// directSince and adoptedSince are the beginnings of the silence that direct and
	// adopted suspicion are based on; zero if there is no such suspicion.
	directSince, adoptedSince time.Time
	// begunAt is when the suspicion in effect began; probedAt is when the first probe
	// was sent since then. Both are zero if there is no suspicion.
	begunAt, probedAt time.Time
	// joined has the neighbours that are known to suspect the path too, with the time
	// at which each became not ready. It is empty if there is no suspicion.
	joined map[string]time.Time
	spread spread
}

// Suspected reports whether the path is suspected.
func (d *Detector) Suspected() bool { return !d.begunAt.IsZero() }

// SuspectedDirectly reports whether a request of this instance itself is overdue.
func (d *Detector) SuspectedDirectly() bool { return !d.directSince.IsZero() }

// BegunAt returns when the suspicion in effect began; zero if there is none.
func (d *Detector) BegunAt() time.Time { return d.begunAt }

// Unconfirmed reports whether a neighbour's answer ended the last suspicion and none has
// arrived here since. The instance may be cut off alone.
func (d *Detector) Unconfirmed() bool { return !d.Suspected() && d.refutedAt.After(d.answeredAt) }

// Joined returns the number of instances known to suspect the path, including this one.
func (d *Detector) Joined() int {
	if !d.Suspected() {
		return 0
	}
	return len(d.joined) + 1
}

// ObserveAnswer records that an answer from another data centre arrived. It reports
// whether that ended suspicion.
func (d *Detector) ObserveAnswer(now time.Time) bool {
	if now.After(d.answeredAt) {
		d.answeredAt = now
	}
	if !d.Suspected() {
		return false
	}
	d.end(d.answeredAt)
	return true
}

// ObserveOverdue records that the answer to a request sent to another data centre at
// sentAt is overdue. It reports whether suspicion began. Requests from before the
// neighbour's answer that ended the last suspicion do not count: a cut may have ended since.
func (d *Detector) ObserveOverdue(sentAt, now time.Time) bool {
	if !d.answeredAt.Before(sentAt) || sentAt.Before(d.refutedAt) || !d.directSince.IsZero() {
		return false
	}
	d.directSince = sentAt
	return d.begin(d.Self+"/"+strconv.FormatInt(now.UnixMicro(), 10), "", sentAt, now)
}

// ObserveProbe records that a probe was sent to another data centre because of the
// suspicion.
func (d *Detector) ObserveProbe(now time.Time) {
	if d.Suspected() && d.probedAt.IsZero() {
		d.probedAt = now
	}
}

// ReceiveReport processes a report of a neighbour. The last result is true if suspicion
// began.
//
// The time that a report is under way makes the silence that it states seem to have
// begun later. A report that was passed on several times could thus seem newer than the
// answer that ended it, and circulate forever. An instance therefore adopts each report
// only once.
func (d *Detector) ReceiveReport(r Report, now time.Time) (Reply, bool) {
	begun := false
	switch {
	case r.Ended:
		delete(d.joined, r.Instance)
		d.observeNeighbourAnswer(r.SilentSince)
	case now.Sub(r.SilentSince) > MaxReportAge:
	case refutes(d.newestAnswer(), r.SilentSince), !d.Suspected() && d.spread.seen(r.ID):
		return Reply{AnsweredAt: d.newestAnswer(), NotReadySince: d.begunAt}, false
	default:
		if !d.spread.seen(r.ID) && r.SilentSince.After(d.adoptedSince) {
			d.adoptedSince = r.SilentSince
		}
		begun = d.begin(r.ID, r.Instance, r.SilentSince, now)
		d.spread.see(r.ID, now)
		d.join(r.Instance, r.NotReadySince)
	}
	return Reply{NotReadySince: d.begunAt}, begun
}

// ReceiveReply processes the reply of a neighbour. Its times must not be later than the
// events that they state.
func (d *Detector) ReceiveReply(from string, r Reply) {
	switch {
	case !r.AnsweredAt.IsZero():
		delete(d.joined, from)
		d.observeNeighbourAnswer(r.AnsweredAt)
	case !r.NotReadySince.IsZero() && d.Suspected():
		d.join(from, r.NotReadySince)
	}
}

// refutes reports whether an answer from another data centre shows that a silence has
// ended. The time that a message is under way makes both times seem later, by less than
// readDelay for all but a paused instance.
func refutes(answeredAt, silentSince time.Time) bool {
	return answeredAt.After(silentSince.Add(readDelay))
}

// newestAnswer returns when an answer from another data centre last arrived here or at
// a neighbour, as far as known.
func (d *Detector) newestAnswer() time.Time {
	if d.neighbourAnsweredAt.After(d.answeredAt) {
		return d.neighbourAnsweredAt
	}
	return d.answeredAt
}

func (d *Detector) join(instance string, notReadySince time.Time) {
	if d.joined == nil {
		d.joined = make(map[string]time.Time)
	}
	d.joined[instance] = notReadySince
}

// begin starts suspicion and sends the report, unless suspicion is in effect. from is
// the neighbour that the report came from; empty if it begins here.
func (d *Detector) begin(id, from string, silentSince, now time.Time) bool {
	if d.Suspected() {
		return false
	}
	d.begunAt, d.probedAt = now, time.Time{}
	d.spread.start(Report{ID: id, Instance: d.Self, SilentSince: silentSince, NotReadySince: now}, from, now)
	return true
}

// observeNeighbourAnswer records that a neighbour had an answer from another data centre
// at the given time. If that is newer than the reports received, adopted suspicion ends and the
// answer is passed on.
func (d *Detector) observeNeighbourAnswer(answeredAt time.Time) {
	if answeredAt.After(d.neighbourAnsweredAt) {
		d.neighbourAnsweredAt = answeredAt
	}
	if d.adoptedSince.IsZero() || !refutes(answeredAt, d.adoptedSince) {
		return
	}
	d.adoptedSince = time.Time{}
	if d.directSince.IsZero() {
		d.refutedAt = answeredAt
		d.end(answeredAt)
		return
	}
	d.spread.finish(Report{Instance: d.Self, SilentSince: answeredAt, NotReadySince: d.begunAt, Ended: true})
}

// end ends all suspicion because of an answer that arrived at the given time.
func (d *Detector) end(answeredAt time.Time) {
	d.directSince, d.adoptedSince, d.begunAt, d.probedAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	clear(d.joined)
	d.spread.finish(Report{Instance: d.Self, SilentSince: answeredAt, Ended: true})
}
