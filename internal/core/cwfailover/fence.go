package cwfailover

import (
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// startFencing returns the commands that make the members adopt the term. A primary
// that is leaving is fenced first: if it accepted records while the others were
// already fenced, it would be the only member with the complete log and would be
// promoted again.
func (k *Attempt) startFencing() []Command {
	k.phase = PhaseFencing
	commands := make([]Command, 0, len(k.plan.Members))
	for _, m := range k.plan.Members {
		if m == k.plan.LeavingPrimary {
			continue
		}
		commands = append(commands, k.newCommand(AdoptTerm, m))
	}
	if !slices.Contains(k.plan.Members, k.plan.LeavingPrimary) {
		return k.afterReadBack(commands)
	}
	k.deferredAdopts = commands
	return k.afterReadBack([]Command{k.newCommand(AdoptTerm, k.plan.LeavingPrimary)})
}

func (k *Attempt) handleAdopt(resp Response, now time.Time) []Command {
	if resp.Status.AdoptedTerm > k.plan.Term {
		k.abandon(ReasonHigherTerm)
		return nil
	}
	if k.phase != PhaseFencing || resp.Member == k.plan.ExcludedPrimary {
		return nil
	}
	if resp.Failed || resp.Status.AdoptedTerm != k.plan.Term || resp.Status.Claim != k.plan.Claim {
		k.fenceFailed[resp.Member] = true
	} else {
		k.fenced[resp.Member] = resp.Status
		k.highestPriorTerm = max(k.highestPriorTerm, resp.Status.PriorTerm)
	}
	if again := k.fenceAgain(); len(again) > 0 {
		return k.afterReadBack(again)
	}
	if !k.majorityPossible() {
		k.abandon(ReasonNoMajority)
		return nil
	}
	if k.quorums.Fences(k.isFenced) && k.majorityFencedAt.IsZero() {
		k.majorityFencedAt = now
	}
	if resp.Member == k.plan.LeavingPrimary && len(k.deferredAdopts) > 0 {
		commands := k.deferredAdopts
		k.deferredAdopts = nil
		return k.afterReadBack(commands)
	}
	if k.fencingComplete(now) {
		return k.startPromotion()
	}
	return nil
}

// fenceAgain returns the commands that fence those members once more that are fenced for a
// lower term than another one, and no longer counts them.
//
// It prevents counting a member that a primary of the term in between still reaches: one that
// was promoted out of sight of this proxy, for which some members refuse a fence that is not
// above its term. The other members would go on to acknowledge its records.
func (k *Attempt) fenceAgain() []Command {
	var newest cwgroup.Term
	for _, s := range k.fenced {
		newest = max(newest, s.FencedTerm)
	}
	var commands []Command
	for _, m := range k.plan.Members {
		if s, ok := k.fenced[m]; ok && s.FencedTerm < newest {
			delete(k.fenced, m)
			commands = append(commands, k.newCommand(AdoptTerm, m))
		}
	}
	if !k.quorums.Fences(k.isFenced) {
		k.majorityFencedAt = time.Time{}
	}
	return commands
}

// SetQuorums sets the quorums that are in force now, until a member is selected for promotion.
//
// It prevents an attempt from failing, after it has demoted a leaving primary, because another
// member ends meanwhile that the quorums of its beginning still want.
func (k *Attempt) SetQuorums(q cwgroup.Quorums) {
	if k.phase <= PhaseFencing {
		k.quorums = q
	}
}

// MemberRestarted records that a member has restarted and lost its fence.
//
// It prevents counting a majority that includes a member which has restarted since
// it was fenced: that member may lack records it reported and may follow the old
// primary. An attempt whose promotion has not been sent yet is abandoned; the next
// claim fences the members again.
func (k *Attempt) MemberRestarted(m cwgroup.MemberID) {
	if _, fenced := k.fenced[m]; !fenced || k.Ended() {
		return
	}
	switch {
	case k.phase == PhaseFencing:
		delete(k.fenced, m)
		k.fenceFailed[m] = true
		if !k.quorums.Fences(k.isFenced) {
			k.majorityFencedAt = time.Time{}
		}
		if !k.majorityPossible() {
			k.abandon(ReasonMemberRestarted)
		}
	case k.phase == PhasePromoting && len(k.heldCommands) > 0:
		k.abandon(ReasonMemberRestarted)
	}
}

func (k *Attempt) isFenced(id cwgroup.MemberID) bool {
	_, ok := k.fenced[id]
	return ok
}

// majorityPossible reports whether enough members can still be fenced.
func (k *Attempt) majorityPossible() bool {
	return k.quorums.Fences(func(id cwgroup.MemberID) bool {
		return slices.Contains(k.plan.Members, id) && !k.fenceFailed[id] && id != k.plan.ExcludedPrimary
	})
}

// countedMembers returns how many members may contribute to the majority.
func (k *Attempt) countedMembers() int {
	n := len(k.plan.Members)
	if k.plan.ExcludedPrimary != "" {
		n--
	}
	return n
}

func (k *Attempt) fencingComplete(now time.Time) bool {
	if k.majorityFencedAt.IsZero() {
		return false
	}
	all := len(k.fenced)+len(k.fenceFailed) == k.countedMembers()
	return all || now.Sub(k.majorityFencedAt) >= FenceGracePeriod
}

// startPromotion selects the most advanced of the candidates.
//
// Members that had the records can have ended unseen, so that those fenced are all that is
// left and still lack records that this proxy has acknowledged. Promoting one would drop these
// records for good, so the group stays without a primary.
func (k *Attempt) startPromotion() []Command {
	k.phase = PhasePromoting
	candidate := k.candidates()
	var best cwgroup.Status
	for _, m := range k.plan.Members {
		if s, ok := k.fenced[m]; ok && candidate(m) && (best.Member == "" || k.isBetterCandidate(s, best)) {
			best = s
		}
	}
	if !best.Durable.AtLeast(k.plan.Acknowledged) {
		k.abandon(ReasonRecordsMissing)
		return nil
	}
	k.newPrimary = best.Member
	return k.recordReplacedTerm([]Command{k.newCommand(Promote, k.newPrimary)})
}

// candidates returns the fenced members that may be promoted. Members that are leaving are
// not among them if the others suffice by themselves: then one of those has every
// acknowledged record, also if the log of one that is leaving is longer.
func (k *Attempt) candidates() cwgroup.MemberSet {
	staying := func(id cwgroup.MemberID) bool { return k.isFenced(id) && !k.isLeaving(id) }
	if k.quorums.Fences(staying) {
		return staying
	}
	return k.isFenced
}

func (k *Attempt) isLeaving(id cwgroup.MemberID) bool {
	return id == k.plan.LeavingPrimary || slices.Contains(k.plan.Leaving, id)
}

// isBetterCandidate reports whether a should be promoted rather than b. It compares the
// term of the last record first, then its index: a member that adopted later terms while
// it was partitioned may still have fewer acknowledged records.
func (k *Attempt) isBetterCandidate(a, b cwgroup.Status) bool {
	if c := a.Durable.Compare(b.Durable); c != 0 {
		return c > 0
	}
	if k.isLeaving(a.Member) != k.isLeaving(b.Member) {
		return k.isLeaving(b.Member)
	}
	return a.Member == k.plan.Preferred
}
