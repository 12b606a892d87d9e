package cwfeed

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// restoredStore is a store that can go back to copies of itself.
type restoredStore struct {
	era, number uint64
	history     History[Entry[int]]
	copies      []storeCopy
}

type storeCopy struct {
	number uint64
	rows   []Entry[int]
}

func newRestoredStore(t *rapid.T) *restoredStore {
	s := &restoredStore{number: 1}
	s.history.Replace(s.at(t, 1), nil)
	return s
}

func (s *restoredStore) at(t *rapid.T, number uint64) Version {
	v, err := At(s.era, number)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (s *restoredStore) put(t *rapid.T, key string, row int, removed bool) {
	s.number++
	v := s.at(t, s.number)
	s.history.Add(v, []Entry[Entry[int]]{wrap(Entry[int]{Key: key, Version: v, Removed: removed, Row: row})})
}

func (s *restoredStore) copy() {
	rows, _ := s.history.Since(0)
	rows = slices.DeleteFunc(rows, func(e Entry[int]) bool { return e.Removed })
	s.copies = append(s.copies, storeCopy{number: s.number, rows: rows})
}

func (s *restoredStore) restore(t *rapid.T, c storeCopy) {
	s.era++
	s.number = c.number
	var entries []Entry[Entry[int]]
	for _, r := range c.rows {
		r.Version = s.at(t, r.Version.Number())
		entries = append(entries, wrap(r))
	}
	s.history = History[Entry[int]]{}
	s.history.Replace(s.at(t, s.number), entries)
}

// Guards against rows of before and after a restore of the store that are mixed on their way.
func TestHistoryTellsEverythingAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newRestoredStore(t)
		feeders := make([]History[Entry[int]], 3)
		seen := make([]Version, len(feeders))
		var asker History[Entry[int]]
		for row := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				store.put(t, key, row, rapid.Bool().Draw(t, "removed"))
			case 1:
				i := rapid.IntRange(0, len(feeders)-1).Draw(t, "feeder")
				tell(&store.history, &feeders[i], &seen[i], rapid.Bool().Draw(t, "snapshot"))
			case 2:
				from := &feeders[rapid.IntRange(0, len(feeders)-1).Draw(t, "from")]
				if _, known := from.Version(); known {
					v, _ := asker.Version()
					tell(from, &asker, &v, false)
				}
			case 3:
				store.copy()
			case 4:
				if len(store.copies) > 0 {
					store.restore(t, rapid.SampledFrom(store.copies).Draw(t, "copy"))
				}
			}
		}
		v, _ := asker.Version()
		tell(&store.history, &asker, &v, false)
		rows, _ := asker.Since(0)
		want, _ := store.history.Since(0)
		if got, want := present(rows), present(want); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}
