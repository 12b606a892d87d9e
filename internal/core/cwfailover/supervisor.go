package cwfailover

import (
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Times of supervision.
const (
	// RankDelay is how long each lower rank waits for the ranks above it, so
	// that keepers seldom run at once.
	RankDelay = 150 * time.Millisecond
	// RetryChange is the pause after a change, failed or not; the rank's delay
	// is added.
	RetryChange = 300 * time.Millisecond
	// RepairEvery is the least time between repairs.
	RepairEvery = 300 * time.Millisecond
	// StrandedFor is how long a member may be beyond the primary's term before
	// the term is raised for it.
	StrandedFor = 3 * time.Second
	// StopSpread is how long after a planned stop became known here it is known
	// at the other proxies, too. Until then they may still begin transactions.
	StopSpread = 2 * time.Second
	// freshDrain is how recent the reports must be that show a stopping primary
	// without open transactions.
	freshDrain = 400 * time.Millisecond
)

// Conditions are what a Supervisor needs to know of the world at each tick.
type Conditions struct {
	// Listed is the number of live watchers by the platform's list, and Rank
	// this proxy's place among them for the group.
	Listed, Rank int
	// ChecksTerm and WithoutTable are the entry's; see Plan.
	ChecksTerm, WithoutTable bool
	// OpenWrites is the number of this proxy's write transactions in progress.
	OpenWrites int
	// RowTerm is the term of the group's row as far as it is known here. A
	// claim must be for a later one.
	RowTerm cwgroup.Term
	// Pending is true while another proxy's change of primary, seen in the
	// table, has not shown its result yet.
	Pending bool
}

// Row is a group's row in the table.
type Row struct {
	Term   cwgroup.Term
	Claim  cwgroup.ClaimID
	Keeper InstanceID
	// Primary is whom the last finished change promoted.
	Primary cwgroup.MemberID
	// Replaced is the newest term whose primary has been replaced, or is about to
	// be: most members were fenced, and another member may have been promoted. It
	// never falls.
	Replaced cwgroup.Term
	// Members is how many members the group had then; zero if nobody wrote it.
	Members int
	// Done is true once the change of primary was finished.
	Done bool
}

// Result is how a change of primary ended.
type Result struct {
	Plan    Plan
	Before  cwgroup.Report
	Primary cwgroup.MemberID
	Reason  Reason
	// Planned is true for a stop, false for a failure.
	Planned bool
	Took    time.Duration
}

// Changed reports whether there is a new primary.
func (r Result) Changed() bool { return r.Reason == ReasonNone }

// Supervisor decides, for one proxy and one group, when the primary is changed
// and which members are repaired, and runs the Keeper. Events go in, orders
// come out. It is not safe for concurrent use; its owner's lock guards it.
type Supervisor struct {
	Self InstanceID
	// Seed makes claim ids unique; it must differ between processes.
	Seed string

	view      cwgroup.View
	following map[cwgroup.MemberID]cwgroup.MemberID
	stopping  map[cwgroup.MemberID]time.Time
	detector  Detector[ByProxiesAndReplicas]

	keeper  *Keeper
	began   time.Time
	before  cwgroup.Report
	planned bool
	// due is when this proxy may begin to replace the primary; zero while the
	// evidence is not enough.
	due     time.Time
	retryAt time.Time
	// repairAt is when members may be repaired again.
	repairAt      time.Time
	strandedSince time.Time
	claims        int
	// otherClaim is an unfinished claim of another proxy, seen since otherSince.
	otherClaim cwgroup.ClaimID
	otherSince time.Time
}

// NewSupervisor returns a supervisor of a group that nothing is known of yet.
func NewSupervisor(self InstanceID, seed, group string, members []cwgroup.MemberID) *Supervisor {
	return &Supervisor{
		Self:      self,
		Seed:      seed,
		view:      cwgroup.NewView(group, members),
		following: make(map[cwgroup.MemberID]cwgroup.MemberID),
		stopping:  make(map[cwgroup.MemberID]time.Time),
		detector:  Detector[ByProxiesAndReplicas]{Self: self},
	}
}

// View returns what is known of the group.
func (s *Supervisor) View() cwgroup.View { return s.view }

// Keeping reports whether this proxy changes the primary at the moment.
func (s *Supervisor) Keeping() bool { return s.keeper != nil }

// Report takes a member's report. It returns true if this proxy's vote changed
// and the other watchers are to be told at once.
func (s *Supervisor) Report(r cwgroup.Report, following cwgroup.MemberID, now time.Time) bool {
	s.view = s.view.WithReport(r)
	s.following[r.Member] = following
	return s.vote(now)
}

// ReportLatest takes a member's report as Report does, for members that can
// forget an adopted term; see cwgroup.View.WithLatest.
func (s *Supervisor) ReportLatest(r cwgroup.Report, now time.Time) {
	s.view = s.view.WithLatest(r)
	if p, ok := s.view.Primary(); ok && r.Role == cwgroup.RoleReplica {
		// Members of this kind find their primary by themselves.
		s.following[r.Member] = p.Member
	}
	s.vote(now)
}

// Forget records that a member has started again and knows nothing of before. What
// it reported counts no more, nor does its fence in a change of primary.
func (s *Supervisor) Forget(id cwgroup.MemberID, now time.Time) {
	s.view = s.view.WithForgotten(id)
	delete(s.following, id)
	if s.keeper != nil {
		s.keeper.Forget(id)
	}
	s.vote(now)
}

// SetReplaced records that the primaries of a term and of all before it have been
// replaced.
func (s *Supervisor) SetReplaced(t cwgroup.Term, now time.Time) {
	if t <= s.view.Replaced() {
		return
	}
	s.view = s.view.WithReplaced(t)
	s.vote(now)
}

// SetMembers replaces the members of the group, which has size members or, if they
// are more, these.
func (s *Supervisor) SetMembers(ids []cwgroup.MemberID, size int) {
	s.view = s.view.WithMembers(ids).WithSize(size)
}

// Suspects reports whether this proxy suspects the primary.
func (s *Supervisor) Suspects() bool { return s.detector.Own().Suspect }

// Unreachable records that a fresh connection to the member failed; the result is
// that of Report.
func (s *Supervisor) Unreachable(id cwgroup.MemberID, now time.Time) bool {
	s.view = s.view.WithUnreachable(id)
	return s.vote(now)
}

// vote suspects a primary that does not answer, and two more states in which
// writes cannot go on: nobody leads, since a keeper fenced the members and gave
// up or the primary was lost before this proxy started; and a primary that
// answers but that too few members copy from.
func (s *Supervisor) vote(now time.Time) bool {
	p, ok := s.view.Primary()
	return s.detector.SetOwn(s.view.Term(), !ok || !p.Reachable || deserted(s.view, now), now)
}

// Vote returns this proxy's vote.
func (s *Supervisor) Vote() Vote { return s.detector.Own() }

// ObserveVote takes another watcher's vote.
func (s *Supervisor) ObserveVote(v Vote) { s.detector.Observe(v) }

// SetStopping tells which members are to be left in peace.
func (s *Supervisor) SetStopping(ids []cwgroup.MemberID, now time.Time) {
	next := make(map[cwgroup.MemberID]time.Time, len(ids))
	for _, id := range ids {
		since, ok := s.stopping[id]
		if !ok {
			since = now
		}
		next[id] = since
	}
	s.stopping = next
}

// Stopping reports whether the member is to be left in peace.
func (s *Supervisor) Stopping(id cwgroup.MemberID) bool {
	_, ok := s.stopping[id]
	return ok
}

// Tick lets time pass and returns the orders that are due.
func (s *Supervisor) Tick(now time.Time, c Conditions) []Order {
	if s.keeper != nil {
		return s.keeper.Tick(now)
	}
	if s.begins(now, c) {
		return s.keeper.Start(now)
	}
	if now.Before(s.repairAt) || now.Before(s.retryAt) {
		return nil
	}
	s.repairAt = now.Add(RepairEvery)
	return Repairs(s.view, s.following, now)
}

// begins decides whether this proxy starts to change the primary, and makes the
// keeper.
func (s *Supervisor) begins(now time.Time, c Conditions) bool {
	if now.Before(s.retryAt) || c.Pending {
		return false
	}
	if s.detector.Decide(s.view, c.Listed, now) {
		if !s.ourTurn(now, c) {
			return false
		}
		s.start(now, c, false)
		return true
	}
	if s.drained(now, c) {
		if !s.ourTurn(now, c) {
			return false
		}
		s.start(now, c, true)
		return true
	}
	s.due = time.Time{}
	if s.stranded(now, c) {
		s.start(now, c, false)
		return true
	}
	return false
}

// ourTurn reports whether the ranks above this proxy's have had the time to
// begin.
func (s *Supervisor) ourTurn(now time.Time, c Conditions) bool {
	if s.due.IsZero() {
		s.due = now.Add(time.Duration(c.Rank) * RankDelay)
	}
	return !now.Before(s.due)
}

func (s *Supervisor) start(now time.Time, c Conditions, planned bool) {
	s.claims++
	s.began, s.planned = now, planned
	s.before, _ = s.view.Primary()
	plan := Plan{
		Group:        s.view.Name(),
		Members:      s.view.Members(),
		Size:         s.view.Size(),
		Settled:      s.view.Settled(),
		Replaces:     max(s.view.Term(), s.view.Replaced()),
		Term:         max(NextTerm(s.view), c.RowTerm+1),
		Claim:        cwgroup.ClaimID(fmt.Sprintf("%s-%s-%d", s.Self, s.Seed, s.claims)),
		ChecksTerm:   c.ChecksTerm,
		WithoutTable: c.WithoutTable,
		Prefer:       s.before.Member,
	}
	if planned {
		plan.Avoid, plan.Prefer = s.before.Member, ""
	} else if s.before.Reachable && deserted(s.view, now) {
		plan.Exclude = s.before.Member
	}
	s.keeper = NewKeeper(plan)
}

// drained reports whether a stopping primary can be changed without cutting
// anything: every proxy has known of the stop for long enough to begin nothing
// new there, no write transaction is open, and a member that stays has the
// whole log.
func (s *Supervisor) drained(now time.Time, c Conditions) bool {
	p, ok := s.view.Primary()
	since, stopping := s.stopping[p.Member]
	if !ok || !stopping || now.Sub(since) < StopSpread || c.OpenWrites > 0 {
		return false
	}
	if p.OpenWrites > 0 || !p.Reachable || now.Sub(p.At) > freshDrain {
		return false
	}
	for _, r := range s.view.Reports() {
		fresh := r.Reachable && now.Sub(r.At) <= freshDrain
		if r.Member != p.Member && fresh && !s.Stopping(r.Member) && r.Last.AtLeast(p.Last) {
			return true
		}
	}
	return false
}

func (s *Supervisor) stranded(now time.Time, c Conditions) bool {
	if c.Rank != 0 || !Stranded(s.view, now) || !majorityReachable(s.view, now.Add(-freshDrain), now) {
		s.strandedSince = time.Time{}
		return false
	}
	if s.strandedSince.IsZero() {
		s.strandedSince = now
	}
	return now.Sub(s.strandedSince) >= StrandedFor
}

// Handle takes the answer to an order. Answers that come after their keeper has
// ended are ignored.
func (s *Supervisor) Handle(ev Event, now time.Time) []Order {
	if s.keeper == nil || ev.Claim != s.keeper.plan.Claim {
		return nil
	}
	return s.keeper.Handle(ev, now)
}

// Ended returns how the change ended, once it has, and clears it.
func (s *Supervisor) Ended(now time.Time, c Conditions) (Result, bool) {
	k := s.keeper
	if k == nil || !k.Ended() {
		return Result{}, false
	}
	s.keeper = nil
	s.due, s.strandedSince = time.Time{}, time.Time{}
	s.retryAt = now.Add(RetryChange + time.Duration(c.Rank)*RankDelay)
	return Result{
		Plan: k.plan, Before: s.before, Primary: k.primary, Reason: k.why, Planned: s.planned, Took: now.Sub(s.began),
	}, true
}

// MayClaim reports whether the row may be claimed for a term: the row's change
// is finished and of an earlier term, or its unfinished claim is this proxy's
// own, or this proxy has watched it unchanged for the whole life of a claim.
// Clocks of two machines are never compared.
func (s *Supervisor) MayClaim(row Row, t cwgroup.Term, now time.Time) bool {
	if row.Done || row.Keeper == s.Self {
		return row.Term < t || row.Term == t && !row.Done
	}
	if s.otherClaim != row.Claim {
		s.otherClaim, s.otherSince = row.Claim, now
		return false
	}
	return now.Sub(s.otherSince) >= ClaimLife
}
