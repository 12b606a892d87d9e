package cwfeed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("front-%d", i))
	}
	return out
}

// steps returns how many instances stand between self and the store, itself not
// counted.
func steps(t *testing.T, tree Tree, self string, all []string) int {
	t.Helper()
	for n := range len(all) {
		parent, ok := tree.Parent(self, all)
		if !ok {
			return n
		}
		self = parent
	}
	t.Fatalf("%s is in a circle", self)
	return 0
}

func TestTree(t *testing.T) {
	for _, tc := range []struct{ instances, roots, depth int }{
		{1, 1, 0}, {7, 7, 0}, {8, 2, 1}, {34, 2, 1}, {35, 2, 2}, {425, 2, 2},
	} {
		t.Run(fmt.Sprintf("%d instances", tc.instances), func(t *testing.T) {
			all := names(tc.instances)
			children := make(map[string]int)
			roots, depth := 0, 0
			for _, self := range all {
				parent, ok := Tree{}.Parent(self, all)
				if !ok {
					roots++
				}
				children[parent]++
				depth = max(depth, steps(t, Tree{}, self, all))
			}
			delete(children, "")
			qt.Assert(t, roots, qt.Equals, tc.roots)
			qt.Assert(t, depth, qt.Equals, tc.depth)
			for name, n := range children {
				qt.Assert(t, n <= DefaultFanout, qt.IsTrue, qt.Commentf("%s has %d", name, n))
			}
		})
	}
}

// A feeder loses power for good. Each instance below it finds that out by itself
// and leaves it out of its own list; if all of them turned to the store, the
// store would be asked by half of a data centre.
func TestLostRootIsReplacedByOne(t *testing.T) {
	all := names(32)
	var below []string
	lost := ""
	for _, self := range all {
		if parent, ok := (Tree{}).Parent(self, all); ok && (lost == "" || parent == lost) {
			lost, below = parent, append(below, self)
		}
	}
	rest := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == lost })
	roots := 0
	for _, self := range below {
		if _, ok := (Tree{}).Parent(self, rest); !ok {
			roots++
		}
	}
	qt.Assert(t, len(below) > 10, qt.IsTrue)
	qt.Assert(t, roots, qt.Equals, 1)
}

func TestConfirmed(t *testing.T) {
	sent := time.Unix(1000, 0)
	at := func(ms int) time.Time { return sent.Add(time.Duration(ms) * time.Millisecond) }
	const wait = time.Second
	for _, tc := range []struct {
		name      string
		confirmed time.Time
		want      time.Time
	}{
		{"news may have been there since the question", StoreAnswer{Sent: sent, Answered: at(900), Wait: wait, News: true}.Confirmed(), sent},
		{"nothing until the end of the wait", StoreAnswer{Sent: sent, Answered: at(1010), Wait: wait}.Confirmed(), at(1000)},
		{"an answer held up on its way", StoreAnswer{Sent: sent, Answered: at(9000), Wait: wait}.Confirmed(), at(1000)},
		{"a store that ends the wait early", StoreAnswer{Sent: sent, Answered: at(400), Wait: wait}.Confirmed(), sent},
		{"a feeder's age counts from its answer", FeederAnswer{Sent: sent, Held: at(700).Sub(sent), Age: at(200).Sub(sent)}.Confirmed(), at(500)},
		{"an old word stays old", FeederAnswer{Sent: sent, Age: time.Minute}.Confirmed(), sent.Add(-time.Minute)},
	} {
		t.Run(tc.name, func(t *testing.T) { qt.Assert(t, tc.confirmed, qt.Equals, tc.want) })
	}
}

// An instance that was told changes by several feeders, each of which knows
// another part of the past, must end up with the rows there are: one that is
// removed and comes back to life would be a target that left.
func TestHistoryTellsEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store History[Entry[int]]
		store.Replace(1, nil)
		feeders := make([]History[Entry[int]], 3)
		seen := make([]Version, len(feeders))
		var asker History[Entry[int]]
		version := Version(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				version++
				e := Entry[int]{
					Key: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), Version: version,
					Removed: rapid.Bool().Draw(t, "removed"),
				}
				e.Row = int(version)
				store.Add(version, []Entry[Entry[int]]{wrap(e)})
			case 1:
				i := rapid.IntRange(0, len(feeders)-1).Draw(t, "feeder")
				fresh := rapid.Bool().Draw(t, "snapshot")
				tell(&store, &feeders[i], &seen[i], fresh)
			case 2:
				from := &feeders[rapid.IntRange(0, len(feeders)-1).Draw(t, "from")]
				if _, known := from.Version(); known {
					v, _ := asker.Version()
					tell(from, &asker, &v, false)
				}
			}
		}
		v, _ := asker.Version()
		tell(&store, &asker, &v, false)
		rows, _ := asker.Since(0)
		want, _ := store.Since(0)
		if got, want := present(rows), present(want); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func wrap(e Entry[int]) Entry[Entry[int]] {
	return Entry[Entry[int]]{Key: e.Key, Version: e.Version, Removed: e.Removed, Row: e}
}

// tell brings one history up to date by another one, all anew if fresh.
func tell(from, to *History[Entry[int]], after *Version, fresh bool) {
	ask := *after
	if fresh {
		ask = 0
	}
	version, _ := from.Version()
	rows, whole := from.Since(ask)
	if fresh {
		// A snapshot has the rows that are there and none that are gone.
		rows = slices.DeleteFunc(rows, func(e Entry[int]) bool { return e.Removed })
		whole = true
	}
	var entries []Entry[Entry[int]]
	for _, r := range rows {
		entries = append(entries, wrap(r))
	}
	if _, known := to.Version(); whole || !known {
		to.Replace(version, entries)
	} else {
		to.Add(version, entries)
	}
	*after = max(*after, version)
}

func present(rows []Entry[int]) []int {
	var out []int
	for _, r := range rows {
		if !r.Removed {
			out = append(out, r.Row)
		}
	}
	slices.Sort(out)
	return out
}

func TestHistoryIsBounded(t *testing.T) {
	var h History[int]
	h.Replace(1, nil)
	for v := Version(2); v < 10*maxRemoved; v++ {
		h.Add(v, []Entry[int]{{Key: fmt.Sprint(v), Version: v, Removed: true}})
	}
	qt.Assert(t, len(h.entries) <= maxRemoved, qt.IsTrue)
	_, whole := h.Since(2)
	qt.Assert(t, whole, qt.IsTrue, qt.Commentf("changes that are forgotten are not told one by one"))
}
