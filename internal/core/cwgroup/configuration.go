package cwgroup

import (
	"fmt"
	"slices"
	"strings"
)

// MemberSet is a set of members, as a predicate.
type MemberSet func(MemberID) bool

// Without returns the set without one member.
func (s MemberSet) Without(id MemberID) MemberSet {
	return func(o MemberID) bool { return o != id && s(o) }
}

// SetOf returns the set of the given members.
func SetOf(ids ...MemberID) MemberSet {
	return func(id MemberID) bool { return slices.Contains(ids, id) }
}

// Configuration is the set of members of which a majority decides at a time. The zero
// Configuration has no members and decides nothing.
type Configuration struct {
	// Members are the listed members, sorted.
	Members []MemberID
	// MinSize is the number of members that the configuration is known to have, listed or
	// not.
	MinSize int
	// Ended is the number of members that have ended for good and are not in Members. It
	// is zero in the configuration in force.
	Ended int
	// Gone is the number of members that had ended before the records of an earlier
	// configuration were settled, so that nothing has been decided on their account since. It
	// is zero in the configuration in force.
	Gone int
	// Any, if it is not zero, tells that the configuration had that many of the members, and
	// that nobody here knows which.
	Any int
}

// Size returns the number of members, listed or not.
func (c Configuration) Size() int { return max(c.MinSize, len(c.Members)+c.Ended+c.Gone) }

// String describes the configuration for logs: its members and, where they are not zero, its
// size, the members that have ended, and how many of the members it had.
func (c Configuration) String() string {
	b := strings.Builder{}
	fmt.Fprint(&b, c.Members)
	for _, n := range []struct {
		name  string
		value int
	}{{"size", c.MinSize}, {"ended", c.Ended}, {"gone", c.Gone}, {"any", c.Any}} {
		if n.value > 0 {
			fmt.Fprintf(&b, " %s %d", n.name, n.value)
		}
	}
	return b.String()
}

// Listed reports whether the member is one of the listed ones.
func (c Configuration) Listed(id MemberID) bool { return slices.Contains(c.Members, id) }

// HasMajority reports whether the set has a majority of the members, or all of those that
// have not ended.
func (c Configuration) HasMajority(in MemberSet) bool {
	n, k := c.count(in), c.deciding()
	return n > 0 && (c.Size()-n <= k-Majority(k) || n+c.Ended >= c.Size())
}

// Intersects reports whether the set has a member in common with every majority of the
// configuration that may have decided something that is not settled, and that is not made up of
// members that have ended.
func (c Configuration) Intersects(in MemberSet) bool {
	n, able := c.count(in), c.Size()-c.Gone
	return able-n < Majority(c.deciding()) || n+c.Ended >= able
}

// mayHaveDecided reports whether enough members are left, or were when the records were settled,
// for a majority.
func (c Configuration) mayHaveDecided() bool { return c.Size()-c.Gone >= Majority(c.deciding()) }

// deciding returns the number of members of which a majority decided.
func (c Configuration) deciding() int {
	if c.Any > 0 {
		return c.Any
	}
	return c.Size()
}

// lacksOne reports whether the set has all members, or all but one of several.
func (c Configuration) lacksOne(in MemberSet) bool {
	return c.Size() > 1 && c.count(in) >= c.Size()-1
}

// canDecide reports whether the listed members can form a majority.
func (c Configuration) canDecide() bool { return c.HasMajority(c.Listed) }

func (c Configuration) count(in MemberSet) int {
	n := 0
	for _, id := range c.Members {
		if in(id) {
			n++
		}
	}
	return n
}

// Equal reports whether two configurations have the same members and numbers.
func (c Configuration) Equal(o Configuration) bool {
	return c.Size() == o.Size() && c.Ended == o.Ended && c.Gone == o.Gone && c.Any == o.Any && slices.Equal(c.Members, o.Members)
}

// Quorums tells which sets of members suffice for what, while the members of the group
// change and proxies learn of that at different times.
//
// The invariant: for every two proxies and every two configurations that they may have in
// force at once, what one of them needs to acknowledge a record or to confirm the primary
// and what the other one needs to fence have a member in common; and every set that fences
// also has a member in common with each set on whose account a record was acknowledged
// before, unless a majority of the configuration in force is known to have that record.
type Quorums struct {
	// Current is the configuration in force: all members that are not leaving.
	Current Configuration
	// Recent are the earlier configurations that other proxies may still have in force.
	Recent []Configuration
	// Unsettled are the earlier configurations on whose account records may have been
	// acknowledged that a majority of Current is not known to have. They include Recent.
	Unsettled []Configuration
}

// String describes the quorums for logs.
func (q Quorums) String() string {
	return fmt.Sprintf("current %v recent %v unsettled %v", q.Current, q.Recent, q.Unsettled)
}

// Decides reports whether the members of the set may acknowledge a record or confirm the
// primary: they are a majority of every configuration that any proxy may have in force.
func (q Quorums) Decides(in MemberSet) bool {
	return q.Current.HasMajority(in) && !slices.ContainsFunc(q.Recent, func(c Configuration) bool { return !c.HasMajority(in) })
}

// Fences reports whether fencing the members of the set allows one of them to be promoted:
// no others can acknowledge anything from then on, and one of them has every acknowledged
// record.
func (q Quorums) Fences(in MemberSet) bool {
	return q.Current.HasMajority(in) && q.intersectsUnsettled(in)
}

// Covers reports whether the most advanced log of the set has every acknowledged record. Of
// the configuration in force, one member may be missing.
func (q Quorums) Covers(in MemberSet) bool {
	return q.Current.lacksOne(in) && q.intersectsUnsettled(in)
}

func (q Quorums) intersectsUnsettled(in MemberSet) bool {
	return !slices.ContainsFunc(q.Unsettled, func(c Configuration) bool { return !c.Intersects(in) })
}
