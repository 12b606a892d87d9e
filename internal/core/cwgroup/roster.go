package cwgroup

import (
	"slices"
	"time"
)

// GrownAfter is how long more members than before must be listed until the group has
// grown: longer than one that is lost, and replaced by a new one, stays listed. Before
// that, from the first list on, each that comes counts at once, since a whole group is
// listed one after the other.
const GrownAfter = 20 * time.Second

// Roster is how many members a group has, whether or not the platform lists them at
// the moment. It is immutable. The zero Roster is of a group that was never listed.
//
// The failure: the entry of a member that lives lapses, and those that are left are
// taken for the group. Two of three tell where the logs stand, or promote, and what
// the third acknowledged with one of them is missed or lost. A member that is gone
// therefore keeps its place until another one takes it, or until it had said itself
// that it leaves.
type Roster struct {
	// size is how many members the group has, or had before it began to grow.
	size int
	// listed are the members that are listed and stay, in order.
	listed []MemberID
	// began is when the first of them were listed.
	began time.Time
	// above is since when more than size are listed; zero if they are not.
	above time.Time
	// absent are the members that are gone and did not say that they leave, the
	// latest last.
	absent []MemberID
}

// WithListed returns the roster when these members are listed and stay.
func (r Roster) WithListed(ids []MemberID, now time.Time) Roster {
	r.listed = slices.Clone(ids)
	slices.Sort(r.listed)
	r.absent = slices.DeleteFunc(slices.Clone(r.absent), func(id MemberID) bool { return slices.Contains(ids, id) })
	if r.began.IsZero() {
		r.began = now
	}
	switch n := len(ids); {
	case now.Sub(r.began) < GrownAfter:
		r.size = max(r.size, n)
	case n <= r.size:
		r.above = time.Time{}
	case r.above.IsZero():
		r.above = now
	case now.Sub(r.above) >= GrownAfter:
		r.size, r.above = n, time.Time{}
	}
	return r
}

// WithGone returns the roster when a member is gone; announced is true if it had said
// that it leaves.
func (r Roster) WithGone(id MemberID, announced bool) Roster {
	r.listed = slices.DeleteFunc(slices.Clone(r.listed), func(o MemberID) bool { return o == id })
	if !announced {
		r.absent = append(slices.Clone(r.absent), id)
		return r
	}
	if len(r.listed) < r.size {
		r.size--
	}
	return r
}

// WithAtLeast returns the roster of a group that is known to have n members.
func (r Roster) WithAtLeast(n int) Roster {
	r.size = max(r.size, n)
	return r
}

// Size returns how many members count.
func (r Roster) Size() int { return max(r.size, len(r.listed)) }

// Settled returns how many members the group has without those that it may be about
// to exchange.
func (r Roster) Settled() int { return r.size }

// Absent returns the members that keep a place though they are not listed.
func (r Roster) Absent() []MemberID {
	n := min(len(r.absent), max(0, r.size-len(r.listed)))
	return r.absent[len(r.absent)-n:]
}
