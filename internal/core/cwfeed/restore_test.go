package cwfeed

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// restorableStore simulates a store that can be restored from backups.
type restorableStore struct {
	era, number uint64
	log         ChangeLog[Entry[int]]
	backups     []storeBackup
}

// storeBackup holds the rows of the store as of a number.
type storeBackup struct {
	number uint64
	rows   []Entry[int]
}

func newRestorableStore(t *rapid.T) *restorableStore {
	s := &restorableStore{number: 1}
	s.log.Replace(s.version(t, 1), nil)
	return s
}

// version returns the version of a number in the current era.
func (s *restorableStore) version(t *rapid.T, number uint64) Version {
	v, err := NewVersion(s.era, number)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// put writes or removes a row.
func (s *restorableStore) put(t *rapid.T, key string, row int, removed bool) {
	s.number++
	v := s.version(t, s.number)
	s.log.Apply(v, []Entry[Entry[int]]{wrapEntry(Entry[int]{Key: key, Version: v, Removed: removed, Row: row})})
}

// backup adds a backup of the current rows.
func (s *restorableStore) backup() {
	rows, _ := s.log.ChangesSince(0)
	rows = slices.DeleteFunc(rows, func(e Entry[int]) bool { return e.Removed })
	s.backups = append(s.backups, storeBackup{number: s.number, rows: rows})
}

// restore replaces the rows by those of a backup and begins a new era.
func (s *restorableStore) restore(t *rapid.T, c storeBackup) {
	s.era++
	s.number = c.number
	var entries []Entry[Entry[int]]
	for _, r := range c.rows {
		r.Version = s.version(t, r.Version.Number())
		entries = append(entries, wrapEntry(r))
	}
	s.log = ChangeLog[Entry[int]]{}
	s.log.Replace(s.version(t, s.number), entries)
}

// Guards against a reader that ends up with a mixture of rows from before and
// after a restore of the store.
func TestChangeLogConvergesAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newRestorableStore(t)
		feeders := make([]ChangeLog[Entry[int]], 3)
		seen := make([]Version, len(feeders))
		var reader ChangeLog[Entry[int]]
		for row := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				store.put(t, key, row, rapid.Bool().Draw(t, "removed"))
			case 1:
				i := rapid.IntRange(0, len(feeders)-1).Draw(t, "feeder")
				update(&store.log, &feeders[i], &seen[i], rapid.Bool().Draw(t, "snapshot"))
			case 2:
				from := &feeders[rapid.IntRange(0, len(feeders)-1).Draw(t, "from")]
				if _, known := from.Version(); known {
					v, _ := reader.Version()
					update(from, &reader, &v, false)
				}
			case 3:
				store.backup()
			case 4:
				if len(store.backups) > 0 {
					store.restore(t, rapid.SampledFrom(store.backups).Draw(t, "copy"))
				}
			}
		}
		v, _ := reader.Version()
		update(&store.log, &reader, &v, false)
		rows, _ := reader.ChangesSince(0)
		want, _ := store.log.ChangesSince(0)
		if got, want := presentRows(rows), presentRows(want); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}
