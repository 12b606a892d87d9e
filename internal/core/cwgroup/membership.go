package cwgroup

import (
	"slices"
	"time"
)

// Timing of membership changes.
const (
	// GrowthDelay is how long more members than before must be listed before the
	// group counts as larger. It is longer than a failed member stays listed, so
	// that its replacement does not count as growth.
	GrowthDelay = 20 * time.Second
	// FormationPeriod is the period after the first list during which every new
	// member counts immediately, for a group that nothing was known of before. Its
	// members start together and are listed one after the other.
	FormationPeriod = 5 * time.Second
)

// Membership tracks how many members a group has, including members that the
// platform does not list at the moment. It is immutable. The zero Membership is
// that of a group that was never listed.
//
// It prevents majorities of too few members: the platform's entry of a running
// member expires, and the members still listed are taken for the whole group. Two
// of three members would then confirm the end of the log or promote a member, and
// records that the third acknowledged together with one of them would be missed or
// lost. A member that is gone therefore keeps its place until another member takes
// it, unless it had announced that it leaves.
type Membership struct {
	// stableSize is the number of members of the group; while the group grows, the
	// number before.
	stableSize int
	// listed are the members that are listed and not leaving, sorted.
	listed []MemberID
	// leaving is the number of listed members that have announced that they leave, and lapsed
	// that of those which stay although their entries have expired.
	leaving, lapsed int
	// formingSince is when the first members were listed, if nothing was known of
	// the group then; otherwise it is zero.
	formingSince time.Time
	// sizeUnknownUntil is the time until which the number of members is not known;
	// zero if it is known.
	sizeUnknownUntil time.Time
	// growingSince is since when more than stableSize members are listed; zero if
	// they are not.
	growingSince time.Time
	// absent are the members that are gone without having announced it, the most
	// recent last.
	absent []MemberID
}

// WithListed returns the membership after the platform listed exactly these members
// as not leaving. A member whose entry has expired is not among them, so a new
// member takes its place.
func (m Membership) WithListed(ids []MemberID, now time.Time) Membership {
	m.listed = slices.Clone(ids)
	slices.Sort(m.listed)
	m.absent = slices.DeleteFunc(slices.Clone(m.absent), func(id MemberID) bool { return slices.Contains(ids, id) })
	if m.stableSize == 0 {
		m.formingSince = now
	}
	if !now.Before(m.sizeUnknownUntil) {
		m.sizeUnknownUntil = time.Time{}
	}
	switch n := len(ids); {
	case !m.formingSince.IsZero() && now.Sub(m.formingSince) < FormationPeriod:
		m.stableSize = max(m.stableSize, n)
	case n <= m.stableSize:
		m.growingSince = time.Time{}
	case m.growingSince.IsZero():
		m.growingSince = now
	case now.Sub(m.growingSince) >= GrowthDelay:
		m.stableSize, m.growingSince = n, time.Time{}
	}
	m.absent = m.Absent()
	return m
}

// WithLeaving returns the membership after some of the listed members have announced that they
// leave, and the entries of others have lapsed. They are not among those passed to WithListed.
func (m Membership) WithLeaving(leaving, lapsed int) Membership {
	m.leaving, m.lapsed = leaving, lapsed
	return m
}

// WithRemoved returns the membership after a member is gone; announced is true if it
// had announced that it leaves.
func (m Membership) WithRemoved(id MemberID, announced bool) Membership {
	m.listed = slices.DeleteFunc(slices.Clone(m.listed), func(o MemberID) bool { return o == id })
	if !announced {
		m.absent = append(slices.Clone(m.absent), id)
		return m
	}
	m.leaving = max(0, m.leaving-1)
	if len(m.listed) < m.stableSize {
		m.stableSize--
	}
	return m
}

// WithUnknownSize returns the membership of a group of which some members may not
// be listed, until the given time or until its size is known. Meanwhile the listed
// members cannot form a majority.
func (m Membership) WithUnknownSize(until time.Time) Membership {
	m.sizeUnknownUntil = until
	return m
}

// WithMinimumSize returns the membership of a group that is known to have at least n
// members.
func (m Membership) WithMinimumSize(n int) Membership {
	m.stableSize = max(m.stableSize, n)
	if n > 0 {
		m.sizeUnknownUntil = time.Time{}
	}
	return m
}

// Size returns the number of members of which a majority is needed.
func (m Membership) Size() int { return max(m.StableSize(), len(m.listed)) }

// StableSize returns the number of members without those that may be part of an
// exchange in progress, where both the old and the new member are listed. While the
// size is unknown, it is so large that the listed members are no majority.
//
// A new member that is listed while the group forms counts as a further one, also if it
// replaces one that leaves. The size must not include that one: if all instances
// restart before it ends, the recorded size would be too large for as long as no member
// is added. It is at least a majority of the size before, since the places of members
// that leave may be taken later.
func (m Membership) StableSize() int {
	if !m.sizeUnknownUntil.IsZero() {
		return 2*max(m.stableSize, len(m.listed)) + 1
	}
	if m.leaving == 0 {
		return m.stableSize
	}
	staying := len(m.listed) + m.lapsed + len(m.Absent())
	return min(m.stableSize, max(staying, m.stableSize-m.leaving, Majority(m.stableSize)))
}

// ChangesWithTime reports whether the size may change as time passes, without any
// change to the listed members.
func (m Membership) ChangesWithTime() bool {
	return !m.sizeUnknownUntil.IsZero() || !m.growingSince.IsZero()
}

// SizeKnown reports whether the number of members is known.
func (m Membership) SizeKnown() bool { return m.sizeUnknownUntil.IsZero() }

// Absent returns the members that count although they are not listed.
func (m Membership) Absent() []MemberID {
	n := min(len(m.absent), max(0, m.stableSize-len(m.listed)))
	return m.absent[len(m.absent)-n:]
}
