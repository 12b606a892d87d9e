// Package cwcataloguestore stores the catalogue and the audit trail in the platform's table.
//
// There is one row for the revision, one for each part of the catalogue, and one audit
// row for each revision. A change is committed in one transaction, on condition that
// the revision row was not modified since it was read. Of two concurrent changes only
// one can succeed, and the audit trail has no gaps. Automatic actions of the proxies
// are recorded in separate rows.
package cwcataloguestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguejson"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Keys and key prefixes of the rows.
const (
	keyRevision = "catalogue/revision"
	keyParts    = "catalogue/part/"
	keyAudit    = "catalogue/audit/"
	keyActs     = "catalogue/act/"
)

// maxRevisionSteps is the largest number of revisions that Refresh reads one by one. If
// a proxy is further behind, it loads the whole catalogue. It also limits the changes
// that a ConflictError lists.
const maxRevisionSteps = 32

// Change is an operator's change of the catalogue, as recorded in the audit trail.
type Change struct {
	Revision cwcatalogue.Revision
	ID       string
	Who      string
	At       time.Time
	// Note is the reason given by the operator.
	Note string
	// Summary describes what changed, for people.
	Summary []string
	// Before and After hold the changed parts by name. A new part is missing from
	// Before. A removed part is an empty JSON object in After.
	Before, After map[string]json.RawMessage
}

// Action is an automatic action of a proxy, as recorded next to the audit trail.
type Action struct {
	Who           string
	At            time.Time
	Kind, Subject string
	Before, After string
}

// ConflictError reports a change that was not accepted because it was based on an
// outdated revision.
type ConflictError struct {
	Base, Current cwcatalogue.Revision
	// Since lists the changes made after Base, at most 32 of them.
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

// UnknownOutcomeError reports that it is unknown whether a change was accepted, because
// the response of the platform was lost and the audit trail could not settle it.
type UnknownOutcomeError struct {
	ID    string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether the change was accepted (%v); look for change %s with 'catalogue history' before trying again", e.Cause, e.ID)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Store stores the catalogue in a table, and a copy of each revision in the object
// store.
type Store struct {
	Table cwplatform.Table
	// Objects is the object store for copies. If it is nil, no copies are made.
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

// Revision returns the current revision, or zero if there is no catalogue yet. Its
// errors are those of cwplatform.Table, or a *cwcataloguejson.PartError.
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
		return 0, "", &cwcataloguejson.PartError{Part: keyRevision, Cause: err}
	}
	return cwcatalogue.Revision(b.Revision), row.ETag, nil
}

// Load returns the whole catalogue. It repeats the read if the revision changed in the
// meantime, so that all parts are of the same revision.
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
		c, err := cwcataloguejson.JoinParts(parts)
		return c.WithRevision(after), err
	}
}

// Refresh returns the current catalogue. It reads one row if nothing has changed since
// known, and one more row for each change, or the whole catalogue if known is more than
// 32 revisions behind. If it fails it returns known and the error.
func (s Store) Refresh(ctx context.Context, known cwcatalogue.Catalogue) (cwcatalogue.Catalogue, error) {
	rev, err := s.Revision(ctx)
	if err != nil || rev <= known.Revision {
		return known, err
	}
	if known.Revision == 0 || rev-known.Revision > maxRevisionSteps {
		return s.Load(ctx)
	}
	changed := make(map[string][]byte)
	for r := known.Revision + 1; r <= rev; r++ {
		c, err := s.readChange(ctx, r)
		if err != nil {
			return known, err
		}
		for name, value := range c.After {
			changed[name] = value
		}
	}
	return cwcataloguejson.ApplyParts(known, changed, rev)
}

func auditKey(r cwcatalogue.Revision) string { return fmt.Sprintf("%s%012d", keyAudit, r) }

func (s Store) readChange(ctx context.Context, r cwcatalogue.Revision) (Change, error) {
	row, err := s.Table.Get(ctx, auditKey(r))
	if err != nil {
		return Change{}, err
	}
	return decodeChange(row)
}

func decodeChange(row cwplatform.Row) (Change, error) {
	var b changeBody
	if err := json.Unmarshal(row.Value, &b); err != nil {
		return Change{}, &cwcataloguejson.PartError{Part: row.Key, Cause: err}
	}
	return Change{
		Revision: cwcatalogue.Revision(b.Revision), ID: b.ID, Who: b.Who, At: b.At,
		Note: b.Note, Summary: b.Summary, Before: b.Before, After: b.After,
	}, nil
}

// Apply replaces the catalogue by next if the current revision is still that of next,
// and returns the new revision. It returns a *ConflictError if the catalogue has
// changed, and an *UnknownOutcomeError if it is unknown whether the change was accepted.
// After any other error nothing was changed.
func (s Store) Apply(ctx context.Context, next cwcatalogue.Catalogue, c Change) (cwcatalogue.Revision, error) {
	base := next.Revision
	rev, tag, err := s.revision(ctx)
	if err != nil {
		return 0, err
	}
	if rev != base {
		return 0, s.conflictError(ctx, base, rev)
	}
	current, err := s.Load(ctx)
	if err != nil {
		return 0, err
	}
	if current.Revision != base {
		return 0, s.conflictError(ctx, base, current.Revision)
	}
	c.Revision = base + 1
	change, err := s.buildCommit(current, next, tag, &c)
	if err != nil {
		return 0, err
	}
	err = s.Table.Commit(ctx, change)
	var lost *cwplatform.UnknownError
	var conflict *cwplatform.ConflictError
	switch {
	case errors.As(err, &lost):
		return s.resolveUnknown(ctx, c, lost)
	case errors.As(err, &conflict):
		if rev, err = s.Revision(ctx); err != nil {
			return 0, err
		}
		return 0, s.conflictError(ctx, base, rev)
	case err != nil:
		return 0, err
	}
	s.saveCopy(ctx, next.WithRevision(c.Revision))
	return c.Revision, nil
}

func copyKey(r cwcatalogue.Revision) string { return fmt.Sprintf("catalogue/%012d.json", r) }

// saveCopy writes a copy of an accepted catalogue to the object store. Errors are
// ignored: the catalogue is in effect without the copy, and can be rebuilt from the
// audit trail.
func (s Store) saveCopy(ctx context.Context, c cwcatalogue.Catalogue) {
	if s.Objects == nil {
		return
	}
	if text, err := cwcataloguejson.Encode(c); err == nil {
		_ = s.Objects.PutObject(ctx, copyKey(c.Revision), text)
	}
}

// LoadRevision returns the catalogue of an earlier revision, from its copy or else
// rebuilt from the audit trail. It returns a *RevisionError if there was no such revision.
func (s Store) LoadRevision(ctx context.Context, r cwcatalogue.Revision) (cwcatalogue.Catalogue, error) {
	if s.Objects != nil {
		if text, err := s.Objects.GetObject(ctx, copyKey(r)); err == nil {
			return cwcataloguejson.Decode(text)
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
	c, err := cwcataloguejson.JoinParts(parts)
	return c.WithRevision(r), err
}

// RevisionError reports a revision that does not exist.
type RevisionError struct{ Revision cwcatalogue.Revision }

func (e *RevisionError) Error() string {
	return fmt.Sprintf("the catalogue never had revision %d", e.Revision)
}

func (s Store) buildCommit(current, next cwcatalogue.Catalogue, tag string, c *Change) (cwplatform.Change, error) {
	before, err := cwcataloguejson.SplitParts(current)
	if err != nil {
		return cwplatform.Change{}, err
	}
	changed, err := cwcataloguejson.ChangedParts(current, next)
	if err != nil {
		return cwplatform.Change{}, err
	}
	ch := cwplatform.Change{Expect: []cwplatform.Condition{{Key: keyRevision, ETag: tag}}}
	b := changeBody{
		Revision: uint64(c.Revision), ID: c.ID, Who: c.Who, At: c.At, Note: c.Note, Summary: c.Summary,
		Before: make(map[string]json.RawMessage), After: make(map[string]json.RawMessage),
	}
	for name, value := range changed {
		b.After[name] = value
		if old, ok := before[name]; ok {
			b.Before[name] = old
		}
		ch.Put = append(ch.Put, cwplatform.RowWrite{Key: keyParts + name, Value: value})
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
		cwplatform.RowWrite{Key: auditKey(c.Revision), Value: audit},
		cwplatform.RowWrite{Key: keyRevision, Value: revision})
	return ch, nil
}

// resolveUnknown determines whether a change took effect after the response to its
// commit was lost. It looks for the change's unique id in the audit trail, and does not
// send the commit again.
func (s Store) resolveUnknown(ctx context.Context, c Change, lost error) (cwcatalogue.Revision, error) {
	got, err := s.readChange(ctx, c.Revision)
	var absent *cwplatform.NotFoundError
	switch {
	case err == nil && got.ID == c.ID:
		return c.Revision, nil
	case err == nil:
		return 0, s.conflictError(ctx, c.Revision-1, got.Revision)
	case errors.As(err, &absent):
		// The request may still arrive at the table.
		return 0, &UnknownOutcomeError{ID: c.ID, Cause: lost}
	}
	return 0, &UnknownOutcomeError{ID: c.ID, Cause: err}
}

func (s Store) conflictError(ctx context.Context, base, current cwcatalogue.Revision) error {
	e := &ConflictError{Base: base, Current: current}
	for r := base + 1; r <= current && len(e.Since) < maxRevisionSteps; r++ {
		c, err := s.readChange(ctx, r)
		if err != nil {
			break
		}
		e.Since = append(e.Since, c)
	}
	return e
}
