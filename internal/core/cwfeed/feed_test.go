package cwfeed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func instanceNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("front-%d", i))
	}
	return out
}

// treeDepth returns the number of instances between self and the store, self not
// included.
func treeDepth(t *testing.T, tree DistributionTree, self string, all []string) int {
	t.Helper()
	for n := range len(all) {
		parent, ok := tree.Parent(self, all)
		if !ok {
			return n
		}
		self = parent
	}
	t.Fatalf("%s is in a cycle", self)
	return 0
}

func TestTree(t *testing.T) {
	for _, tc := range []struct{ instances, roots, depth int }{
		{1, 1, 0}, {7, 7, 0}, {8, 2, 1}, {34, 2, 1}, {35, 2, 2}, {425, 2, 2},
	} {
		t.Run(fmt.Sprintf("%d instances", tc.instances), func(t *testing.T) {
			all := instanceNames(tc.instances)
			children := make(map[string]int)
			roots, depth := 0, 0
			for _, self := range all {
				parent, ok := DistributionTree{}.Parent(self, all)
				if !ok {
					roots++
				}
				children[parent]++
				depth = max(depth, treeDepth(t, DistributionTree{}, self, all))
			}
			delete(children, "")
			qt.Assert(t, roots, qt.Equals, tc.roots)
			qt.Assert(t, depth, qt.Equals, tc.depth)
			for name, n := range children {
				qt.Assert(t, n <= DefaultFanout, qt.IsTrue, qt.Commentf("%s has %d children", name, n))
			}
		})
	}
}

// Guards against half of a data centre querying the store after a root is lost.
// Each child of the root detects the loss by itself and removes the root from
// its own list; only one of them may become a root.
func TestLostRootIsReplacedOnce(t *testing.T) {
	all := instanceNames(32)
	var below []string
	lost := ""
	for _, self := range all {
		if parent, ok := (DistributionTree{}).Parent(self, all); ok && (lost == "" || parent == lost) {
			lost, below = parent, append(below, self)
		}
	}
	rest := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == lost })
	roots := 0
	for _, self := range below {
		if _, ok := (DistributionTree{}).Parent(self, rest); !ok {
			roots++
		}
	}
	qt.Assert(t, len(below) > 10, qt.IsTrue)
	qt.Assert(t, roots, qt.Equals, 1)
}

func TestConfirmedTime(t *testing.T) {
	sent := time.Unix(1000, 0)
	at := func(ms int) time.Time { return sent.Add(time.Duration(ms) * time.Millisecond) }
	const wait = time.Second
	for _, tc := range []struct {
		name      string
		confirmed time.Time
		want      time.Time
	}{
		{"response with changes", StoreResponse{Sent: sent, Received: at(900), Wait: wait, HasChanges: true}.Confirmed(), sent},
		{"response without changes at the end of the wait", StoreResponse{Sent: sent, Received: at(1010), Wait: wait}.Confirmed(), at(1000)},
		{"delayed response", StoreResponse{Sent: sent, Received: at(9000), Wait: wait}.Confirmed(), at(1000)},
		{"store that ends the wait early", StoreResponse{Sent: sent, Received: at(400), Wait: wait}.Confirmed(), sent},
		{"age of a feeder counts from its response", FeederResponse{Sent: sent, Held: at(700).Sub(sent), Age: at(200).Sub(sent)}.Confirmed(), at(500)},
		{"feeder with old data", FeederResponse{Sent: sent, Age: time.Minute}.Confirmed(), sent.Add(-time.Minute)},
	} {
		t.Run(tc.name, func(t *testing.T) { qt.Assert(t, tc.confirmed, qt.Equals, tc.want) })
	}
}

// Guards against a removed row that reappears, such as a target that has left. It
// comes about if an instance receives changes from several feeders, each of which
// knows a different part of the changes. In the end the instance must have the rows
// of the store.
func TestChangeLogConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store ChangeLog[Entry[int]]
		store.Replace(1, nil)
		feeders := make([]ChangeLog[Entry[int]], 3)
		seen := make([]Version, len(feeders))
		var reader ChangeLog[Entry[int]]
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
				store.Apply(version, []Entry[Entry[int]]{wrapEntry(e)})
			case 1:
				i := rapid.IntRange(0, len(feeders)-1).Draw(t, "feeder")
				fresh := rapid.Bool().Draw(t, "snapshot")
				update(&store, &feeders[i], &seen[i], fresh)
			case 2:
				from := &feeders[rapid.IntRange(0, len(feeders)-1).Draw(t, "from")]
				if _, known := from.Version(); known {
					v, _ := reader.Version()
					update(from, &reader, &v, false)
				}
			}
		}
		v, _ := reader.Version()
		update(&store, &reader, &v, false)
		rows, _ := reader.ChangesSince(0)
		want, _ := store.ChangesSince(0)
		if got, want := presentRows(rows), presentRows(want); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// wrapEntry returns an entry whose row is the entry e, so that ChangesSince returns
// removals as well.
func wrapEntry(e Entry[int]) Entry[Entry[int]] {
	return Entry[Entry[int]]{Key: e.Key, Version: e.Version, Removed: e.Removed, Row: e}
}

// update applies the changes of from to the change log to, which knows them up to
// after. If snapshot is true, it replaces all rows.
func update(from, to *ChangeLog[Entry[int]], after *Version, snapshot bool) {
	since := *after
	if snapshot {
		since = 0
	}
	version, _ := from.Version()
	rows, whole := from.ChangesSince(since)
	if snapshot {
		// A snapshot has no tombstones.
		rows = slices.DeleteFunc(rows, func(e Entry[int]) bool { return e.Removed })
		whole = true
	}
	var entries []Entry[Entry[int]]
	for _, r := range rows {
		entries = append(entries, wrapEntry(r))
	}
	if _, known := to.Version(); whole || !known {
		to.Replace(version, entries)
	} else {
		to.Apply(version, entries)
	}
	*after = max(*after, version)
}

// presentRows returns the rows that are not removed, in ascending order.
func presentRows(rows []Entry[int]) []int {
	var out []int
	for _, r := range rows {
		if !r.Removed {
			out = append(out, r.Row)
		}
	}
	slices.Sort(out)
	return out
}

func TestTombstonesAreBounded(t *testing.T) {
	var h ChangeLog[int]
	h.Replace(1, nil)
	for v := Version(2); v < 10*maxTombstones; v++ {
		h.Apply(v, []Entry[int]{{Key: fmt.Sprint(v), Version: v, Removed: true}})
	}
	qt.Assert(t, len(h.entries) <= maxTombstones, qt.IsTrue)
	_, whole := h.ChangesSince(2)
	qt.Assert(t, whole, qt.IsTrue, qt.Commentf("changes before the compaction cannot be listed"))
}
