// Package cwfailover decides when the primary of a group is replaced, and
// carries the replacement out step by step.
//
// It has two parts. A Detector weighs evidence: what this proxy saw of the
// primary, what the other proxies that watch the group say, and whether the
// replicas still hear their primary. A Keeper is the state machine of one
// change of primary to the next term: claim the group's row, fence a majority
// of the members, promote the most advanced of them, let the others follow,
// record the result. Any proxy can run a Keeper, two can run at once, and any
// can die or pause after any step: the members adopt a term for one claim only,
// so at most one claim finds a majority in a term.
//
// Nothing here does I/O. A Keeper takes events and returns orders; the owner
// sends them, and must not send an order after its NotAfter.
package cwfailover

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// InstanceID names an instance that runs a proxy.
type InstanceID string

// Times of detection. FreshVote is a few heartbeats, so that one lost heartbeat
// does not silence a voter.
const (
	// FreshVote is how long a vote counts.
	FreshVote = 2500 * time.Millisecond
	// StreamLost is the time without a message after which a replica counts as
	// having lost its primary. Members send to their replicas every 100 ms.
	StreamLost = 300 * time.Millisecond
	// Persist is how long a unanimous suspicion must last to outweigh replicas
	// that still hear the primary.
	Persist = 2 * time.Second
	// SettleFor is how long a group must be without any primary, or with one
	// that nobody copies from, before that counts: a change of primary in
	// progress looks the same, and so does a proxy that has just started.
	SettleFor = time.Second
	// FreshMember is how recent a member's report must be to count as reachable.
	FreshMember = 1500 * time.Millisecond
)

// Vote is what one proxy says about a group's primary.
type Vote struct {
	Voter InstanceID
	// Term is the term whose primary the vote is about.
	Term    cwgroup.Term
	Suspect bool
	// Since is when the present suspicion began, by the clock of the proxy
	// that holds the vote.
	Since time.Time
	// At is when the vote was received, by the same clock.
	At time.Time
}

// Evidence is what a DetectPolicy weighs.
type Evidence struct {
	// Heard is the number of watchers whose vote is fresh, this proxy included.
	Heard int
	// Suspects is how many of them suspect the primary.
	Suspects int
	// Listed is the number of live watchers by the platform's list, which lags.
	Listed int
	// Members is the size of the group.
	Members int
	// StreamsLost is the number of members, the primary not counted, that no
	// longer hear the primary.
	StreamsLost int
	// StreamsAlive is the number that still do.
	StreamsAlive int
	// Lasted is how long this proxy has suspected the primary.
	Lasted time.Duration
}

// DetectPolicy says whether the evidence is enough to replace a primary.
type DetectPolicy interface {
	Enough(Evidence) bool
}

// ByProxies replaces a primary once a majority of the watchers that are heard
// or listed suspects it.
type ByProxies struct{}

// Enough implements DetectPolicy.
func (ByProxies) Enough(e Evidence) bool {
	return e.Suspects >= cwgroup.Majority(max(e.Heard, e.Listed))
}

// ByProxiesAndReplicas also asks the replicas.
//
// It guards against two failures of ByProxies. Proxies that are cut off from a
// primary which its replicas still follow would replace it for nothing: here
// the suspicion must then be unanimous and last. And where some proxies died
// together with the primary, the list still shows them and the others could
// never be a majority: here the replicas' word stands in for the missing votes.
type ByProxiesAndReplicas struct{}

// Enough implements DetectPolicy.
func (ByProxiesAndReplicas) Enough(e Evidence) bool {
	ofHeard := e.Suspects >= cwgroup.Majority(e.Heard)
	ofListed := e.Suspects >= cwgroup.Majority(e.Listed)
	replicasLost := e.StreamsLost >= cwgroup.Majority(e.Members)
	if e.StreamsAlive > 0 && !replicasLost {
		return ofListed && e.Suspects == e.Heard && e.Lasted >= Persist
	}
	return ofHeard && (ofListed || replicasLost)
}

// Detector collects votes about the primary of one group. Set Self and Policy
// before use.
type Detector[P DetectPolicy] struct {
	Self   InstanceID
	Policy P

	own   Vote
	votes map[InstanceID]Vote
}

// SetOwn records what this proxy saw. It reports whether the vote changed, so
// that the owner can tell the other watchers at once.
func (d *Detector[P]) SetOwn(t cwgroup.Term, suspect bool, now time.Time) bool {
	changed := d.own.Term != t || d.own.Suspect != suspect
	if changed {
		d.own.Since = now
	}
	d.own.Voter, d.own.Term, d.own.Suspect, d.own.At = d.Self, t, suspect, now
	return changed
}

// Own returns this proxy's vote.
func (d *Detector[P]) Own() Vote { return d.own }

// Observe records another watcher's vote.
func (d *Detector[P]) Observe(v Vote) {
	if v.Voter == d.Self {
		return
	}
	if d.votes == nil {
		d.votes = make(map[InstanceID]Vote)
	}
	if old, ok := d.votes[v.Voter]; ok && old.Term == v.Term && old.Suspect == v.Suspect {
		v.Since = old.Since
	} else {
		v.Since = v.At
	}
	d.votes[v.Voter] = v
}

// Decide reports whether the primary is to be replaced now.
func (d *Detector[P]) Decide(v cwgroup.View, listed int, now time.Time) bool {
	if !d.own.Suspect || d.own.Term != v.Term() {
		return false
	}
	if p, ok := v.Primary(); (!ok || p.Reachable) && now.Sub(d.own.Since) < SettleFor {
		return false
	}
	if !majorityReachable(v, d.own.Since, now) {
		// Without a majority nothing can be fenced. Trying would only make
		// single members step aside, which then serve nobody. Only what was heard
		// since the suspicion began counts: after a cut the others look reachable
		// until their silence is noticed, too.
		return false
	}
	return d.Policy.Enough(d.evidence(v, listed, now))
}

func (d *Detector[P]) evidence(v cwgroup.View, listed int, now time.Time) Evidence {
	e := Evidence{
		Heard:    1,
		Suspects: 1,
		Listed:   listed,
		Members:  v.Size(),
		Lasted:   now.Sub(d.own.Since),
	}
	for _, vote := range d.votes {
		if now.Sub(vote.At) > FreshVote {
			continue
		}
		e.Heard++
		if vote.Suspect && vote.Term >= d.own.Term {
			e.Suspects++
		}
	}
	primary, _ := v.Primary()
	for _, r := range v.Reports() {
		switch {
		case r.Member == primary.Member || now.Sub(r.At) > FreshMember || !r.Reachable:
		case r.UpstreamAge > StreamLost:
			e.StreamsLost++
		default:
			e.StreamsAlive++
		}
	}
	return e
}

// deserted reports whether so few members hear their primary that nothing can
// be acknowledged, while enough of them answer for another one to be promoted.
func deserted(v cwgroup.View, now time.Time) bool {
	p, ok := v.Primary()
	if !ok {
		return false
	}
	holding, lost := 1, 0
	for _, r := range v.Reports() {
		switch {
		case r.Member == p.Member || now.Sub(r.At) > FreshMember || !r.Reachable:
		case r.Role != cwgroup.RoleReplica || r.UpstreamAge > StreamLost:
			lost++
		default:
			holding++
		}
	}
	majority := cwgroup.Majority(v.Size())
	return holding < majority && lost >= majority
}

// majorityReachable reports whether a majority answered lately, and after since.
func majorityReachable(v cwgroup.View, since, now time.Time) bool {
	n := 0
	for _, r := range v.Reports() {
		if r.Reachable && r.At.After(since) && now.Sub(r.At) <= FreshMember {
			n++
		}
	}
	return n >= cwgroup.Majority(v.Size())
}
