package cwcataloguestore

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/tool/cwbound"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

var background = context.Background()

// fakeTable is an in-memory table that counts reads and writes and can lose responses.
type fakeTable struct {
	rows          map[string]cwplatform.Row
	version       int
	reads, writes int
	// loseAfter loses the response to the next commit after it took effect.
	// loseBefore loses the next commit before it takes effect.
	loseAfter, loseBefore bool
}

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]cwplatform.Row)} }

func (f *fakeTable) Get(_ context.Context, key string) (cwplatform.Row, error) {
	f.reads++
	r, ok := f.rows[key]
	if !ok {
		return r, &cwplatform.NotFoundError{Key: key}
	}
	return r, nil
}

func (f *fakeTable) List(_ context.Context, prefix string) ([]cwplatform.Row, error) {
	f.reads++
	var out []cwplatform.Row
	for k, r := range f.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

func (f *fakeTable) Commit(_ context.Context, c cwplatform.Change) error {
	if f.loseBefore {
		f.loseBefore = false
		return &cwplatform.UnknownError{Cause: errors.New("cut")}
	}
	f.writes++
	for _, e := range c.Expect {
		if f.rows[e.Key].ETag != e.ETag {
			return &cwplatform.ConflictError{Key: e.Key}
		}
	}
	for _, p := range c.Put {
		f.version++
		f.rows[p.Key] = cwplatform.Row{Key: p.Key, Value: p.Value, ETag: fmt.Sprint(f.version)}
	}
	if f.loseAfter {
		f.loseAfter = false
		return &cwplatform.UnknownError{Cause: errors.New("cut")}
	}
	return nil
}

func sampleEntry(service string) cwcatalogue.Entry {
	return cwcatalogue.Entry{Service: service, Owner: "o", Groups: []cwcatalogue.Group{{Name: service + "-1"}}}
}

func sampleChange(who string) Change {
	return Change{ID: who, Who: who, At: time.Unix(1000, 0), Summary: []string{"by " + who}}
}

func TestApplyAndRefresh(t *testing.T) {
	table := newFakeTable()
	s := Store{Table: table}
	rev, err := s.Apply(background, cwcatalogue.Catalogue{}.WithEntry(sampleEntry("a")), sampleChange("maria"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rev, qt.Equals, cwcatalogue.Revision(1))
	known, err := s.Load(background)
	qt.Assert(t, err, qt.IsNil)
	_, err = s.Apply(background, known.WithEntry(sampleEntry("b")), sampleChange("jorge"))
	qt.Assert(t, err, qt.IsNil)

	table.reads = 0
	same, err := s.Refresh(background, known)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, same.Entries, qt.HasLen, 2)
	cwbound.CheckBound(t, "tableReadsPerChange", float64(table.reads))
	table.reads = 0
	_, err = s.Refresh(background, same)
	qt.Assert(t, err, qt.IsNil)
	cwbound.CheckBound(t, "tableReadsPerIdlePoll", float64(table.reads))

	t.Run("an entry is removed", func(t *testing.T) {
		gone := same
		gone.Entries = gone.Entries[:1]
		_, err := s.Apply(background, gone, sampleChange("ana"))
		qt.Assert(t, err, qt.IsNil)
		c, err := s.Refresh(background, same)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.Entries, qt.HasLen, 1)
	})
	t.Run("an earlier revision", func(t *testing.T) {
		c, err := s.LoadRevision(background, 2)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.Entries, qt.HasLen, 2)
		qt.Assert(t, c.Revision, qt.Equals, cwcatalogue.Revision(2))
		_, err = s.LoadRevision(background, 9)
		var re *RevisionError
		qt.Assert(t, err, qt.ErrorAs, &re)
	})
	t.Run("the audit trail has no gaps", func(t *testing.T) {
		h, err := s.History(background)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, h, qt.HasLen, 3)
		qt.Assert(t, string(h[2].Before["entry/b"]), qt.Contains, `"service":"b"`)
	})
}

// Guards against lost updates. Two operators change the same revision: the second
// change must be refused, and its error must name the author of the first.
func TestConflictShowsOtherChange(t *testing.T) {
	s := Store{Table: newFakeTable()}
	_, err := s.Apply(background, cwcatalogue.Catalogue{}.WithEntry(sampleEntry("a")), sampleChange("maria"))
	qt.Assert(t, err, qt.IsNil)
	_, err = s.Apply(background, cwcatalogue.Catalogue{}.WithEntry(sampleEntry("b")), sampleChange("jorge"))
	var conflict *ConflictError
	qt.Assert(t, err, qt.ErrorAs, &conflict)
	qt.Assert(t, conflict.Error(), qt.Contains, "revision 1 by maria")
}

// Guards against repeating a change after the table's response was lost. The repeated
// change would conflict with itself or be made twice. The change must be looked up by
// its id, and its outcome reported as unknown if it is not found.
func TestChangeWithLostResponse(t *testing.T) {
	table := newFakeTable()
	s := Store{Table: table}
	table.loseAfter = true
	rev, err := s.Apply(background, cwcatalogue.Catalogue{}.WithEntry(sampleEntry("a")), sampleChange("maria"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rev, qt.Equals, cwcatalogue.Revision(1))
	qt.Assert(t, table.writes, qt.Equals, 1)
	known, err := s.Load(background)
	qt.Assert(t, err, qt.IsNil)
	table.loseBefore = true
	_, err = s.Apply(background, known.WithEntry(sampleEntry("b")), sampleChange("ana"))
	var unknownErr *UnknownOutcomeError
	qt.Assert(t, err, qt.ErrorAs, &unknownErr)
	qt.Assert(t, table.writes, qt.Equals, 1)
}
