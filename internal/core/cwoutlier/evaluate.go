package cwoutlier

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Due reports whether evaluationInterval has passed since the last evaluation.
func (d *Detector) Due(now time.Time) bool { return !now.Before(d.nextEvaluated) }

// Evaluate ejects the members among the candidates that are outliers, within the limits
// of the group, and ends trials without a result. The candidates are the members that
// could serve reads, ejected or not. It does nothing unless Due returns true.
func (d *Detector) Evaluate(all []Candidate, now time.Time) []Event {
	if !d.Due(now) {
		return nil
	}
	d.nextEvaluated = now.Add(evaluationInterval)
	d.endOverdueTrials(now)
	var events []Event
	ejected := 0
	for _, c := range all {
		if d.state(c.Member).reason != "" {
			ejected++
		}
	}
	for ejected < min(max(1, len(all)/maxEjectedDivisor), len(all)-1) {
		id, why, ok := d.worst(all, now)
		if !ok {
			break
		}
		events = append(events, d.eject(id, why, now))
		ejected++
	}
	return events
}

// endOverdueTrials ends the trials that have had no result for trialTimeout, also those of
// members that are no candidates because their health checks fail. The next trial of the
// member is due after the time of its last ejection.
//
// A trial without a result shows nothing: it was not sent, or was refused without being
// run. If it counted as failed, it could confirm the ejection of a primary.
func (d *Detector) endOverdueTrials(now time.Time) {
	for _, s := range d.members {
		if !s.trialAt.IsZero() && now.Sub(s.trialAt) > trialTimeout {
			s.trialAt, s.until = time.Time{}, now.Add(s.ejection)
		}
	}
}

// worst returns the admitted member that serves callers worst compared with the others.
// The last result is false if none is an outlier.
func (d *Detector) worst(all []Candidate, now time.Time) (worst cwgroup.MemberID, why Reason, found bool) {
	worstShare := 0.0
	for _, c := range all {
		s := d.state(c.Member)
		if s.reason != "" {
			continue
		}
		var rest counts
		restSlots, saturated := 0, true
		for _, o := range all {
			if other := d.state(o.Member); o.Member != c.Member && other.reason == "" {
				rest = rest.plus(other.counts.at(now))
				restSlots += o.Slots
				saturated = saturated && o.Saturated
			}
		}
		reason, share := s.counts.at(now).compare(rest, c.Slots, restSlots)
		if reason == "" || saturated && share < hopelessShare {
			continue
		}
		if share > worstShare {
			worst, why, found, worstShare = c.Member, reason, true, share
		}
	}
	return worst, why, found
}
