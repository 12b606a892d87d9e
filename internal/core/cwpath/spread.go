package cwpath

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwrendezvous"
)

const (
	// fanOut is the number of neighbours that an instance sends a report to. Fifty
	// instances are reached within three or four steps, and an instance misses a report
	// only if six messages are lost.
	fanOut = 6
	// maxReplacements is the number of further neighbours that get the report because
	// others did not answer.
	maxReplacements = fanOut
	// OldBuildPause is how long an instance whose build does not know reports gets none.
	OldBuildPause = 30 * time.Second
)

// spread is the propagation of one report to neighbours.
type spread struct {
	// neighbours are the other instances of the data centre.
	neighbours []string
	// report is the report being passed on; notified are the neighbours that got it since
	// suspicion began, and replacements is the number of those that replaced others.
	report       Report
	notified     map[string]bool
	replacements int
	// oldBuilds has the neighbours that do not know reports, with the time until which
	// they get none.
	oldBuilds map[string]time.Time
	// seenAt has the IDs of the reports adopted or begun here in the last seenTTL.
	seenAt map[string]time.Time
	outbox []Message
}

// seenTTL is how long the ID of a report is kept. All copies of it are older than
// MaxReportAge by then.
const seenTTL = 2 * MaxReportAge

func (s *spread) seen(id string) bool {
	_, ok := s.seenAt[id]
	return ok
}

// see records that a report was adopted or begun, and forgets old ones.
func (s *spread) see(id string, now time.Time) {
	if s.seenAt == nil {
		s.seenAt = make(map[string]time.Time)
	}
	maps.DeleteFunc(s.seenAt, func(_ string, at time.Time) bool { return now.Sub(at) > seenTTL })
	s.seenAt[id] = now
}

// SetNeighbours sets the other instances of the data centre.
func (d *Detector) SetNeighbours(names []string) {
	d.spread.neighbours = slices.Clone(names)
}

// TakeMessages returns the reports to be sent now, and forgets them.
func (d *Detector) TakeMessages() []Message {
	out := d.spread.outbox
	d.spread.outbox = nil
	return out
}

// CallFailed records that a neighbour did not answer a report. Another one gets the
// report as well.
func (d *Detector) CallFailed(now time.Time) {
	if d.Suspected() {
		d.spread.replace(d.Rand, now)
	}
}

// MethodUnknown records that a neighbour's build does not know reports. It gets none for
// OldBuildPause.
func (d *Detector) MethodUnknown(to string, now time.Time) {
	if d.spread.oldBuilds == nil {
		d.spread.oldBuilds = make(map[string]time.Time)
	}
	maps.DeleteFunc(d.spread.oldBuilds, func(_ string, until time.Time) bool { return !now.Before(until) })
	d.spread.oldBuilds[to] = now.Add(OldBuildPause)
	d.CallFailed(now)
}

// start sends a report to its recipients. from is the neighbour that it came from; empty
// if it began here.
func (s *spread) start(r Report, from string, now time.Time) {
	s.report, s.notified, s.replacements = r, make(map[string]bool), 0
	s.see(r.ID, now)
	if from != "" {
		// It has the report, but it must learn of its end.
		s.notified[from] = true
	}
	for _, to := range recipients(r.ID, r.Instance, s.usable(now)) {
		s.notify(to)
	}
}

// recipients returns the neighbours to which self sends the report with the given ID:
// those next to it in rings of all instances, ordered by rendezvous hashing.
//
// Every instance computes the same rings, so each gets the report from fanOut others
// although messages are lost. With recipients chosen at random by each instance, some
// would get it from one or two others only.
func recipients(id, self string, neighbours []string) []string {
	var out []string
	if len(neighbours) == 0 {
		return out
	}
	all := append([]string{self}, neighbours...)
	for ring := range fanOut / 2 {
		order := cwrendezvous.Order(id+"#"+strconv.Itoa(ring), all)
		at := slices.Index(order, self)
		out = append(out, order[(at+1)%len(order)], order[(at+len(order)-1)%len(order)])
	}
	return out
}

// usable returns the neighbours that may get a report.
func (s *spread) usable(now time.Time) []string {
	return slices.DeleteFunc(slices.Clone(s.neighbours), func(name string) bool { return now.Before(s.oldBuilds[name]) })
}

func (s *spread) notify(to string) {
	if s.notified[to] {
		return
	}
	s.notified[to] = true
	s.outbox = append(s.outbox, Message{To: to, Report: s.report})
}

// replace sends the report to a neighbour that has not had it.
func (s *spread) replace(rnd *rand.Rand, now time.Time) {
	if s.replacements >= maxReplacements {
		return
	}
	left := slices.DeleteFunc(s.usable(now), func(name string) bool { return s.notified[name] })
	if len(left) == 0 {
		return
	}
	s.replacements++
	s.notify(left[rnd.IntN(len(left))])
}

// finish notifies the neighbours that got the report that the suspicion has ended.
func (s *spread) finish(r Report) {
	for _, to := range slices.Sorted(maps.Keys(s.notified)) {
		s.outbox = append(s.outbox, Message{To: to, Report: r})
	}
	clear(s.notified)
}
