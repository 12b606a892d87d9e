package cwfailover

import (
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// fence orders the members to adopt the term. A primary that is to leave goes
// first: what it still takes while the others are fenced already would make it
// the only one that has everything, and it would be promoted once more.
func (k *Keeper) fence() []Order {
	k.phase = Fencing
	orders := make([]Order, 0, len(k.plan.Members))
	for _, m := range k.plan.Members {
		if m == k.plan.Avoid {
			continue
		}
		orders = append(orders, k.order(Adopt, m))
	}
	if !slices.Contains(k.plan.Members, k.plan.Avoid) {
		return k.guarded(orders)
	}
	k.later = orders
	return k.guarded([]Order{k.order(Adopt, k.plan.Avoid)})
}

func (k *Keeper) adopted(ev Event, now time.Time) []Order {
	if ev.Status.Adopted > k.plan.Term {
		k.abandon(ReasonHigherTerm)
		return nil
	}
	if k.phase != Fencing || ev.Member == k.plan.Exclude {
		return nil
	}
	if ev.Failed || ev.Status.Adopted != k.plan.Term || ev.Status.Claim != k.plan.Claim {
		k.refused[ev.Member] = true
	} else {
		k.fenced[ev.Member] = ev.Status
		k.replaced = max(k.replaced, ev.Status.Before)
	}
	majority := k.majority()
	if len(k.refused) > k.counted()-majority {
		k.abandon(ReasonMajority)
		return nil
	}
	if len(k.fenced) >= majority && k.majorityAt.IsZero() {
		k.majorityAt = now
	}
	if ev.Member == k.plan.Avoid && len(k.later) > 0 {
		orders := k.later
		k.later = nil
		return k.guarded(orders)
	}
	if k.fenceOver(now) {
		return k.promote()
	}
	return nil
}

// Forget records that a member has started again: its fence is gone with all else.
//
// The failure: a majority is counted with a member that has started again since
// it was fenced. It may lack what it reported, and follow the old primary. A
// promotion that has not been ordered yet is given up; the next claim fences
// anew.
func (k *Keeper) Forget(m cwgroup.MemberID) {
	if _, fenced := k.fenced[m]; !fenced || k.Ended() {
		return
	}
	switch {
	case k.phase == Fencing:
		delete(k.fenced, m)
		k.refused[m] = true
		majority := k.majority()
		if len(k.fenced) < majority {
			k.majorityAt = time.Time{}
		}
		if len(k.refused) > k.counted()-majority {
			k.abandon(ReasonRestarted)
		}
	case k.phase == Promoting && len(k.waiting) > 0:
		k.abandon(ReasonRestarted)
	}
}

// size returns how many members the group has, listed or not.
func (k *Keeper) size() int { return max(k.plan.Size, len(k.plan.Members)) }

func (k *Keeper) majority() int { return cwgroup.Majority(k.size()) }

// counted returns how many members count towards the majority. The majority
// itself is always that of the whole group.
func (k *Keeper) counted() int {
	n := len(k.plan.Members)
	if k.plan.Exclude != "" {
		n--
	}
	return n
}

func (k *Keeper) fenceOver(now time.Time) bool {
	if k.majorityAt.IsZero() {
		return false
	}
	all := len(k.fenced)+len(k.refused) == k.counted()
	return all || now.Sub(k.majorityAt) >= FencePatience
}

// promote chooses the most advanced of the fenced majority. Most advanced
// means the term of the last record first, then the position: a member that
// adopted terms while it was cut off has adopted more but has less.
func (k *Keeper) promote() []Order {
	k.phase = Promoting
	var best cwgroup.Status
	for _, m := range k.plan.Members {
		s, ok := k.fenced[m]
		if !ok {
			continue
		}
		if best.Member == "" || k.better(s, best) {
			best = s
		}
	}
	k.primary = best.Member
	return k.announce([]Order{k.order(Promote, k.primary)})
}

// othersFenced reports whether every member but the leaving one was fenced. Then
// one of them has whatever was acknowledged, since the leaving one alone cannot
// acknowledge anything, and it need not be promoted for what only it has.
func (k *Keeper) othersFenced() bool {
	n := len(k.fenced)
	if _, ok := k.fenced[k.plan.Avoid]; ok {
		n--
	}
	return n == k.size()-1
}

func (k *Keeper) better(a, b cwgroup.Status) bool {
	if k.othersFenced() && (a.Member == k.plan.Avoid) != (b.Member == k.plan.Avoid) {
		return b.Member == k.plan.Avoid
	}
	if c := a.Last.Compare(b.Last); c != 0 {
		return c > 0
	}
	if (a.Member == k.plan.Avoid) != (b.Member == k.plan.Avoid) {
		return b.Member == k.plan.Avoid
	}
	return a.Member == k.plan.Prefer
}
