package cwwatch

import (
	"context"
	"encoding/json"
	"errors"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// groupKeyPrefix is where the rows of the groups are in the table.
const groupKeyPrefix = "group/"

// rowBody is a group's row as JSON. It is written when a change of primary
// begins and when it is done, and at no other time.
type rowBody struct {
	Term    uint64 `json:"term"`
	Claim   string `json:"claim"`
	Keeper  string `json:"keeper"`
	Primary string `json:"primary"`
	Done    bool   `json:"done"`
}

func (g *Group) readRow(ctx context.Context) (rowBody, string, error) {
	row, err := g.cfg.Table.Get(ctx, groupKeyPrefix+g.cfg.Group.Name)
	var absent *cwplatform.NotFoundError
	if errors.As(err, &absent) {
		return rowBody{Done: true}, "", nil
	}
	if err != nil {
		return rowBody{}, "", err
	}
	var body rowBody
	if err := json.Unmarshal(row.Value, &body); err != nil {
		return rowBody{}, "", err
	}
	return body, row.ETag, nil
}

func (g *Group) sendRow(ctx context.Context, o cwfailover.Order) cwfailover.RowOutcome {
	body, tag, err := g.readRow(ctx)
	if err != nil {
		return cwfailover.RowUnavailable
	}
	mine := body.Claim == string(o.Claim)
	switch {
	case o.Kind == cwfailover.ReadRow && mine:
		return cwfailover.RowDone
	case o.Kind == cwfailover.ReadRow:
		return cwfailover.RowConflict
	case o.Kind == cwfailover.ClaimRow && !mine && !g.mayClaim(body, o.Term):
		return cwfailover.RowConflict
	case o.Kind == cwfailover.RecordRow && body.Term > uint64(o.Term):
		return cwfailover.RowConflict
	}
	next := rowBody{
		Term:    uint64(o.Term),
		Claim:   string(o.Claim),
		Keeper:  string(g.cfg.Self),
		Primary: body.Primary,
	}
	if o.Kind == cwfailover.RecordRow {
		next.Primary, next.Done = string(o.Primary), true
	}
	return g.commitRow(ctx, next, tag)
}

func (g *Group) commitRow(ctx context.Context, body rowBody, tag string) cwfailover.RowOutcome {
	value, err := json.Marshal(body)
	if err != nil {
		return cwfailover.RowUnavailable
	}
	key := groupKeyPrefix + g.cfg.Group.Name
	err = g.cfg.Table.Commit(ctx, cwplatform.Change{
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

// mayClaim reports whether the row may be claimed.
func (g *Group) mayClaim(body rowBody, t cwgroup.Term) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	row := cwfailover.Row{
		Term:   cwgroup.Term(body.Term),
		Claim:  cwgroup.ClaimID(body.Claim),
		Keeper: cwfailover.InstanceID(body.Keeper),
		Done:   body.Done,
	}
	return g.sup.MayClaim(row, t, g.cfg.Clock.Now())
}
