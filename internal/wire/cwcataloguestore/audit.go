package cwcataloguestore

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguejson"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// History returns the audit trail, oldest first.
func (s Store) History(ctx context.Context) ([]Change, error) {
	rows, err := s.Table.List(ctx, keyAudit)
	if err != nil {
		return nil, err
	}
	out := make([]Change, 0, len(rows))
	for _, r := range rows {
		c, err := decodeChange(r)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

// RecordAction records an automatic action of a proxy. The id must be unique. Recording
// the same action again has no further effect.
func (s Store) RecordAction(ctx context.Context, id string, a Action) error {
	value, err := json.Marshal(actBody(a))
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%020d-%s", keyActs, a.At.UnixNano(), id)
	err = s.Table.Commit(ctx, cwplatform.Change{Put: []cwplatform.RowWrite{{Key: key, Value: value}}})
	return err
}

// Actions returns the automatic actions of all proxies, oldest first.
func (s Store) Actions(ctx context.Context) ([]Action, error) {
	rows, err := s.Table.List(ctx, keyActs)
	if err != nil {
		return nil, err
	}
	out := make([]Action, 0, len(rows))
	for _, r := range rows {
		var b actBody
		if err := json.Unmarshal(r.Value, &b); err != nil {
			return nil, &cwcataloguejson.PartError{Part: r.Key, Cause: err}
		}
		out = append(out, Action(b))
	}
	slices.SortStableFunc(out, func(a, b Action) int { return a.At.Compare(b.At) })
	return out, nil
}
