// Package cwfailover implements failure detection and failover for a replicated
// group: it decides when the primary is replaced and carries the replacement out.
//
// A Detector evaluates evidence that the primary has failed: what this proxy
// observed, what the other proxies that monitor the group report, and whether the
// replicas still receive data from the primary. A Keeper is the state machine of
// one attempt to move the group to a new primary in the next term: claim the
// group's row in the platform's table, fence a majority of the members, promote the
// most advanced of them, make the others follow it, and record the result. Any
// proxy can run a Keeper, several can run at once, and each can crash or pause
// after any step. A member adopts a term for one claim only, so at most one claim
// per term gets a majority. A Supervisor combines both for one proxy and one group.
//
// The package does no I/O. A Keeper consumes events and returns commands (type
// Order). The caller executes them and must not send a command after its NotAfter.
package cwfailover

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// InstanceID identifies an instance, a process that runs a proxy.
type InstanceID string

// Failure detection timing.
const (
	// FreshVote is how long a vote counts after it was received. It spans several
	// heartbeats, so that one lost heartbeat does not remove a vote.
	FreshVote = 2500 * time.Millisecond
	// StreamLost is the time without a message from the primary after which a
	// replica counts as disconnected from it. Members send to their replicas every
	// 100 ms.
	StreamLost = 300 * time.Millisecond
	// Persist is how long all proxies must have suspected the primary before their
	// votes override replicas that still receive data from it.
	Persist = 2 * time.Second
	// SettleFor is how long a group must have no primary, or a reachable primary
	// without enough replicas, before the primary may be replaced. The same state
	// occurs during a change of primary that is in progress and in a proxy that has
	// just started.
	SettleFor = time.Second
	// FreshMember is the maximum age of a report for its member to count as
	// reachable.
	FreshMember = 1500 * time.Millisecond
)

// Vote is one proxy's opinion on whether a group's primary has failed.
type Vote struct {
	Voter InstanceID
	// Term is the term of the primary that the vote is about.
	Term    cwgroup.Term
	Suspect bool
	// Since is when the current suspicion began, by the clock of the proxy that
	// stores the vote.
	Since time.Time
	// At is when the vote was received, by the same clock.
	At time.Time
}

// Evidence is the input of a DetectPolicy.
type Evidence struct {
	// Heard is the number of proxies whose vote is recent enough to count,
	// including this one.
	Heard int
	// Suspects is the number of them that suspect the primary.
	Suspects int
	// Listed is the number of live proxies that monitor the group according to the
	// platform's instance list, which is updated with a delay.
	Listed int
	// Members is the size of the group.
	Members int
	// StreamsLost is the number of members, not counting the primary, that no
	// longer receive data from the primary.
	StreamsLost int
	// StreamsAlive is the number of members, not counting the primary, that still
	// do.
	StreamsAlive int
	// Lasted is how long this proxy has suspected the primary.
	Lasted time.Duration
}

// DetectPolicy decides whether the evidence is sufficient to replace a primary.
type DetectPolicy interface {
	Enough(Evidence) bool
}

// ByProxies replaces a primary once it is suspected by a majority of the monitoring
// proxies. The majority is that of the larger of the two counts, Heard and Listed.
type ByProxies struct{}

// Enough implements DetectPolicy.
func (ByProxies) Enough(e Evidence) bool {
	return e.Suspects >= cwgroup.Majority(max(e.Heard, e.Listed))
}

// ByProxiesAndReplicas also considers whether the replicas are connected to the
// primary.
//
// It prevents two failures of ByProxies. First, proxies that are partitioned from a
// primary which its replicas still follow would replace it needlessly; here the
// suspicion must then be unanimous and last for Persist. Second, if some proxies
// fail together with the primary, the instance list still contains them, and the
// remaining proxies can never form a majority of it; here a majority of
// disconnected replicas replaces the missing votes.
type ByProxiesAndReplicas struct{}

// Enough implements DetectPolicy.
func (ByProxiesAndReplicas) Enough(e Evidence) bool {
	heardMajority := e.Suspects >= cwgroup.Majority(e.Heard)
	listedMajority := e.Suspects >= cwgroup.Majority(e.Listed)
	mostReplicasLost := e.StreamsLost >= cwgroup.Majority(e.Members)
	if e.StreamsAlive > 0 && !mostReplicasLost {
		return listedMajority && e.Suspects == e.Heard && e.Lasted >= Persist
	}
	return heardMajority && (listedMajority || mostReplicasLost)
}

// Detector collects votes about the primary of one group. Set Self and Policy
// before use.
type Detector[P DetectPolicy] struct {
	Self   InstanceID
	Policy P

	own   Vote
	votes map[InstanceID]Vote
}

// SetOwn records this proxy's vote. It returns true if the vote changed, so that
// the caller can notify the other proxies immediately.
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

// Observe records another proxy's vote. Votes of this proxy itself are ignored.
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

// Decide reports whether the primary should be replaced now. listed is the value
// for Evidence.Listed.
func (d *Detector[P]) Decide(v cwgroup.View, listed int, now time.Time) bool {
	if !d.own.Suspect || d.own.Term != v.Term() {
		return false
	}
	if p, ok := v.Primary(); (!ok || p.Reachable) && now.Sub(d.own.Since) < SettleFor {
		return false
	}
	if !majorityReachable(v, d.own.Since, now) {
		// Without a reachable majority, fencing cannot succeed. Trying would only
		// fence single members, which then serve no requests. Only reports received
		// since the suspicion began count: after a network partition, the members
		// on the other side also look reachable until their silence is detected.
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

// primaryLostQuorum reports whether too few members are connected to the primary
// for any write to be acknowledged, while enough members are reachable to promote
// another one.
func primaryLostQuorum(v cwgroup.View, now time.Time) bool {
	p, ok := v.Primary()
	if !ok {
		return false
	}
	connected, disconnected := 1, 0
	for _, r := range v.Reports() {
		switch {
		case r.Member == p.Member || now.Sub(r.At) > FreshMember || !r.Reachable:
		case r.Role != cwgroup.RoleReplica || r.UpstreamAge > StreamLost:
			disconnected++
		default:
			connected++
		}
	}
	majority := cwgroup.Majority(v.Size())
	return connected < majority && disconnected >= majority
}

// majorityReachable reports whether a majority of the members answered after since
// and within the last FreshMember.
func majorityReachable(v cwgroup.View, since, now time.Time) bool {
	n := 0
	for _, r := range v.Reports() {
		if r.Reachable && r.At.After(since) && now.Sub(r.At) <= FreshMember {
			n++
		}
	}
	return n >= cwgroup.Majority(v.Size())
}
