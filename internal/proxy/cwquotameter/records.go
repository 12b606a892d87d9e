package cwquotameter

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// KeyPrefix is the key prefix of the rows of window mode in the table; the workspace
// follows.
const KeyPrefix = "quota/"

// recordTimeout bounds one attempt to get a lease or to clear a row.
const recordTimeout = 2 * time.Second

// recordBody is the JSON encoding of a row.
type recordBody struct {
	Active bool   `json:"active"`
	Writer string `json:"writer,omitempty"`
}

// NotRecordedError reports an attempt to get a lease that failed: the row was changed
// by someone else and is not active, or it is not known whether it was written.
type NotRecordedError struct {
	Workspace string
	// Cause is the error of the write.
	Cause error
}

func (e *NotRecordedError) Error() string {
	return "the row of workspace " + e.Workspace + " is not known to be written: " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *NotRecordedError) Unwrap() error { return e.Cause }

// recordStore reads and writes the rows of window mode.
type recordStore struct {
	table cwplatform.Table
	clock clockwork.Clock
	log   *log.Logger
}

// decode decodes a row. One that can't be decoded counts as active, since an issuer may
// rely on it.
func (s recordStore) decode(r cwplatform.Row) cwquota.Record {
	var b recordBody
	if err := json.Unmarshal(r.Value, &b); err != nil {
		s.log.Error("quotaRowUnreadable", "key", r.Key, "cause", err)
		b.Active = true
	}
	return cwquota.Record{Active: b.Active, Version: r.ETag}
}

// read returns the record of a workspace. The error is that of the table.
func (s recordStore) read(ctx context.Context, workspace string) (cwquota.Record, error) {
	row, err := s.table.Get(ctx, KeyPrefix+workspace)
	var notFound *cwplatform.NotFoundError
	if errors.As(err, &notFound) {
		return cwquota.Record{}, nil
	}
	if err != nil {
		return cwquota.Record{}, err
	}
	return s.decode(row), nil
}

// list returns the records of all workspaces.
func (s recordStore) list(ctx context.Context) (map[string]cwquota.Record, error) {
	rows, err := s.table.List(ctx, KeyPrefix)
	if err != nil {
		return nil, err
	}
	out := make(map[string]cwquota.Record, len(rows))
	for _, r := range rows {
		out[strings.TrimPrefix(r.Key, KeyPrefix)] = s.decode(r)
	}
	return out, nil
}

// write writes the row of a workspace if it has not changed since it was read. The
// error is that of the table.
func (s recordStore) write(ctx context.Context, workspace string, read cwquota.Record, b recordBody) error {
	value, err := json.Marshal(b)
	if err != nil {
		return err
	}
	key := KeyPrefix + workspace
	return s.table.Commit(ctx, cwplatform.Change{
		Expect: []cwplatform.Condition{{Key: key, ETag: read.Version}},
		Put:    []cwplatform.RowWrite{{Key: key, Value: value}},
	})
}

// lease makes one attempt to get a lease and returns its end. The error is a
// *NotRecordedError, or that of the table.
func (s recordStore) lease(ctx context.Context, workspace, writer string) (time.Time, error) {
	a := cwquota.Attempt{ReadAt: s.clock.Now()}
	var err error
	if a.Read, err = s.read(ctx, workspace); err != nil {
		return time.Time{}, err
	}
	a.SentAt = s.clock.Now()
	err = s.write(ctx, workspace, a.Read, recordBody{Active: true, Writer: writer})
	var unavailable *cwplatform.UnavailableError
	switch {
	case err == nil:
		return a.LeaseIfWritten(), nil
	case errors.As(err, &unavailable):
		return time.Time{}, err
	}
	again, readErr := s.read(ctx, workspace)
	if readErr != nil {
		return time.Time{}, &NotRecordedError{Workspace: workspace, Cause: errors.Join(err, readErr)}
	}
	until, ok := a.LeaseIfRead(again)
	if !ok {
		return time.Time{}, &NotRecordedError{Workspace: workspace, Cause: err}
	}
	return until, nil
}
