// Package cwstore keeps the catalogue, and the audit trail, in the platform's
// table.
//
// There is one row for the revision, one for each part of the catalogue, and
// one audit row for each revision. An accepted change is one transaction that
// expects the revision row as it was read: two operators who race cannot both
// win, and the audit trail has no gaps. What the proxies do by themselves is
// recorded in rows of its own, next to the operators' changes.
package cwstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/wire/cwcodec"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Keys of the rows.
const (
	keyRevision = "catalogue/revision"
	keyParts    = "catalogue/part/"
	keyAudit    = "catalogue/audit/"
	keyActs     = "catalogue/act/"
)

// maxSteps is how many revisions a proxy catches up one by one; beyond, it
// loads everything.
const maxSteps = 32

// Change is one line of the audit trail.
type Change struct {
	Revision cwcatalogue.Revision
	ID       string
	Who      string
	At       time.Time
	// Note is why, in the operator's words.
	Note string
	// Summary says what changed, in words.
	Summary []string
	// Before and After are the changed parts, by name; a part that is absent
	// has no value.
	Before, After map[string]json.RawMessage
}

// Act is something that a proxy did by itself.
type Act struct {
	Who           string
	At            time.Time
	Kind, Subject string
	Before, After string
}

// ConflictError reports a change that was based on an old revision.
type ConflictError struct {
	Base, Current cwcatalogue.Revision
	// Since are the changes made after Base.
	Since []Change
}

func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "your change is based on revision %d, but the catalogue is at revision %d:", e.Base, e.Current)
	for _, c := range e.Since {
		fmt.Fprintf(&b, "\n  revision %d by %s at %s: %s", c.Revision, c.Who, c.At.UTC().Format(time.RFC3339), strings.Join(c.Summary, "; "))
	}
	b.WriteString("\nNothing was changed. Get the catalogue again, make your change in it, and apply that.")
	return b.String()
}

// UndecidedError reports a change of which it is not known whether it was
// accepted.
type UndecidedError struct {
	ID    string
	Cause error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("it is not known whether the change was accepted (%v); look for change %s with 'catalogue history' before trying again", e.Cause, e.ID)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Cause }

// Store keeps the catalogue in a table, and a copy of each revision in the
// object store.
type Store struct {
	Table cwplatform.Table
	// Objects may be nil; then there are no copies.
	Objects cwplatform.Objects
}

type revisionBody struct {
	Revision uint64 `json:"revision"`
}

type changeBody struct {
	Revision uint64                     `json:"revision"`
	ID       string                     `json:"id"`
	Who      string                     `json:"who"`
	At       time.Time                  `json:"at"`
	Note     string                     `json:"note"`
	Summary  []string                   `json:"summary"`
	Before   map[string]json.RawMessage `json:"before"`
	After    map[string]json.RawMessage `json:"after"`
}

type actBody struct {
	Who     string    `json:"who"`
	At      time.Time `json:"at"`
	Kind    string    `json:"kind"`
	Subject string    `json:"subject"`
	Before  string    `json:"before"`
	After   string    `json:"after"`
}

// Revision returns the table's revision, zero if there is no catalogue yet.
func (s Store) Revision(ctx context.Context) (cwcatalogue.Revision, error) {
	r, _, err := s.revision(ctx)
	return r, err
}

func (s Store) revision(ctx context.Context) (cwcatalogue.Revision, string, error) {
	row, err := s.Table.Get(ctx, keyRevision)
	var absent *cwplatform.NotFoundError
	if errors.As(err, &absent) {
		return 0, "", nil
	}
	if err != nil {
		return 0, "", err
	}
	var b revisionBody
	if err := json.Unmarshal(row.Value, &b); err != nil {
		return 0, "", &cwcodec.PartError{Part: keyRevision, Cause: err}
	}
	return cwcatalogue.Revision(b.Revision), row.ETag, nil
}

// Load returns the whole catalogue. It reads again if the revision moved
// meanwhile, so that the parts belong together.
func (s Store) Load(ctx context.Context) (cwcatalogue.Catalogue, error) {
	for {
		before, err := s.Revision(ctx)
		if err != nil {
			return cwcatalogue.Catalogue{}, err
		}
		rows, err := s.Table.List(ctx, keyParts)
		if err != nil {
			return cwcatalogue.Catalogue{}, err
		}
		after, err := s.Revision(ctx)
		if err != nil {
			return cwcatalogue.Catalogue{}, err
		}
		if before != after {
			continue
		}
		parts := make(map[string][]byte, len(rows))
		for _, r := range rows {
			parts[strings.TrimPrefix(r.Key, keyParts)] = r.Value
		}
		c, err := cwcodec.Join(parts)
		return c.WithRevision(after), err
	}
}

// Refresh returns the table's catalogue, given the one that is known. It reads
// one row if nothing changed, and one more for each change since.
func (s Store) Refresh(ctx context.Context, known cwcatalogue.Catalogue) (cwcatalogue.Catalogue, error) {
	rev, err := s.Revision(ctx)
	if err != nil || rev <= known.Revision {
		return known, err
	}
	if known.Revision == 0 || rev-known.Revision > maxSteps {
		return s.Load(ctx)
	}
	changed := make(map[string][]byte)
	for r := known.Revision + 1; r <= rev; r++ {
		c, err := s.change(ctx, r)
		if err != nil {
			return known, err
		}
		for name, value := range c.After {
			changed[name] = value
		}
	}
	return cwcodec.Overlay(known, changed, rev)
}

func auditKey(r cwcatalogue.Revision) string { return fmt.Sprintf("%s%012d", keyAudit, r) }

func (s Store) change(ctx context.Context, r cwcatalogue.Revision) (Change, error) {
	row, err := s.Table.Get(ctx, auditKey(r))
	if err != nil {
		return Change{}, err
	}
	return decodeChange(row)
}

func decodeChange(row cwplatform.Row) (Change, error) {
	var b changeBody
	if err := json.Unmarshal(row.Value, &b); err != nil {
		return Change{}, &cwcodec.PartError{Part: row.Key, Cause: err}
	}
	return Change{
		Revision: cwcatalogue.Revision(b.Revision), ID: b.ID, Who: b.Who, At: b.At,
		Note: b.Note, Summary: b.Summary, Before: b.Before, After: b.After,
	}, nil
}

// Apply replaces the catalogue, if its revision is still the one that next has.
// It returns the new revision.
func (s Store) Apply(ctx context.Context, next cwcatalogue.Catalogue, c Change) (cwcatalogue.Revision, error) {
	base := next.Revision
	rev, tag, err := s.revision(ctx)
	if err != nil {
		return 0, err
	}
	if rev != base {
		return 0, s.conflict(ctx, base, rev)
	}
	current, err := s.Load(ctx)
	if err != nil {
		return 0, err
	}
	if current.Revision != base {
		return 0, s.conflict(ctx, base, current.Revision)
	}
	c.Revision = base + 1
	change, err := s.build(current, next, tag, &c)
	if err != nil {
		return 0, err
	}
	err = s.Table.Commit(ctx, change)
	var lost *cwplatform.UnknownError
	var conflict *cwplatform.ConflictError
	switch {
	case errors.As(err, &lost):
		return s.readBack(ctx, c, lost)
	case errors.As(err, &conflict):
		if rev, err = s.Revision(ctx); err != nil {
			return 0, err
		}
		return 0, s.conflict(ctx, base, rev)
	case err != nil:
		return 0, err
	}
	s.keepCopy(ctx, next.WithRevision(c.Revision))
	return c.Revision, nil
}

func copyKey(r cwcatalogue.Revision) string { return fmt.Sprintf("catalogue/%012d.json", r) }

// keepCopy puts a copy of an accepted catalogue into the object store. The
// catalogue is in force without it, and can be made of the audit trail.
func (s Store) keepCopy(ctx context.Context, c cwcatalogue.Catalogue) {
	if s.Objects == nil {
		return
	}
	if text, err := cwcodec.Encode(c); err == nil {
		_ = s.Objects.PutObject(ctx, copyKey(c.Revision), text)
	}
}

// At returns the catalogue as it was at a revision: the copy, or, if there is
// none, what the audit trail leads to.
func (s Store) At(ctx context.Context, r cwcatalogue.Revision) (cwcatalogue.Catalogue, error) {
	if s.Objects != nil {
		if text, err := s.Objects.GetObject(ctx, copyKey(r)); err == nil {
			return cwcodec.Decode(text)
		}
	}
	history, err := s.History(ctx)
	if err != nil {
		return cwcatalogue.Catalogue{}, err
	}
	if r == 0 || len(history) == 0 || history[len(history)-1].Revision < r {
		return cwcatalogue.Catalogue{}, &RevisionError{Revision: r}
	}
	parts := make(map[string][]byte)
	for _, c := range history {
		for name, value := range c.After {
			if c.Revision <= r {
				parts[name] = value
			}
		}
	}
	c, err := cwcodec.Join(parts)
	return c.WithRevision(r), err
}

// RevisionError reports a revision that the catalogue never had.
type RevisionError struct{ Revision cwcatalogue.Revision }

func (e *RevisionError) Error() string {
	return fmt.Sprintf("the catalogue never had revision %d", e.Revision)
}

func (s Store) build(current, next cwcatalogue.Catalogue, tag string, c *Change) (cwplatform.Change, error) {
	before, err := cwcodec.Parts(current)
	if err != nil {
		return cwplatform.Change{}, err
	}
	changed, err := cwcodec.Changed(current, next)
	if err != nil {
		return cwplatform.Change{}, err
	}
	ch := cwplatform.Change{Expect: []cwplatform.Expect{{Key: keyRevision, ETag: tag}}}
	b := changeBody{
		Revision: uint64(c.Revision), ID: c.ID, Who: c.Who, At: c.At, Note: c.Note, Summary: c.Summary,
		Before: make(map[string]json.RawMessage), After: make(map[string]json.RawMessage),
	}
	for name, value := range changed {
		b.After[name] = value
		if old, ok := before[name]; ok {
			b.Before[name] = old
		}
		ch.Put = append(ch.Put, cwplatform.Put{Key: keyParts + name, Value: value})
	}
	audit, err := json.Marshal(b)
	if err != nil {
		return cwplatform.Change{}, err
	}
	revision, err := json.Marshal(revisionBody{Revision: uint64(c.Revision)})
	if err != nil {
		return cwplatform.Change{}, err
	}
	ch.Put = append(ch.Put,
		cwplatform.Put{Key: auditKey(c.Revision), Value: audit},
		cwplatform.Put{Key: keyRevision, Value: revision})
	return ch, nil
}

// readBack finds out whether a change whose answer was lost took effect, by its
// unique id. It is never simply sent again.
func (s Store) readBack(ctx context.Context, c Change, lost error) (cwcatalogue.Revision, error) {
	got, err := s.change(ctx, c.Revision)
	var absent *cwplatform.NotFoundError
	switch {
	case err == nil && got.ID == c.ID:
		return c.Revision, nil
	case err == nil:
		return 0, s.conflict(ctx, c.Revision-1, got.Revision)
	case errors.As(err, &absent):
		// The request may still be on its way.
		return 0, &UndecidedError{ID: c.ID, Cause: lost}
	}
	return 0, &UndecidedError{ID: c.ID, Cause: err}
}

func (s Store) conflict(ctx context.Context, base, current cwcatalogue.Revision) error {
	e := &ConflictError{Base: base, Current: current}
	for r := base + 1; r <= current && len(e.Since) < maxSteps; r++ {
		c, err := s.change(ctx, r)
		if err != nil {
			break
		}
		e.Since = append(e.Since, c)
	}
	return e
}
