package cwfeed

import (
	"cmp"
	"slices"
)

// maxRemoved is how many removed rows a History keeps: more than come and go
// while an instance is restarted or looks for another feeder.
const maxRemoved = 512

// Entry is the newest state of one row.
type Entry[R any] struct {
	Key string
	// Version is that of the change that made the row what it is.
	Version Version
	// Removed is true if the row is gone.
	Removed bool
	Row     R
}

// History holds the rows of one topic and tells what has changed since a
// version. It keeps the newest state of each row only, so what it tells is
// bounded by the rows there are, however much happened. Its zero value knows
// nothing.
type History[R any] struct {
	entries map[string]Entry[R]
	// version is up to where everything is known, floor the version from which
	// on changes can be told. floor never exceeds version.
	version, floor Version
	// changed is the newest version of a row.
	changed Version
	known   bool
	removed int
}

// Version returns up to where everything is known; false if nothing is.
func (h *History[R]) Version() (Version, bool) { return h.version, h.known }

// Replace takes all rows as of a version.
func (h *History[R]) Replace(version Version, rows []Entry[R]) {
	if h.known && version < h.version {
		return
	}
	h.entries = make(map[string]Entry[R], len(rows))
	h.changed = 0
	for _, r := range rows {
		h.entries[r.Key] = r
		h.changed = max(h.changed, r.Version)
	}
	h.version, h.floor, h.known, h.removed = version, version, true, 0
}

// Add takes the changes up to a version.
func (h *History[R]) Add(version Version, rows []Entry[R]) {
	if !h.known {
		return
	}
	for _, r := range rows {
		old, ok := h.entries[r.Key]
		if ok && old.Version >= r.Version {
			continue
		}
		h.count(old.Removed, r.Removed)
		h.entries[r.Key] = r
		h.changed = max(h.changed, r.Version)
	}
	h.version = max(h.version, version)
	h.forget()
}

func (h *History[R]) count(before, after bool) {
	if before {
		h.removed--
	}
	if after {
		h.removed++
	}
}

// forget drops the oldest removed rows beyond maxRemoved. Who asks for older
// changes needs all rows.
func (h *History[R]) forget() {
	if h.removed <= maxRemoved {
		return
	}
	var gone []Entry[R]
	for _, e := range h.entries {
		if e.Removed {
			gone = append(gone, e)
		}
	}
	slices.SortFunc(gone, func(a, b Entry[R]) int { return cmp.Compare(a.Version, b.Version) })
	for _, e := range gone[:len(gone)-maxRemoved/2] {
		delete(h.entries, e.Key)
		h.floor = max(h.floor, e.Version)
		h.removed--
	}
}

// HasSince reports whether there is anything to tell who knows all up to a
// version.
func (h *History[R]) HasSince(after Version) bool { return after < h.changed || after < h.floor }

// Since returns the rows that changed after a version, oldest change first; whole
// is true if these are all rows there are, because the changes alone are no
// longer known.
func (h *History[R]) Since(after Version) (rows []R, whole bool) {
	whole = after < h.floor
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
