package cwfeed

import (
	"cmp"
	"slices"
)

// maxTombstones is the number of tombstones that a ChangeLog keeps. It exceeds the
// number of rows that are removed while an instance restarts or looks for another
// feeder.
const maxTombstones = 512

// Entry is the latest state of one row.
type Entry[R any] struct {
	Key string
	// Version is the version of the last change of the row.
	Version Version
	// Removed is true if the row was removed. The entry is then a tombstone.
	Removed bool
	Row     R
}

// ChangeLog holds the rows of one topic and returns the changes since a version.
// It keeps only the latest state of each row and a bounded number of tombstones,
// so its size depends on the number of rows and not on the number of changes.
// The zero ChangeLog is empty and knows no version.
type ChangeLog[R any] struct {
	entries map[string]Entry[R]
	// version is the version up to which all changes are known. compacted is the
	// version up to which changes can no longer be listed one by one. It never
	// exceeds version.
	version, compacted Version
	// lastChange is the highest version of any row.
	lastChange Version
	// known is true after the first Replace.
	known bool
	// tombstones is the number of entries of removed rows.
	tombstones int
}

// Version returns the version up to which all changes are known. The second
// result is false if no version is known.
func (h *ChangeLog[R]) Version() (Version, bool) { return h.version, h.known }

// Replace sets all rows as of a version. It is ignored if the version is lower
// than the known one.
func (h *ChangeLog[R]) Replace(version Version, rows []Entry[R]) {
	if h.known && version < h.version {
		return
	}
	h.entries = make(map[string]Entry[R], len(rows))
	h.lastChange = 0
	for _, r := range rows {
		h.entries[r.Key] = r
		h.lastChange = max(h.lastChange, r.Version)
	}
	h.version, h.compacted, h.known, h.tombstones = version, version, true, 0
}

// Apply applies the changes up to a version. It is ignored before the first
// Replace. A change that is not newer than the known state of its row is
// skipped.
func (h *ChangeLog[R]) Apply(version Version, rows []Entry[R]) {
	if !h.known {
		return
	}
	for _, r := range rows {
		old, ok := h.entries[r.Key]
		if ok && old.Version >= r.Version {
			continue
		}
		h.countTombstones(old.Removed, r.Removed)
		h.entries[r.Key] = r
		h.lastChange = max(h.lastChange, r.Version)
	}
	h.version = max(h.version, version)
	h.compact()
}

// countTombstones updates the number of tombstones for an entry that was
// (before) or is (after) one.
func (h *ChangeLog[R]) countTombstones(before, after bool) {
	if before {
		h.tombstones--
	}
	if after {
		h.tombstones++
	}
}

// compact discards the oldest tombstones, down to half of maxTombstones, once
// there are more than maxTombstones. A reader that asks for changes since an
// earlier version then gets all rows.
func (h *ChangeLog[R]) compact() {
	if h.tombstones <= maxTombstones {
		return
	}
	var removed []Entry[R]
	for _, e := range h.entries {
		if e.Removed {
			removed = append(removed, e)
		}
	}
	slices.SortFunc(removed, func(a, b Entry[R]) int { return cmp.Compare(a.Version, b.Version) })
	for _, e := range removed[:len(removed)-maxTombstones/2] {
		delete(h.entries, e.Key)
		h.compacted = max(h.compacted, e.Version)
		h.tombstones--
	}
}

// HasChangesSince reports whether there are changes after a version, or whether they
// can no longer be listed.
func (h *ChangeLog[R]) HasChangesSince(after Version) bool {
	return after < h.lastChange || after < h.compacted
}

// ChangesSince returns the rows that changed after a version, removed ones
// included, in the order of their versions. If the changes can no longer be listed,
// it returns all present rows instead, and whole is true.
func (h *ChangeLog[R]) ChangesSince(after Version) (rows []R, whole bool) {
	whole = after < h.compacted
	var changed []Entry[R]
	for _, e := range h.entries {
		if whole && !e.Removed || !whole && e.Version > after {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b Entry[R]) int { return cmp.Compare(a.Version, b.Version) })
	for _, e := range changed {
		rows = append(rows, e.Row)
	}
	return rows, whole
}
