// Package cwclaim stores the claims for changes of primary in the platform's table.
//
// Each group has one row. A proxy that changes the group's primary writes its own
// claim into the row by compare-and-swap, records in it which terms the change
// replaces, and marks it as done at the end. The row is not written at any other
// time, except when the table has lost it in a restore. The response to a write can
// be lost after the write took effect; therefore every claim is unique, and the row
// is read back before a write is repeated.
package cwclaim

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// KeyPrefix is the key prefix of the groups' rows in the table; the group's name
// follows.
const KeyPrefix = "group/"

// rowBody is the JSON encoding of a group's row; see cwfailover.Row.
type rowBody struct {
	Term    uint64 `json:"term"`
	Claim   string `json:"claim"`
	Owner   string `json:"keeper"`
	Primary string `json:"primary"`
	// Replaced and Members are absent in rows of instances that do not write them.
	Replaced uint64 `json:"replaced"`
	Members  int    `json:"members"`
	Done     bool   `json:"done"`
}

// GroupOfKey returns the name of the group whose row has the key. The second result
// is false for keys of other rows.
func GroupOfKey(key string) (string, bool) { return strings.CutPrefix(key, KeyPrefix) }

// Decode decodes the value of a group's row, which is JSON.
func Decode(value []byte) (cwfailover.Row, error) {
	var b rowBody
	if err := json.Unmarshal(value, &b); err != nil {
		return cwfailover.Row{}, err
	}
	return cwfailover.Row{
		Term:         cwgroup.Term(b.Term),
		Claim:        cwgroup.ClaimID(b.Claim),
		Owner:        cwfailover.InstanceID(b.Owner),
		Primary:      cwgroup.MemberID(b.Primary),
		ReplacedTerm: cwgroup.Term(b.Replaced),
		GroupSize:    b.Members,
		Done:         b.Done,
	}, nil
}

func encode(r cwfailover.Row) ([]byte, error) {
	return json.Marshal(rowBody{
		Term:     uint64(r.Term),
		Claim:    string(r.Claim),
		Owner:    string(r.Owner),
		Primary:  string(r.Primary),
		Replaced: uint64(r.ReplacedTerm),
		Members:  r.GroupSize,
		Done:     r.Done,
	})
}

// Store executes the table commands of a cwfailover.Attempt for one group.
type Store struct {
	Table cwplatform.Table
	// Group is the group's name.
	Group string
	// Self is the instance that owns the claims that are written.
	Self cwfailover.InstanceID
	// MayClaim reports whether a row may be claimed for a term.
	MayClaim func(cwfailover.Row, cwgroup.Term) bool
}

// Result is the outcome of a command, with the ETag of the row as it was read.
type Result struct {
	Outcome cwfailover.RowOutcome
	// ETag changes with each write of the row and is empty if there is no row.
	ETag string
}

// Execute executes one command. It reads the row first; the outcome is RowUnavailable
// if that fails.
func (c Store) Execute(ctx context.Context, cmd cwfailover.Command) Result {
	row, tag, err := c.Read(ctx)
	if err != nil {
		return Result{Outcome: cwfailover.RowUnavailable}
	}
	isOwnClaim := row.Claim == cmd.Claim
	switch {
	case cmd.Kind == cwfailover.ReadClaim && isOwnClaim:
		return Result{Outcome: cwfailover.RowConfirmed, ETag: tag}
	case cmd.Kind == cwfailover.ReadClaim,
		cmd.Kind == cwfailover.RecordReplacedTerm && !isOwnClaim,
		cmd.Kind == cwfailover.WriteClaim && !isOwnClaim && !c.MayClaim(row, cmd.Term),
		cmd.Kind == cwfailover.RecordPrimary && row.Term > cmd.Term:
		return Result{Outcome: cwfailover.RowConflict, ETag: tag}
	}
	next := cwfailover.Row{Term: cmd.Term, Claim: cmd.Claim, Owner: c.Self, Primary: row.Primary, ReplacedTerm: row.ReplacedTerm, GroupSize: row.GroupSize}
	if cmd.Kind != cwfailover.WriteClaim {
		next.ReplacedTerm, next.GroupSize = max(row.ReplacedTerm, cmd.ReplacedTerm), cmd.GroupSize
	}
	if cmd.Kind == cwfailover.RecordPrimary {
		next.Primary, next.Done = cmd.Primary, true
	}
	return Result{Outcome: c.writeRow(ctx, next, tag), ETag: tag}
}

// RestoreRow writes a known row again if the table has lost it in a restore. The
// outcome is RowConflict if the table has not lost it or if another claim is in
// progress.
func (c Store) RestoreRow(ctx context.Context, known cwfailover.Row) cwfailover.RowOutcome {
	row, tag, err := c.Read(ctx)
	switch {
	case err != nil:
		return cwfailover.RowUnavailable
	case !precedes(row, known):
		return cwfailover.RowConflict
	}
	return c.writeRow(ctx, known, tag)
}

// precedes reports whether the table's row is an older version of the known row or
// a finished one of an earlier term.
func precedes(row, known cwfailover.Row) bool {
	if row.Claim == known.Claim {
		return known.Done && !row.Done || row.ReplacedTerm < known.ReplacedTerm
	}
	return row.Done && row.Term < known.Term
}

// Read returns the group's row and its ETag. If there is no row, it returns a row
// that is done and an empty tag. The error is that of the table or of decoding.
func (c Store) Read(ctx context.Context) (cwfailover.Row, string, error) {
	row, err := c.Table.Get(ctx, KeyPrefix+c.Group)
	var notFound *cwplatform.NotFoundError
	if errors.As(err, &notFound) {
		return cwfailover.Row{Done: true}, "", nil
	}
	if err != nil {
		return cwfailover.Row{}, "", err
	}
	r, err := Decode(row.Value)
	return r, row.ETag, err
}

func (c Store) writeRow(ctx context.Context, r cwfailover.Row, tag string) cwfailover.RowOutcome {
	value, err := encode(r)
	if err != nil {
		return cwfailover.RowUnavailable
	}
	key := KeyPrefix + c.Group
	err = c.Table.Commit(ctx, cwplatform.Change{
		Expect: []cwplatform.Condition{{Key: key, ETag: tag}},
		Put:    []cwplatform.RowWrite{{Key: key, Value: value}},
	})
	var conflict *cwplatform.ConflictError
	var unknown *cwplatform.UnknownError
	switch {
	case err == nil:
		return cwfailover.RowConfirmed
	case errors.As(err, &conflict):
		return cwfailover.RowConflict
	case errors.As(err, &unknown):
		return cwfailover.RowUnknown
	}
	return cwfailover.RowUnavailable
}
