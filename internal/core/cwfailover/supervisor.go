package cwfailover

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Timing of supervision.
const (
	// RankDelay is the additional delay per rank before a proxy starts a change of
	// primary, so that two proxies rarely start one at the same time.
	RankDelay = 150 * time.Millisecond
	// RetryDelay is the delay after a change of primary, successful or not, before
	// the next one may start. The proxy's rank delay is added to it.
	RetryDelay = 300 * time.Millisecond
	// RepairInterval is the minimum time between two rounds of repairs.
	RepairInterval = 300 * time.Millisecond
	// StrandedTimeout is how long a member may be stranded in a term that it cannot
	// follow the primary in, before the group moves to a new term for its sake.
	StrandedTimeout = 3 * time.Second
	// StopPropagationTime is how long after this proxy learnt of a planned stop all
	// other proxies are assumed to know of it. Until then they may still begin
	// transactions at the stopping member.
	StopPropagationTime = 2 * time.Second
	// drainReportMaxAge is the maximum age of the reports that show that a stopping
	// primary has no open transactions.
	drainReportMaxAge = 400 * time.Millisecond
)

// TickInputs are the inputs of Supervisor.Tick that do not come from the group's
// members.
type TickInputs struct {
	// ListedProxies is the number of live proxies that monitor the group according
	// to the platform's instance list. Rank is this proxy's rank among them for the
	// group, starting at 0; see RankDelay.
	ListedProxies, Rank int
	// MembersCheckTerm and WithoutTable come from the group's configuration; see
	// Plan.
	MembersCheckTerm, WithoutTable bool
	// OpenWrites is the number of write transactions in progress at this proxy.
	OpenWrites int
	// RowTerm is the term of the group's row as last known to this proxy. A claim
	// must be for a later term.
	RowTerm cwgroup.Term
	// Acknowledged is the newest position that this proxy knows to be acknowledged.
	Acknowledged cwgroup.LogPosition
	// OtherChangePending is true while another proxy's change of primary is known
	// from the table but its result has not been observed yet.
	OtherChangePending bool
}

// Row is the row of a group in the platform's table.
type Row struct {
	// Term is the term that the claim is for.
	Term  cwgroup.Term
	Claim cwgroup.ClaimID
	// Owner is the instance that made the claim.
	Owner InstanceID
	// Primary is the member promoted by the last change that was finished.
	Primary cwgroup.MemberID
	// ReplacedTerm is the newest term whose primary has been replaced or may have
	// been: a majority of the members was fenced, and another member may have been
	// promoted. It never decreases.
	ReplacedTerm cwgroup.Term
	// GroupSize is the number of members of the group when the row was written; zero
	// if it was not recorded.
	GroupSize int
	// Done is true once the change of primary is finished.
	Done bool
}

// Result is the result of one change of primary.
type Result struct {
	Plan Plan
	// OldPrimary is the last report of the old primary; it is zero if there was none.
	OldPrimary cwgroup.Report
	// NewPrimary is the member selected as the new primary, if any.
	NewPrimary cwgroup.MemberID
	// Reason is ReasonNone if the change succeeded.
	Reason Reason
	// Planned is true for a planned stop and false for a failure.
	Planned bool
	// Duration is the duration of the attempt.
	Duration time.Duration
	// Fenced are the members that were fenced, NotFenced those that failed to be.
	Fenced, NotFenced []cwgroup.MemberID
}

// Changed reports whether the change led to a new primary.
func (r Result) Changed() bool { return r.Reason == ReasonNone }

// Supervisor decides, for one proxy and one group, when to change the primary and
// which members to repair, and runs the Attempt of a change. It consumes reports,
// votes and command responses, and returns commands. It is not safe for concurrent
// use; the caller must hold a lock.
type Supervisor struct {
	// Self is the instance that runs this proxy.
	Self InstanceID
	// ClaimSeed is a part of every claim id. It must differ between processes so that
	// the ids are unique.
	ClaimSeed string

	view cwgroup.View
	// following holds the primary that each member follows.
	following map[cwgroup.MemberID]cwgroup.MemberID
	// stoppingSince holds since when this proxy has known that a member stops.
	stoppingSince map[cwgroup.MemberID]time.Time
	detector      Detector[ProxiesAndReplicasPolicy]

	// attempt is the current change of primary; nil if there is none.
	attempt          *Attempt
	attemptStartedAt time.Time
	// oldPrimary is the last report of the primary that the attempt replaces.
	oldPrimary cwgroup.Report
	planned    bool
	// mayStartAt is when this proxy may start to replace the primary; zero while
	// there is no reason to.
	mayStartAt time.Time
	// retryAt is the earliest time of the next change of primary.
	retryAt time.Time
	// repairAt is the earliest time of the next repairs.
	repairAt time.Time
	// strandedSince is since when a member has been stranded; zero if none is.
	strandedSince time.Time
	// claimCount is the number of claims made by this supervisor.
	claimCount int
	// otherClaim is an unfinished claim of another proxy, first seen at otherSince.
	otherClaim cwgroup.ClaimID
	otherSince time.Time
}

// NewSupervisor returns a Supervisor that has no reports of the group yet.
func NewSupervisor(self InstanceID, seed, group string, members []cwgroup.MemberID) *Supervisor {
	return &Supervisor{
		Self:          self,
		ClaimSeed:     seed,
		view:          cwgroup.NewView(group, members),
		following:     make(map[cwgroup.MemberID]cwgroup.MemberID),
		stoppingSince: make(map[cwgroup.MemberID]time.Time),
		detector:      Detector[ProxiesAndReplicasPolicy]{Self: self},
	}
}

// View returns the current view of the group.
func (s *Supervisor) View() cwgroup.View { return s.view }

// ChangingPrimary reports whether this proxy is currently changing the primary.
func (s *Supervisor) ChangingPrimary() bool { return s.attempt != nil }

// AddReport records a member's report and the primary that it follows. It returns
// true if this proxy's vote changed, in which case the other proxies should be
// notified immediately.
func (s *Supervisor) AddReport(r cwgroup.Report, following cwgroup.MemberID, now time.Time) bool {
	s.view = s.view.WithReport(r)
	s.following[r.Member] = following
	return s.updateVote(now)
}

// AddLatestReport records a report like AddReport, for members that can forget an
// adopted term; see cwgroup.View.WithLatestReport.
func (s *Supervisor) AddLatestReport(r cwgroup.Report, now time.Time) {
	s.view = s.view.WithLatestReport(r)
	if p, ok := s.view.Primary(); ok && r.Role == cwgroup.RoleReplica {
		// Members of this kind find their primary themselves.
		s.following[r.Member] = p.Member
	}
	s.updateVote(now)
}

// MemberRestarted records that a member has restarted and lost its state. Its earlier
// reports no longer count, nor does its fence in a change of primary that is in
// progress.
func (s *Supervisor) MemberRestarted(id cwgroup.MemberID, now time.Time) {
	s.view = s.view.WithoutReport(id)
	delete(s.following, id)
	if s.attempt != nil {
		s.attempt.MemberRestarted(id)
	}
	s.updateVote(now)
}

// SetReplacedTerm records that the primaries of term t and of all earlier terms have
// been replaced.
func (s *Supervisor) SetReplacedTerm(t cwgroup.Term, now time.Time) {
	if t <= s.view.ReplacedTerm() {
		return
	}
	s.view = s.view.WithReplacedTerm(t)
	s.updateVote(now)
}

// SetMembers sets the listed members of the group and the quorums by which they decide.
func (s *Supervisor) SetMembers(ids []cwgroup.MemberID, q cwgroup.Quorums) {
	s.view = s.view.WithMembers(ids, q)
	if s.attempt != nil {
		s.attempt.SetQuorums(q)
	}
}

// Suspects reports whether this proxy suspects the primary.
func (s *Supervisor) Suspects() bool { return s.detector.OwnVote().Suspect }

// SetUnreachable records that a new connection to the member failed. It returns true
// if this proxy's vote changed.
func (s *Supervisor) SetUnreachable(id cwgroup.MemberID, now time.Time) bool {
	s.view = s.view.WithUnreachable(id)
	return s.updateVote(now)
}

// updateVote updates this proxy's vote. It suspects a primary that does not answer,
// and also two other states in which no write can succeed: there is no primary,
// because an attempt fenced the members and was abandoned or because the primary
// was lost before this proxy started; or the primary answers, but too few members
// replicate from it.
func (s *Supervisor) updateVote(now time.Time) bool {
	p, ok := s.view.Primary()
	return s.detector.SetOwnVote(s.view.Term(), !ok || !p.Reachable || primaryLostQuorum(s.view, now), now)
}

// Vote returns this proxy's vote.
func (s *Supervisor) Vote() Vote { return s.detector.OwnVote() }

// AddVote records another proxy's vote.
func (s *Supervisor) AddVote(v Vote) { s.detector.AddVote(v) }

// SetStopping sets the members that are being stopped as planned. The time at which
// each was first set is kept.
func (s *Supervisor) SetStopping(ids []cwgroup.MemberID, now time.Time) {
	next := make(map[cwgroup.MemberID]time.Time, len(ids))
	for _, id := range ids {
		knownSince, ok := s.stoppingSince[id]
		if !ok {
			knownSince = now
		}
		next[id] = knownSince
	}
	s.stoppingSince = next
}

// Stopping reports whether the member is being stopped as planned.
func (s *Supervisor) Stopping(id cwgroup.MemberID) bool {
	_, ok := s.stoppingSince[id]
	return ok
}

// Tick advances the time to now and returns the commands to execute.
func (s *Supervisor) Tick(now time.Time, in TickInputs) []Command {
	if s.attempt != nil {
		return s.attempt.Tick(now)
	}
	if s.startIfNeeded(now, in) {
		return s.attempt.Start(now)
	}
	if now.Before(s.repairAt) || now.Before(s.retryAt) {
		return nil
	}
	s.repairAt = now.Add(RepairInterval)
	return RepairCommands(s.view, s.following, now)
}

// startIfNeeded decides whether this proxy starts to change the primary and, if so,
// creates the attempt and returns true.
func (s *Supervisor) startIfNeeded(now time.Time, in TickInputs) bool {
	if now.Before(s.retryAt) || in.OtherChangePending {
		return false
	}
	if s.detector.ShouldReplace(s.view, in.ListedProxies, now) {
		if !s.rankDelayPassed(now, in) {
			return false
		}
		s.start(now, in, false)
		return true
	}
	if s.readyForPlannedChange(now, in) {
		if !s.rankDelayPassed(now, in) {
			return false
		}
		s.start(now, in, true)
		return true
	}
	s.mayStartAt = time.Time{}
	if s.strandedTooLong(now, in) {
		s.start(now, in, false)
		return true
	}
	return false
}

// rankDelayPassed reports whether the proxies with smaller ranks have had enough
// time to start first.
func (s *Supervisor) rankDelayPassed(now time.Time, in TickInputs) bool {
	if s.mayStartAt.IsZero() {
		s.mayStartAt = now.Add(time.Duration(in.Rank) * RankDelay)
	}
	return !now.Before(s.mayStartAt)
}

func (s *Supervisor) start(now time.Time, in TickInputs, planned bool) {
	s.claimCount++
	s.attemptStartedAt, s.planned = now, planned
	s.oldPrimary, _ = s.view.Primary()
	plan := Plan{
		Group:            s.view.Name(),
		Members:          s.view.Members(),
		Quorums:          s.view.Quorums(),
		StableSize:       s.view.StableSize(),
		Acknowledged:     in.Acknowledged,
		Leaving:          slices.Sorted(maps.Keys(s.stoppingSince)),
		ReplacedTerm:     max(s.view.Term(), s.view.ReplacedTerm()),
		Term:             max(NextTerm(s.view), in.RowTerm+1),
		Claim:            cwgroup.ClaimID(fmt.Sprintf("%s-%s-%d", s.Self, s.ClaimSeed, s.claimCount)),
		MembersCheckTerm: in.MembersCheckTerm,
		WithoutTable:     in.WithoutTable,
		Preferred:        s.oldPrimary.Member,
	}
	if planned {
		plan.LeavingPrimary, plan.Preferred = s.oldPrimary.Member, ""
	} else if s.oldPrimary.Reachable && primaryLostQuorum(s.view, now) {
		plan.ExcludedPrimary = s.oldPrimary.Member
	}
	s.attempt = NewAttempt(plan)
}

// readyForPlannedChange reports whether a stopping primary can be replaced without
// interrupting any transaction: every proxy has known of the stop long enough not
// to begin new transactions there, no write transaction is open, enough members to
// fence answer, and one that is not stopping has the complete log.
func (s *Supervisor) readyForPlannedChange(now time.Time, in TickInputs) bool {
	p, ok := s.view.Primary()
	knownSince, isStopping := s.stoppingSince[p.Member]
	if !ok || !isStopping || now.Sub(knownSince) < StopPropagationTime || in.OpenWrites > 0 {
		return false
	}
	if p.OpenWrites > 0 || !p.Reachable || now.Sub(p.At) > drainReportMaxAge {
		return false
	}
	if !majorityReachable(s.view, now.Add(-drainReportMaxAge), now) {
		// The primary is demoted first; if the others could not be fenced then, the group
		// would be left without a primary.
		return false
	}
	for _, r := range s.view.Reports() {
		fresh := r.Reachable && now.Sub(r.At) <= drainReportMaxAge
		if r.Member != p.Member && fresh && !s.Stopping(r.Member) && r.Durable.AtLeast(p.Durable) {
			return true
		}
	}
	return false
}

// strandedTooLong reports whether a member has been stranded for StrandedTimeout,
// while a majority of the members was reachable. Proxies with smaller ranks have time
// to act first; the one of rank 0 may have ended, or may not know of the member.
func (s *Supervisor) strandedTooLong(now time.Time, in TickInputs) bool {
	if !HasStrandedMember(s.view, now) || !majorityReachable(s.view, now.Add(-drainReportMaxAge), now) {
		s.strandedSince = time.Time{}
		return false
	}
	if s.strandedSince.IsZero() {
		s.strandedSince = now
	}
	return now.Sub(s.strandedSince) >= StrandedTimeout+time.Duration(in.Rank)*RankDelay
}

// Handle processes the response to a command and returns the next commands.
// Responses to commands of an earlier attempt are ignored.
func (s *Supervisor) Handle(resp Response, now time.Time) []Command {
	if s.attempt == nil || resp.Claim != s.attempt.plan.Claim {
		return nil
	}
	return s.attempt.Handle(resp, now)
}

// TakeResult returns the result of the current attempt once it has ended, and
// clears the attempt.
func (s *Supervisor) TakeResult(now time.Time, in TickInputs) (Result, bool) {
	k := s.attempt
	if k == nil || !k.Ended() {
		return Result{}, false
	}
	s.attempt = nil
	s.mayStartAt, s.strandedSince = time.Time{}, time.Time{}
	s.retryAt = now.Add(RetryDelay + time.Duration(in.Rank)*RankDelay)
	return Result{
		Plan: k.plan, OldPrimary: s.oldPrimary, NewPrimary: k.newPrimary, Reason: k.reason, Planned: s.planned, Duration: now.Sub(s.attemptStartedAt),
		Fenced: slices.Sorted(maps.Keys(k.fenced)), NotFenced: slices.Sorted(maps.Keys(k.fenceFailed)),
	}, true
}

// MayClaim reports whether the row may be claimed for term t. That is the case if
// the row's change is finished and of an earlier term, if the unfinished claim is
// this proxy's own and not of a later term, or if this proxy has seen the same
// claim of another proxy for at least ClaimTTL. Clocks of different machines are
// never compared.
func (s *Supervisor) MayClaim(row Row, t cwgroup.Term, now time.Time) bool {
	if row.Done || row.Owner == s.Self {
		return row.Term < t || row.Term == t && !row.Done
	}
	if s.otherClaim != row.Claim {
		s.otherClaim, s.otherSince = row.Claim, now
		return false
	}
	return now.Sub(s.otherSince) >= ClaimTTL
}
