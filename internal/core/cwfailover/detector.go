// Package cwfailover implements failure detection and failover for a replicated
// group: it decides when the primary is replaced and carries the replacement out.
//
// A Detector evaluates evidence that the primary has failed: what this proxy
// observed, what the other proxies that monitor the group report, and whether the
// replicas still receive data from the primary. An Attempt is the state machine of
// one attempt to move the group to a new primary in the next term: claim the
// group's row in the platform's table, fence a majority of the members, promote the
// most advanced of them, make the others follow it, and record the result. Any
// proxy can run an Attempt, several can run at once, and each can crash or pause
// after any step. A member adopts a term for one claim only, so at most one claim
// per term gets a majority. A Supervisor combines both for one proxy and one group.
//
// The package does no I/O. An Attempt consumes the responses to its commands and
// returns the next commands. The caller executes them and must not send a command
// after its NotAfter.
package cwfailover

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// InstanceID identifies an instance, a process that runs a proxy.
type InstanceID string

// Failure detection timing.
const (
	// VoteMaxAge is how long a vote counts after it was received. It spans several
	// heartbeats, so that one lost heartbeat does not remove a vote.
	VoteMaxAge = 2500 * time.Millisecond
	// UpstreamTimeout is the time without a message from the primary after which a
	// replica counts as disconnected from it. Members send to their replicas every
	// 100 ms.
	UpstreamTimeout = 300 * time.Millisecond
	// MinUnanimousSuspicion is how long all proxies must have suspected the primary
	// before their votes override replicas that still receive data from it.
	MinUnanimousSuspicion = 2 * time.Second
	// MinTimeWithoutPrimary is how long a group must have no primary, or a
	// reachable primary without enough replicas, before the primary may be
	// replaced. The same state occurs during a change of primary that is in
	// progress and in a proxy that has just started.
	MinTimeWithoutPrimary = time.Second
	// ReportMaxAge is the maximum age of a report for its member to count as
	// reachable.
	ReportMaxAge = 1500 * time.Millisecond
)

// Vote is one proxy's opinion on whether a group's primary has failed.
type Vote struct {
	Instance InstanceID
	// Term is the term of the primary that the vote is about.
	Term    cwgroup.Term
	Suspect bool
	// SuspectedSince is when the current suspicion began, by the clock of the proxy
	// that stores the vote.
	SuspectedSince time.Time
	// ReceivedAt is when the vote was received, by the same clock.
	ReceivedAt time.Time
}

// Evidence is the input of a FailurePolicy.
type Evidence struct {
	// FreshVotes is the number of proxies whose vote is recent enough to count,
	// including this one.
	FreshVotes int
	// SuspectVotes is the number of them that suspect the primary.
	SuspectVotes int
	// ListedProxies is the number of live proxies that monitor the group according
	// to the platform's instance list, which is updated with a delay.
	ListedProxies int
	// GroupSize is the size of the group.
	GroupSize int
	// ReplicasDisconnected is the number of members, not counting the primary, that
	// no longer receive data from the primary.
	ReplicasDisconnected int
	// ReplicasConnected is the number of members, not counting the primary, that
	// still do.
	ReplicasConnected int
	// SuspectedFor is how long this proxy has suspected the primary.
	SuspectedFor time.Duration
}

// FailurePolicy decides whether the evidence is sufficient to replace a primary.
type FailurePolicy interface {
	ShouldReplace(Evidence) bool
}

// ProxyMajorityPolicy replaces a primary once it is suspected by a majority of the
// monitoring proxies. The majority is that of the larger of FreshVotes and
// ListedProxies.
type ProxyMajorityPolicy struct{}

// ShouldReplace implements FailurePolicy.
func (ProxyMajorityPolicy) ShouldReplace(e Evidence) bool {
	return e.SuspectVotes >= cwgroup.Majority(max(e.FreshVotes, e.ListedProxies))
}

// ProxiesAndReplicasPolicy also considers whether the replicas are connected to the
// primary.
//
// It prevents two failures of ProxyMajorityPolicy. First, proxies that are
// partitioned from a primary which its replicas still follow would replace it
// needlessly; here the suspicion must then be unanimous and last for
// MinUnanimousSuspicion. Second, if some proxies fail together with the primary,
// the instance list still contains them, and the remaining proxies can never form a
// majority of it; here a majority of disconnected replicas replaces the missing
// votes.
type ProxiesAndReplicasPolicy struct{}

// ShouldReplace implements FailurePolicy.
func (ProxiesAndReplicasPolicy) ShouldReplace(e Evidence) bool {
	freshMajority := e.SuspectVotes >= cwgroup.Majority(e.FreshVotes)
	listedMajority := e.SuspectVotes >= cwgroup.Majority(e.ListedProxies)
	mostReplicasLost := e.ReplicasDisconnected >= cwgroup.Majority(e.GroupSize)
	if e.ReplicasConnected > 0 && !mostReplicasLost {
		return listedMajority && e.SuspectVotes == e.FreshVotes && e.SuspectedFor >= MinUnanimousSuspicion
	}
	return freshMajority && (listedMajority || mostReplicasLost)
}

// Detector collects votes about the primary of one group. Set Self and Policy
// before use.
type Detector[P FailurePolicy] struct {
	Self   InstanceID
	Policy P

	own   Vote
	votes map[InstanceID]Vote
}

// SetOwnVote records this proxy's vote. It returns true if the vote changed, so that
// the caller can notify the other proxies immediately.
func (d *Detector[P]) SetOwnVote(t cwgroup.Term, suspect bool, now time.Time) bool {
	changed := d.own.Term != t || d.own.Suspect != suspect
	if changed {
		d.own.SuspectedSince = now
	}
	d.own.Instance, d.own.Term, d.own.Suspect, d.own.ReceivedAt = d.Self, t, suspect, now
	return changed
}

// OwnVote returns this proxy's vote.
func (d *Detector[P]) OwnVote() Vote { return d.own }

// AddVote records another proxy's vote. Votes of this proxy itself are ignored.
func (d *Detector[P]) AddVote(v Vote) {
	if v.Instance == d.Self {
		return
	}
	if d.votes == nil {
		d.votes = make(map[InstanceID]Vote)
	}
	if old, ok := d.votes[v.Instance]; ok && old.Term == v.Term && old.Suspect == v.Suspect {
		v.SuspectedSince = old.SuspectedSince
	} else {
		v.SuspectedSince = v.ReceivedAt
	}
	d.votes[v.Instance] = v
}

// ShouldReplace reports whether the primary should be replaced now. listed is the
// value for Evidence.ListedProxies.
func (d *Detector[P]) ShouldReplace(v cwgroup.View, listed int, now time.Time) bool {
	if !d.own.Suspect || d.own.Term != v.Term() {
		return false
	}
	if p, ok := v.Primary(); (!ok || p.Reachable) && now.Sub(d.own.SuspectedSince) < MinTimeWithoutPrimary {
		return false
	}
	if !majorityReachable(v, d.own.SuspectedSince, now) {
		// Without a reachable majority, fencing cannot succeed. Trying would only
		// fence single members, which then serve no requests. Only reports received
		// since the suspicion began count: after a network partition, the members
		// on the other side also look reachable until their silence is detected.
		return false
	}
	return d.Policy.ShouldReplace(d.evidence(v, listed, now))
}

func (d *Detector[P]) evidence(v cwgroup.View, listed int, now time.Time) Evidence {
	e := Evidence{
		FreshVotes:    1,
		SuspectVotes:  1,
		ListedProxies: listed,
		GroupSize:     v.Size(),
		SuspectedFor:  now.Sub(d.own.SuspectedSince),
	}
	for _, vote := range d.votes {
		if now.Sub(vote.ReceivedAt) > VoteMaxAge {
			continue
		}
		e.FreshVotes++
		if vote.Suspect && vote.Term >= d.own.Term {
			e.SuspectVotes++
		}
	}
	primary, _ := v.Primary()
	for _, r := range v.Reports() {
		switch {
		case r.Member == primary.Member || now.Sub(r.At) > ReportMaxAge || !r.Reachable:
		case r.UpstreamAge > UpstreamTimeout && !v.Quorums().Current.Listed(r.Member):
			// A majority of the configuration in force must have lost the primary.
		case r.UpstreamAge > UpstreamTimeout:
			e.ReplicasDisconnected++
		default:
			e.ReplicasConnected++
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
	connected := []cwgroup.MemberID{p.Member}
	var disconnected []cwgroup.MemberID
	for _, r := range v.Reports() {
		switch {
		case r.Member == p.Member || now.Sub(r.At) > ReportMaxAge || !r.Reachable:
		case r.Role != cwgroup.RoleReplica || r.UpstreamAge > UpstreamTimeout:
			disconnected = append(disconnected, r.Member)
		default:
			connected = append(connected, r.Member)
		}
	}
	q := v.Quorums()
	return !q.Decides(cwgroup.SetOf(connected...)) && q.Fences(cwgroup.SetOf(disconnected...))
}

// majorityReachable reports whether enough members to fence the primary answered after
// since and within the last ReportMaxAge.
func majorityReachable(v cwgroup.View, since, now time.Time) bool {
	return v.Quorums().Fences(v.Where(func(r cwgroup.Report) bool {
		return r.Reachable && r.At.After(since) && now.Sub(r.At) <= ReportMaxAge
	}))
}
