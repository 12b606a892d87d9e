package cwgroup

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against majorities of fewer members than a group has.
func TestMembership(t *testing.T) {
	start := time.Unix(1000, 0)
	ids := func(s ...MemberID) []MemberID { return s }
	begun := Membership{}.WithListed(ids("a"), start)
	three := begun.WithListed(ids("a", "b", "c"), start.Add(time.Second))
	start = start.Add(GrownAfter)
	for _, tc := range []struct {
		name   string
		r      Membership
		size   int
		absent []MemberID
	}{
		{"three are listed", three, 3, nil},
		{"they are listed one after the other, and go", begun.WithListed(ids("a", "b"), start.Add(2*time.Second-GrownAfter)).WithGone("b", false), 2, ids("b")},
		{"one is gone", three.WithGone("c", false), 3, ids("c")},
		{"two are gone", three.WithGone("c", false).WithGone("b", false), 3, ids("c", "b")},
		{"it is back", three.WithGone("c", false).WithListed(ids("a", "b", "c"), start), 3, nil},
		{"a new one takes its place", three.WithGone("c", false).WithListed(ids("a", "b", "d"), start), 3, nil},
		{"of two, the one that went first", three.WithGone("c", false).WithGone("b", false).WithListed(ids("a", "d"), start), 3, ids("b")},
		{"a new one comes after its entry lapsed", three.WithListed(ids("a", "b"), start.Add(2*time.Second-GrownAfter)).WithListed(ids("a", "b", "d"), start.Add(3*time.Second-GrownAfter)).WithGone("c", false), 3, nil},
		{"a new one comes before it is gone", three.WithListed(ids("a", "b", "c", "d"), start).WithGone("c", false), 3, nil},
		{"both are listed", three.WithListed(ids("a", "b", "c", "d"), start), 4, nil},
		{"it had said that it leaves", three.WithListed(ids("a", "b"), start).WithGone("c", true), 2, nil},
		{"it leaves for a new one", three.WithListed(ids("a", "b", "d"), start).WithGone("c", true), 3, nil},
		{"the group grows", three.WithListed(ids("a", "b", "c", "d", "e"), start).WithListed(ids("a", "b", "c", "d", "e"), start.Add(GrownAfter)).WithGone("e", false), 5, ids("e")},
		{"an instance starts and finds a new one beside three that it knows of", Membership{}.WithAtLeast(3).WithListed(ids("a", "b", "c", "d"), start).WithGone("c", false), 3, nil},
		{"it is not known whether all are listed", Membership{}.WithUnknownSize(start.Add(time.Second)).WithListed(ids("a", "b"), start), 5, nil},
		{"until it is taken for all", Membership{}.WithUnknownSize(start.Add(time.Second)).WithListed(ids("a", "b"), start).WithListed(ids("a", "b"), start.Add(time.Second)), 2, nil},
		{"or is known", Membership{}.WithUnknownSize(start.Add(time.Second)).WithListed(ids("a", "b"), start).WithAtLeast(3), 3, nil},
		{"an instance starts and finds one", Membership{}.WithListed(ids("a"), start).WithAtLeast(3), 3, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, tc.r.Size(), qt.Equals, tc.size)
			qt.Assert(t, append([]MemberID(nil), tc.r.Absent()...), qt.DeepEquals, tc.absent)
		})
	}
}
