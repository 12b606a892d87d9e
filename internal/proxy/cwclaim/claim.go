// Package cwclaim keeps the claims of changes of primary in the platform's
// table.
//
// A group has one row. Whoever changes its primary sets the row to a claim of
// its own by compare-and-set, and marks it done at the end; nobody writes the
// row at any other time. An answer of the table can be lost after the change
// took effect, so a claim is unique and is read back, never repeated blindly.
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

// KeyPrefix is where the rows of the groups are in the table.
const KeyPrefix = "group/"

// rowBody is a group's row as JSON.
type rowBody struct {
	Term    uint64 `json:"term"`
	Claim   string `json:"claim"`
	Keeper  string `json:"keeper"`
	Primary string `json:"primary"`
	// Replaced and Members are missing in rows of instances that did not write them.
	Replaced uint64 `json:"replaced"`
	Members  int    `json:"members"`
	Done     bool   `json:"done"`
}

// Service returns whose group a key of the table is about.
func Service(key string) (string, bool) { return strings.CutPrefix(key, KeyPrefix) }

// Decode reads the value of a group's row.
func Decode(value []byte) (cwfailover.Row, error) {
	var b rowBody
	if err := json.Unmarshal(value, &b); err != nil {
		return cwfailover.Row{}, err
	}
	return cwfailover.Row{
		Term:     cwgroup.Term(b.Term),
		Claim:    cwgroup.ClaimID(b.Claim),
		Keeper:   cwfailover.InstanceID(b.Keeper),
		Primary:  cwgroup.MemberID(b.Primary),
		Replaced: cwgroup.Term(b.Replaced),
		Members:  b.Members,
		Done:     b.Done,
	}, nil
}

func encode(r cwfailover.Row) ([]byte, error) {
	return json.Marshal(rowBody{
		Term:     uint64(r.Term),
		Claim:    string(r.Claim),
		Keeper:   string(r.Keeper),
		Primary:  string(r.Primary),
		Replaced: uint64(r.Replaced),
		Members:  r.Members,
		Done:     r.Done,
	})
}

// Claims carries out a keeper's orders to the table for one group.
type Claims struct {
	Table cwplatform.Table
	Group string
	Self  cwfailover.InstanceID
	// MayClaim decides whether a row may be claimed for a term.
	MayClaim func(cwfailover.Row, cwgroup.Term) bool
}

// Result is how the table answered, with the row's tag as it was read.
type Result struct {
	Outcome cwfailover.RowOutcome
	// Tag changes with each claim and is empty for a row that is not there.
	Tag string
}

// Send carries out one order.
func (c Claims) Send(ctx context.Context, o cwfailover.Order) Result {
	row, tag, err := c.Read(ctx)
	if err != nil {
		return Result{Outcome: cwfailover.RowUnavailable}
	}
	mine := row.Claim == o.Claim
	switch {
	case o.Kind == cwfailover.ReadRow && mine:
		return Result{Outcome: cwfailover.RowDone, Tag: tag}
	case o.Kind == cwfailover.ReadRow,
		o.Kind == cwfailover.AnnounceRow && !mine,
		o.Kind == cwfailover.ClaimRow && !mine && !c.MayClaim(row, o.Term),
		o.Kind == cwfailover.RecordRow && row.Term > o.Term:
		return Result{Outcome: cwfailover.RowConflict, Tag: tag}
	}
	next := cwfailover.Row{Term: o.Term, Claim: o.Claim, Keeper: c.Self, Primary: row.Primary, Replaced: row.Replaced, Members: row.Members}
	if o.Kind != cwfailover.ClaimRow {
		next.Replaced, next.Members = max(row.Replaced, o.Replaced), o.Members
	}
	if o.Kind == cwfailover.RecordRow {
		next.Primary, next.Done = o.Primary, true
	}
	return Result{Outcome: c.commit(ctx, next, tag), Tag: tag}
}

// WriteAgain writes a row that is known if the table has lost it with a restore. The
// outcome is RowConflict if it has not, or if another claim is worked on.
func (c Claims) WriteAgain(ctx context.Context, known cwfailover.Row) cwfailover.RowOutcome {
	row, tag, err := c.Read(ctx)
	switch {
	case err != nil:
		return cwfailover.RowUnavailable
	case !lost(row, known):
		return cwfailover.RowConflict
	}
	return c.commit(ctx, known, tag)
}

// lost reports whether the table's row is one that came before the known one.
func lost(row, known cwfailover.Row) bool {
	if row.Claim == known.Claim {
		return known.Done && !row.Done || row.Replaced < known.Replaced
	}
	return row.Done && row.Term < known.Term
}

// Read returns the group's row and its tag; a row that is not there is finished,
// and its tag is empty.
func (c Claims) Read(ctx context.Context) (cwfailover.Row, string, error) {
	row, err := c.Table.Get(ctx, KeyPrefix+c.Group)
	var absent *cwplatform.NotFoundError
	if errors.As(err, &absent) {
		return cwfailover.Row{Done: true}, "", nil
	}
	if err != nil {
		return cwfailover.Row{}, "", err
	}
	r, err := Decode(row.Value)
	return r, row.ETag, err
}

func (c Claims) commit(ctx context.Context, r cwfailover.Row, tag string) cwfailover.RowOutcome {
	value, err := encode(r)
	if err != nil {
		return cwfailover.RowUnavailable
	}
	key := KeyPrefix + c.Group
	err = c.Table.Commit(ctx, cwplatform.Change{
		Expect: []cwplatform.Expect{{Key: key, ETag: tag}},
		Put:    []cwplatform.Put{{Key: key, Value: value}},
	})
	var conflict *cwplatform.ConflictError
	var unknown *cwplatform.UnknownError
	switch {
	case err == nil:
		return cwfailover.RowDone
	case errors.As(err, &conflict):
		return cwfailover.RowConflict
	case errors.As(err, &unknown):
		return cwfailover.RowUnknown
	}
	return cwfailover.RowUnavailable
}
