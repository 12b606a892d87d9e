package cwgroup

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against majorities of fewer members than a group has.
func TestMembership(t *testing.T) {
	start := time.Unix(1000, 0)
	memberIDs := func(s ...MemberID) []MemberID { return s }
	firstListed := Membership{}.WithListed(memberIDs("a"), start)
	three := firstListed.WithListed(memberIDs("a", "b", "c"), start.Add(time.Second))
	start = start.Add(GrowthDelay)
	for _, tc := range []struct {
		name   string
		r      Membership
		size   int
		absent []MemberID
	}{
		{"three are listed", three, 3, nil},
		{"listed one after the other while the group forms, then one is gone", firstListed.WithListed(memberIDs("a", "b"), start.Add(2*time.Second-GrowthDelay)).WithRemoved("b", false), 2, memberIDs("b")},
		{"one is gone", three.WithRemoved("c", false), 3, memberIDs("c")},
		{"two are gone", three.WithRemoved("c", false).WithRemoved("b", false), 3, memberIDs("c", "b")},
		{"a member that was gone is listed again", three.WithRemoved("c", false).WithListed(memberIDs("a", "b", "c"), start), 3, nil},
		{"a new member takes the place of one that is gone", three.WithRemoved("c", false).WithListed(memberIDs("a", "b", "d"), start), 3, nil},
		{"a new member takes the place of the one that was gone first", three.WithRemoved("c", false).WithRemoved("b", false).WithListed(memberIDs("a", "d"), start), 3, memberIDs("b")},
		{"a new member is listed after the entry of an old one expired", three.WithListed(memberIDs("a", "b"), start.Add(2*time.Second-GrowthDelay)).WithListed(memberIDs("a", "b", "d"), start.Add(3*time.Second-GrowthDelay)).WithRemoved("c", false), 3, nil},
		{"a new member is listed before the old one is gone", three.WithListed(memberIDs("a", "b", "c", "d"), start).WithRemoved("c", false), 3, nil},
		{"the old and the new member are listed", three.WithListed(memberIDs("a", "b", "c", "d"), start), 4, nil},
		{"a member that announced its leaving is gone", three.WithListed(memberIDs("a", "b"), start).WithRemoved("c", true), 2, nil},
		{"a new member is listed, then the one that announced its leaving is gone", three.WithListed(memberIDs("a", "b", "d"), start).WithRemoved("c", true), 3, nil},
		{"a member is replaced while the group forms, and leaves", firstListed.WithListed(memberIDs("a", "b", "c", "d"), start.Add(2*time.Second-GrowthDelay)).WithLeaving(1, 0).WithListed(memberIDs("b", "c", "d"), start), 3, nil},
		{"that member is gone", firstListed.WithListed(memberIDs("a", "b", "c", "d"), start.Add(2*time.Second-GrowthDelay)).WithLeaving(1, 0).WithListed(memberIDs("b", "c", "d"), start).WithRemoved("a", true), 3, nil},
		{"two members leave before their replacements are listed", three.WithLeaving(2, 0).WithListed(memberIDs("c"), start), 2, nil},
		{"two members leave while the entry of a replacement has lapsed", three.WithLeaving(2, 1).WithListed(memberIDs("c", "d"), start), 3, nil},
		{"a member leaves while another one is gone", three.WithRemoved("c", false).WithLeaving(1, 0).WithListed(memberIDs("b", "d"), start), 3, memberIDs("c")},
		{"the group grows", three.WithListed(memberIDs("a", "b", "c", "d", "e"), start).WithListed(memberIDs("a", "b", "c", "d", "e"), start.Add(GrowthDelay)).WithRemoved("e", false), 5, memberIDs("e")},
		{"an instance starts and finds a new member besides three known ones", Membership{}.WithMinimumSize(3).WithListed(memberIDs("a", "b", "c", "d"), start).WithRemoved("c", false), 3, nil},
		{"the size is unknown", Membership{}.WithUnknownSize(start.Add(time.Second)).WithListed(memberIDs("a", "b"), start), 5, nil},
		{"the size is unknown until the time is over", Membership{}.WithUnknownSize(start.Add(time.Second)).WithListed(memberIDs("a", "b"), start).WithListed(memberIDs("a", "b"), start.Add(time.Second)), 2, nil},
		{"the size is unknown until it is set", Membership{}.WithUnknownSize(start.Add(time.Second)).WithListed(memberIDs("a", "b"), start).WithMinimumSize(3), 3, nil},
		{"an instance starts and finds one of three members listed", Membership{}.WithListed(memberIDs("a"), start).WithMinimumSize(3), 3, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, tc.r.Size(), qt.Equals, tc.size)
			qt.Assert(t, append([]MemberID(nil), tc.r.Absent()...), qt.DeepEquals, tc.absent)
		})
	}
}
