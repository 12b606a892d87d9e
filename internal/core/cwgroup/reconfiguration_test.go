package cwgroup

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// listedMembers is the platform's list of a group at a time.
type listedMembers struct {
	staying, leaving []MemberID
	// newest is the member that was listed last.
	newest MemberID
}

var allIDs = []MemberID{"a", "b", "c", "d", "e", "f", "g"}

// drawLists draws successive lists of a group of three, the first one without changes. Each
// change adds a member, makes one leave, or removes one that was leaving.
func drawLists(t *rapid.T) []listedMembers {
	l := listedMembers{staying: allIDs[:3], newest: "c"}
	next := 3
	out := []listedMembers{l}
	for range rapid.IntRange(1, 10).Draw(t, "changes") {
		switch rapid.IntRange(0, 2).Draw(t, "change") {
		case 0:
			if next < len(allIDs) {
				l.staying = append(append([]MemberID{}, l.staying...), allIDs[next])
				l.newest = allIDs[next]
				next++
			}
		case 1:
			if len(l.staying) > 1 {
				l.leaving = append(append([]MemberID{}, l.leaving...), l.staying[0])
				l.staying = l.staying[1:]
			}
		case 2:
			if len(l.leaving) > 0 {
				l.leaving = l.leaving[1:]
			}
		}
		out = append(out, l)
	}
	return out
}

// ended reports whether the member was listed before.
func (l listedMembers) ended(id MemberID) bool {
	return id <= l.newest && !slices.Contains(l.staying, id) && !slices.Contains(l.leaving, id)
}

// subset returns the members of "a" to "g" whose bit is set.
func subset(bits int) MemberSet {
	return func(id MemberID) bool { return bits&(1<<(id[0]-'a')) != 0 }
}

// assertIntersects checks that each set by which x decides and each that y fences have a
// member in common. Members that have ended do neither.
func assertIntersects(t *rapid.T, x, y Quorums, ended MemberSet) {
	var decides, fences []int
	for bits := range 1 << 7 {
		if slices.ContainsFunc(allIDs, func(id MemberID) bool { return subset(bits)(id) && ended(id) }) {
			continue
		}
		if x.Decides(subset(bits)) {
			decides = append(decides, bits)
		}
		if y.Fences(subset(bits)) {
			fences = append(fences, bits)
		}
	}
	for _, d := range decides {
		for _, f := range fences {
			if d&f == 0 {
				t.Fatalf("%07b decides by %v, %07b fences by %v", d, x, f, y)
			}
		}
	}
}

// Guards against a record that is acknowledged on account of members of which a change of
// primary by another proxy fences none, since the two learn of changes at different times.
func TestQuorumsOfAnyTwoProxiesIntersect(t *testing.T) {
	const step = 250 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		lists := drawLists(t)
		gap := rapid.IntRange(1, 20).Draw(t, "gap")
		lags := [2]int{rapid.IntRange(0, 8).Draw(t, "lag of x"), rapid.IntRange(0, 8).Draw(t, "lag of y")}
		var r [2]Reconfiguration
		for n := range gap*len(lists) + 24 {
			now := time.Unix(1000, 0).Add(time.Duration(n) * step)
			var q [2]Quorums
			for i, lag := range lags {
				l := lists[min(len(lists)-1, max(0, n-lag)/gap)]
				r[i] = r[i].WithMembers(l.staying, l.leaving, 3, now)
				q[i] = r[i].Quorums(now)
			}
			truth := lists[min(len(lists)-1, n/gap)]
			assertIntersects(t, q[0], q[1], truth.ended)
			assertIntersects(t, q[1], q[0], truth.ended)
		}
	})
}

// view returns a view in which each member has a log that ends at the index.
func view(logs map[MemberID]LogIndex) View {
	var ids []MemberID
	for id := range logs {
		ids = append(ids, id)
	}
	v := NewView("g", ids)
	for id, n := range logs {
		v = v.WithReport(Report{Status: Status{Member: id, AdoptedTerm: 1, Durable: LogPosition{1, n}}, At: time.Unix(1000, 0), Reachable: true})
	}
	return v
}

// Guards against a group that is served by too few members, or by none, while some of them
// leave and their replacements receive nothing.
func TestLeavingMembersCountUntilOthersHaveTheRecords(t *testing.T) {
	start := time.Unix(1000, 0)
	staying, leaving := []MemberID{"s", "n", "o"}, []MemberID{"p", "r"}
	before := Reconfiguration{}.WithMembers([]MemberID{"p", "r", "s"}, nil, 3, start).
		WithMembers([]MemberID{"p", "r", "s", "n", "o"}, nil, 3, start)
	changed := before.WithMembers(staying, leaving, 3, start.Add(time.Second))
	later := start.Add(time.Second + PropagationTime)
	ended := changed.WithMembers(staying, nil, 3, later)
	end := LogPosition{1, 9}
	for _, tc := range []struct {
		name            string
		r               Reconfiguration
		fenced          []MemberID
		decides, fences bool
	}{
		{"the members before the change alone", changed, []MemberID{"p", "r", "s"}, false, false},
		{"new members that may lack the records", changed, []MemberID{"s", "n", "o"}, true, false},
		{"a majority before and after", changed, []MemberID{"r", "s", "n"}, true, true},
		{"a majority after, once the leaving ones have ended", ended, []MemberID{"n", "o"}, true, false},
		{"all that remain", ended, []MemberID{"s", "n", "o"}, true, true},
		{"too few have the records", ended.WithSettled(view(map[MemberID]LogIndex{"s": 9, "n": 8, "o": 0}), end, later), []MemberID{"n", "o"}, true, false},
		{"a position from before the last one ended", ended.WithSettled(view(map[MemberID]LogIndex{"s": 9, "n": 9}), end, later.Add(-time.Second)), []MemberID{"n", "o"}, true, false},
		{"a majority has the records", ended.WithSettled(view(map[MemberID]LogIndex{"s": 9, "n": 9}), end, later), []MemberID{"n", "o"}, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := tc.r.Quorums(later)
			if len(q.Recent) == 0 && tc.decides != q.Decides(SetOf(tc.fenced...)) {
				t.Errorf("decides: %v", !tc.decides)
			}
			qt.Assert(t, q.Fences(SetOf(tc.fenced...)), qt.Equals, tc.fences, qt.Commentf(fmt.Sprint(q)))
		})
	}
}

// Guards against a group that cannot change its primary while a data centre is cut off in
// which a member and its replacement are, and against one that stops for good when members
// have ended before the others had their records.
func TestGroupDecidesWithoutWhatIsCutOff(t *testing.T) {
	start := time.Unix(1000, 0)
	r := Reconfiguration{}.WithMembers([]MemberID{"p", "a", "b"}, nil, 3, start).
		WithMembers([]MemberID{"p", "a", "b", "n"}, nil, 3, start).
		WithMembers([]MemberID{"a", "b", "n"}, []MemberID{"p"}, 3, start)
	q := r.Quorums(start)
	qt.Assert(t, q.Fences(SetOf("a", "b")), qt.IsTrue)
	qt.Assert(t, q.Decides(SetOf("p", "n")), qt.IsFalse)
	gone := r.WithMembers([]MemberID{"m", "n", "o"}, []MemberID{"a", "b"}, 3, start).WithMembers([]MemberID{"m", "n", "o"}, nil, 3, start)
	qt.Assert(t, gone.Quorums(start).Fences(SetOf("m", "n")), qt.IsTrue)
}

// Guards against a change of the counted members because entries lapse and return.
func TestLapsedEntriesChangeNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	r := Reconfiguration{}.WithMembers([]MemberID{"a", "b", "c"}, nil, 3, start)
	lapsed := r.WithMembers([]MemberID{"a"}, nil, 3, start)
	qt.Assert(t, lapsed.Quorums(start), qt.DeepEquals, r.Quorums(start))
	replaced := lapsed.WithMembers([]MemberID{"a", "c", "d"}, nil, 3, start)
	qt.Assert(t, replaced.Current().Members, qt.DeepEquals, []MemberID{"a", "c", "d"})
	qt.Assert(t, replaced.Quorums(start).Fences(SetOf("c", "d")), qt.IsFalse)
}

// Guards against records lost by a proxy that starts while members leave and come: it takes
// those that it finds for the members of before.
func TestStartInTheMiddleOfAChange(t *testing.T) {
	start := time.Unix(1000, 0)
	r := Reconfiguration{}.WithMembers([]MemberID{"p", "n", "o"}, []MemberID{"r", "s"}, 3, start)
	for _, tc := range []struct {
		name string
		set  []MemberID
		want bool
	}{
		{"all but two, which may have acknowledged by themselves", []MemberID{"n", "o", "r"}, false},
		{"all but one", []MemberID{"n", "o", "r", "s"}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, r.Quorums(start).Fences(SetOf(tc.set...)), qt.Equals, tc.want)
			qt.Assert(t, r.Quorums(start).Decides(SetOf(tc.set...)), qt.Equals, tc.want)
		})
	}
	t.Run("members that ended unseen do not count for good", func(t *testing.T) {
		later := r.WithMembers([]MemberID{"p", "n", "o"}, []MemberID{"r", "s"}, 3, start.Add(guessLifetime))
		qt.Assert(t, later.Quorums(start.Add(guessLifetime)).Fences(SetOf("n", "o")), qt.IsTrue)
	})
	t.Run("the size of the group is not known at first", func(t *testing.T) {
		q := Reconfiguration{}.WithMembers([]MemberID{"p"}, nil, 7, start).WithMembers([]MemberID{"p", "r", "s"}, nil, 3, start).Quorums(start)
		qt.Assert(t, q.Unsettled, qt.HasLen, 0)
	})
	t.Run("no more are listed than the group has", func(t *testing.T) {
		q := Reconfiguration{}.WithMembers([]MemberID{"p", "r", "s"}, nil, 3, start).Quorums(start)
		qt.Assert(t, q.Unsettled, qt.HasLen, 0)
		qt.Assert(t, q.Fences(SetOf("r", "s")), qt.IsTrue)
	})
}

// Guards against a group that can't replace a primary that is cut off, since members that ended
// long ago count as if one of them could still decide, while another one takes long to leave.
func TestEndedMembersAreSettledWhileAnotherOneLeaves(t *testing.T) {
	start := time.Unix(1000, 0)
	ended := start.Add(9 * time.Second)
	r := Reconfiguration{}.WithMembers([]MemberID{"a", "b", "c"}, nil, 3, start).
		WithMembers([]MemberID{"a", "b", "c", "d"}, nil, 3, start).
		WithMembers([]MemberID{"c", "d", "e"}, []MemberID{"a", "b"}, 3, start).
		WithMembers([]MemberID{"c", "d", "e"}, nil, 3, ended).
		WithMembers([]MemberID{"d", "e", "f"}, []MemberID{"c"}, 3, ended)
	has := view(map[MemberID]LogIndex{"c": 9, "d": 9, "e": 9, "f": 0})
	end := LogPosition{1, 9}
	lost := SetOf("c", "e", "f")
	qt.Assert(t, r.Quorums(ended).Fences(lost), qt.IsFalse)
	after, ok := r.SettleAfter()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, after, qt.Equals, ended)
	for _, tc := range []struct {
		name string
		r    Reconfiguration
		want bool
	}{
		{"a position from before they ended", r.WithSettled(has, end, ended.Add(-time.Second)), false},
		{"too few have the records", r.WithSettled(view(map[MemberID]LogIndex{"d": 9, "e": 8}), end, ended), false},
		{"a majority has the records", r.WithSettled(has, end, ended), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, tc.r.Quorums(ended).Fences(lost), qt.Equals, tc.want, qt.Commentf("%v", tc.r.Quorums(ended)))
		})
	}
	t.Run("a majority of those before may still decide", func(t *testing.T) {
		settled := r.WithSettled(has, end, ended)
		qt.Assert(t, settled.Quorums(ended).Fences(SetOf("f", "e")), qt.IsFalse)
	})
}
