package cwgroup

import (
	"slices"
	"time"
)

// Times of a membership.
const (
	// GrownAfter is how long more members than before must be listed until the group
	// has grown: longer than one that is lost, and replaced by a new one, stays listed.
	GrownAfter = 20 * time.Second
	// FormedWithin is how long after the first list each member that comes counts at
	// once where nothing was known of a group: its members start together and are
	// listed one after the other.
	FormedWithin = 5 * time.Second
)

// Membership is how many members a group has, whether or not the platform lists them at
// the moment. It is immutable. The zero Membership is of a group that was never listed.
//
// The failure: the entry of a member that lives lapses, and those that are left are
// taken for the group. Two of three tell where the logs stand, or promote, and what
// the third acknowledged with one of them is missed or lost. A member that is gone
// therefore keeps its place until another one takes it, or until it had said itself
// that it leaves.
type Membership struct {
	// size is how many members the group has, or had before it began to grow.
	size int
	// listed are the members whose entries are listed and that stay, in order.
	listed []MemberID
	// began is when the first of them were listed, if nothing was known of the group
	// then; else it is zero.
	began time.Time
	// unknownUntil is until when it is not known how many there are; zero if it is.
	unknownUntil time.Time
	// above is since when more than size are listed; zero if they are not.
	above time.Time
	// absent are the members that are gone and did not say that they leave, the
	// latest last.
	absent []MemberID
}

// WithListed returns the membership when these members' entries are listed and they stay.
// One whose entry has lapsed is not among them, so that one that comes then takes its
// place.
func (m Membership) WithListed(ids []MemberID, now time.Time) Membership {
	m.listed = slices.Clone(ids)
	slices.Sort(m.listed)
	m.absent = slices.DeleteFunc(slices.Clone(m.absent), func(id MemberID) bool { return slices.Contains(ids, id) })
	if m.size == 0 {
		m.began = now
	}
	if !now.Before(m.unknownUntil) {
		m.unknownUntil = time.Time{}
	}
	switch n := len(ids); {
	case !m.began.IsZero() && now.Sub(m.began) < FormedWithin:
		m.size = max(m.size, n)
	case n <= m.size:
		m.above = time.Time{}
	case m.above.IsZero():
		m.above = now
	case now.Sub(m.above) >= GrownAfter:
		m.size, m.above = n, time.Time{}
	}
	m.absent = m.Absent()
	return m
}

// WithGone returns the membership when a member is gone; announced is true if it had said
// that it leaves.
func (m Membership) WithGone(id MemberID, announced bool) Membership {
	m.listed = slices.DeleteFunc(slices.Clone(m.listed), func(o MemberID) bool { return o == id })
	if !announced {
		m.absent = append(slices.Clone(m.absent), id)
		return m
	}
	if len(m.listed) < m.size {
		m.size--
	}
	return m
}

// WithUnknownSize returns the membership of a group of which some members may not be
// listed, until a time or until it is known how many there are. Those that are listed
// are no majority meanwhile.
func (m Membership) WithUnknownSize(until time.Time) Membership {
	m.unknownUntil = until
	return m
}

// WithAtLeast returns the membership of a group that is known to have n members.
func (m Membership) WithAtLeast(n int) Membership {
	m.size = max(m.size, n)
	if n > 0 {
		m.unknownUntil = time.Time{}
	}
	return m
}

// Size returns how many members count.
func (m Membership) Size() int { return max(m.Settled(), len(m.listed)) }

// Settled returns how many members the group has without those that it may be about
// to exchange.
func (m Membership) Settled() int {
	if m.unknownUntil.IsZero() {
		return m.size
	}
	return 2*max(m.size, len(m.listed)) + 1
}

// Pending reports whether time alone may change how many members count, without news of
// those that are listed.
func (m Membership) Pending() bool { return !m.unknownUntil.IsZero() || !m.above.IsZero() }

// Known reports whether it is known how many members the group has.
func (m Membership) Known() bool { return m.unknownUntil.IsZero() }

// Absent returns the members that keep a place though they are not listed.
func (m Membership) Absent() []MemberID {
	n := min(len(m.absent), max(0, m.size-len(m.listed)))
	return m.absent[len(m.absent)-n:]
}
