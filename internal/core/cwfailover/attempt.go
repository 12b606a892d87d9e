package cwfailover

import (
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Timing of one change of primary.
const (
	// ClaimTTL is how long an attempt may act on its claim, by the monotonic clock
	// of the proxy that made it, and how long other proxies must not replace the
	// claim, by their own clocks.
	ClaimTTL = 2 * time.Second
	// PromotionTransit is how long a promotion may be on the way once it was sent. It must have
	// arrived, or be lost, before another proxy may claim the group.
	PromotionTransit = 500 * time.Millisecond
	// TableTimeout is how long an attempt waits for the table to confirm its claim
	// before it continues without it, if the group's configuration allows that.
	TableTimeout = 300 * time.Millisecond
	// FenceGracePeriod is how long an attempt waits for more members after a majority
	// has adopted the term, in case a more advanced one is about to answer.
	FenceGracePeriod = 50 * time.Millisecond
	// ReadBackTTL is how long after reading the claim back a command may be sent to
	// a member that does not check terms.
	ReadBackTTL = 200 * time.Millisecond
)

// Phase is the progress of an attempt.
type Phase uint8

// The phases of an attempt, in order. PhaseDone and PhaseAbandoned are final.
const (
	// PhaseClaiming waits for the table to confirm the claim.
	PhaseClaiming Phase = iota
	// PhaseFencing waits for a majority of the members to adopt the term.
	PhaseFencing
	// PhasePromoting waits for the selected member to become the primary.
	PhasePromoting
	// PhaseFinishing waits for the other members to follow the new primary and for
	// the table to record it.
	PhaseFinishing
	// PhaseDone means that the group has a new primary.
	PhaseDone
	// PhaseAbandoned means that the attempt was given up; see Attempt.Reason.
	PhaseAbandoned
)

// String returns the phase's name in logs.
func (p Phase) String() string {
	return [...]string{"claiming", "fencing", "promoting", "settling", "done", "abandoned"}[p]
}

// Reason is the reason why an attempt was abandoned.
type Reason string

// The reasons for abandoning an attempt.
const (
	ReasonNone             Reason = ""
	ReasonClaimConflict    Reason = "another proxy holds the claim"
	ReasonTableUnavailable Reason = "the table is away and this entry does not allow a change without it"
	ReasonHigherTerm       Reason = "a member has adopted a later term"
	ReasonNoMajority       Reason = "no majority of the members answered"
	ReasonClaimExpired     Reason = "the claim ran out, perhaps while this proxy was paused"
	ReasonPromotionFailed  Reason = "the member to be promoted did not answer"
	ReasonMemberRestarted  Reason = "a member has started again since it was fenced"
	ReasonRecordsMissing   Reason = "the members that were fenced lack acknowledged records"
)

// NextTerm returns the term that the next change of primary would move to.
func NextTerm(v cwgroup.View) cwgroup.Term { return v.HighestTerm() + 1 }

// Attempt carries out one attempt to change the primary, according to a Plan. It is
// created by NewAttempt. It is not safe for concurrent use.
type Attempt struct {
	plan   Plan
	phase  Phase
	reason Reason
	// startedAt is when Start was called; nothing is sent after
	// startedAt+ClaimTTL.
	startedAt time.Time
	// quorums are those in force now. They are not changed any more once a member has been
	// selected for promotion.
	quorums cwgroup.Quorums
	// fenced holds the status of each member that adopted the term.
	fenced map[cwgroup.MemberID]cwgroup.Status
	// majorityFencedAt is when the number of fenced members reached a majority.
	majorityFencedAt time.Time
	// fenceFailed holds the members that did not adopt the term or lost it since.
	fenceFailed map[cwgroup.MemberID]bool
	// newPrimary is the member selected for promotion.
	newPrimary cwgroup.MemberID
	// highestPriorTerm is the newest term that any fenced member was in before.
	highestPriorTerm cwgroup.Term
	// claimConfirmed is true once the table has confirmed the claim.
	claimConfirmed bool
	// heldCommands holds commands to send once the claim has been read back or the
	// replaced term has been recorded; replacedTermPending is true in the latter
	// case.
	heldCommands        []Command
	replacedTermPending bool
	// deferredAdopts holds the AdoptTerm commands that wait for the leaving
	// primary's response.
	deferredAdopts []Command
	// recordPrimaryAnswered is true once RecordPrimary was answered, with any
	// outcome.
	recordPrimaryAnswered bool
	// pendingFollows is the number of Follow commands without a response.
	pendingFollows int
}

// NewAttempt returns an Attempt that has not been started.
func NewAttempt(p Plan) *Attempt {
	return &Attempt{
		plan:        p,
		quorums:     p.Quorums,
		fenced:      make(map[cwgroup.MemberID]cwgroup.Status),
		fenceFailed: make(map[cwgroup.MemberID]bool),
	}
}

// Phase returns the current phase.
func (k *Attempt) Phase() Phase { return k.phase }

// Reason returns why the attempt was abandoned, or ReasonNone.
func (k *Attempt) Reason() Reason { return k.reason }

// NewPrimary returns the member selected as the new primary; it is empty before the
// selection.
func (k *Attempt) NewPrimary() cwgroup.MemberID { return k.newPrimary }

// Plan returns the plan.
func (k *Attempt) Plan() Plan { return k.plan }

// Ended reports whether the attempt is in a final phase.
func (k *Attempt) Ended() bool { return k.phase == PhaseDone || k.phase == PhaseAbandoned }

// Start begins the attempt and returns the command that writes the claim.
func (k *Attempt) Start(now time.Time) []Command {
	k.startedAt = now
	return []Command{k.newCommand(WriteClaim, "")}
}

// Tick ends waits that have timed out by now and returns the next commands.
func (k *Attempt) Tick(now time.Time) []Command {
	if k.endIfExpired(now) {
		return nil
	}
	switch k.phase {
	case PhaseClaiming:
		if now.Sub(k.startedAt) >= TableTimeout && k.canProceedWithoutTable() {
			return k.startFencing()
		}
	case PhaseFencing:
		if k.fencingComplete(now) {
			return k.startPromotion()
		}
	}
	return nil
}

// Handle processes the response to a command and returns the next commands.
func (k *Attempt) Handle(resp Response, now time.Time) []Command {
	if k.endIfExpired(now) {
		return nil
	}
	switch resp.Kind {
	case WriteClaim:
		return k.handleClaim(resp.RowOutcome)
	case ReadClaim:
		if k.replacedTermPending {
			return nil
		}
		return k.handleReadBack(resp.RowOutcome, now)
	case RecordReplacedTerm:
		return k.handleRecordReplacedTerm(resp.RowOutcome, now)
	case AdoptTerm:
		return k.handleAdopt(resp, now)
	case Promote:
		return k.handlePromote(resp)
	case Follow:
		return k.handleFollow()
	case RecordPrimary:
		k.recordPrimaryAnswered = true
		k.finishIfComplete()
	}
	return nil
}

// endIfExpired ends an attempt whose claim has expired. It returns true if the
// attempt has ended, for this or an earlier reason.
//
// It covers a proxy that is paused in the middle of an attempt: another proxy takes
// over and finishes, then the first one resumes. Without this check there would be
// a second change of primary or, with members that do not check terms, two
// primaries. The monotonic clock advances during the pause, so the claim is found
// expired before anything is sent.
func (k *Attempt) endIfExpired(now time.Time) bool {
	if k.Ended() {
		return true
	}
	if now.Sub(k.startedAt) < ClaimTTL {
		return false
	}
	if k.phase == PhaseFinishing {
		// The new primary has been promoted. The supervisor repairs members that do
		// not follow it yet.
		k.phase = PhaseDone
		return true
	}
	k.abandon(ReasonClaimExpired)
	return true
}

func (k *Attempt) abandon(reason Reason) {
	k.phase, k.reason = PhaseAbandoned, reason
}

func (k *Attempt) newCommand(kind CommandKind, m cwgroup.MemberID) Command {
	notAfter := k.startedAt.Add(ClaimTTL)
	if kind == Promote {
		notAfter = notAfter.Add(-PromotionTransit)
	}
	return Command{
		Kind:         kind,
		Member:       m,
		Term:         k.plan.Term,
		Claim:        k.plan.Claim,
		Primary:      k.newPrimary,
		ReplacedTerm: max(k.highestPriorTerm, k.plan.ReplacedTerm),
		GroupSize:    k.plan.StableSize,
		NotAfter:     notAfter,
	}
}

// canProceedWithoutTable reports whether the members alone make the claim unique.
// Each member adopts a term for one claim only, so two claims for the same term
// cannot both get a majority. Terms and log positions are counted by the group's
// databases and do not depend on the table.
func (k *Attempt) canProceedWithoutTable() bool {
	return k.plan.MembersCheckTerm && k.plan.WithoutTable
}

func (k *Attempt) handleClaim(o RowOutcome) []Command {
	if k.phase != PhaseClaiming {
		k.claimConfirmed = k.claimConfirmed || o == RowConfirmed
		return nil
	}
	switch o {
	case RowConfirmed:
		k.claimConfirmed = true
		return k.startFencing()
	case RowConflict:
		k.abandon(ReasonClaimConflict)
	case RowUnknown:
		// The write may have taken effect, so it must not simply be repeated; read
		// the row back instead.
		return []Command{k.newCommand(ReadClaim, "")}
	case RowUnavailable:
		if k.canProceedWithoutTable() {
			return k.startFencing()
		}
		k.abandon(ReasonTableUnavailable)
	}
	return nil
}

func (k *Attempt) handleReadBack(o RowOutcome, now time.Time) []Command {
	if o == RowConflict {
		k.abandon(ReasonClaimConflict)
		return nil
	}
	if k.phase == PhaseClaiming {
		if o == RowConfirmed {
			k.claimConfirmed = true
			return k.startFencing()
		}
		if k.canProceedWithoutTable() {
			return k.startFencing()
		}
		k.abandon(ReasonTableUnavailable)
		return nil
	}
	if o != RowConfirmed {
		k.abandon(ReasonTableUnavailable)
		return nil
	}
	out := k.heldCommands
	k.heldCommands = nil
	for i := range out {
		if deadline := now.Add(ReadBackTTL); deadline.Before(out[i].NotAfter) {
			out[i].NotAfter = deadline
		}
	}
	return out
}

// recordReplacedTerm records in the group's row which terms are being replaced
// before it returns the commands that promote a member.
//
// It prevents two failures. First, a member that was fenced for the change restarts
// and loses its fence; together with the replaced primary it looks like a majority
// of the previous term, which confirms reads and acknowledges commits that the new
// primary lacks. Second, the proxy is paused right after the promotion, and nothing
// else shows that the old primary was replaced. A proxy that has read the row
// trusts no primary of the recorded terms. The successful write also serves as the
// last check that the claim is still valid. If the members check terms, neither the
// record nor this check is needed.
func (k *Attempt) recordReplacedTerm(commands []Command) []Command {
	if k.plan.MembersCheckTerm {
		return commands
	}
	k.heldCommands, k.replacedTermPending = commands, true
	return []Command{k.newCommand(RecordReplacedTerm, "")}
}

func (k *Attempt) handleRecordReplacedTerm(o RowOutcome, now time.Time) []Command {
	if !k.replacedTermPending {
		return nil
	}
	if o == RowUnknown {
		// Repeating this write is safe: the table accepts it only in the row that
		// holds this claim.
		return []Command{k.newCommand(RecordReplacedTerm, "")}
	}
	k.replacedTermPending = false
	return k.handleReadBack(o, now)
}

// afterReadBack returns the commands unchanged if the members check terms.
// Otherwise it holds them back and first reads the claim back; the commands must
// then be sent within ReadBackTTL. A member that does not check terms would obey an
// attempt that has long been superseded.
func (k *Attempt) afterReadBack(commands []Command) []Command {
	if k.plan.MembersCheckTerm {
		return commands
	}
	k.heldCommands = append(k.heldCommands, commands...)
	return []Command{k.newCommand(ReadClaim, "")}
}

func (k *Attempt) handlePromote(resp Response) []Command {
	if k.phase != PhasePromoting {
		return nil
	}
	if resp.Status.AdoptedTerm > k.plan.Term {
		k.abandon(ReasonHigherTerm)
		return nil
	}
	if resp.Failed {
		// The member may have been promoted nevertheless. Abandoning is safe
		// because the next term fences it.
		k.abandon(ReasonPromotionFailed)
		return nil
	}
	k.phase = PhaseFinishing
	var commands []Command
	for _, m := range k.plan.Members {
		if m != k.newPrimary {
			commands = append(commands, k.newCommand(Follow, m))
		}
	}
	k.pendingFollows = len(commands)
	return append(k.afterReadBack(commands), k.newCommand(RecordPrimary, ""))
}

func (k *Attempt) handleFollow() []Command {
	k.pendingFollows--
	k.finishIfComplete()
	return nil
}

func (k *Attempt) finishIfComplete() {
	if k.phase == PhaseFinishing && k.pendingFollows <= 0 && k.recordPrimaryAnswered {
		k.phase = PhaseDone
	}
}

// String describes the attempt for logs.
func (k *Attempt) String() string {
	return fmt.Sprintf("%s term %d %s", k.plan.Group, k.plan.Term, k.phase)
}
