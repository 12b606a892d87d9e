package cwleadership

import (
	"context"
	"strconv"
	"sync"

	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// playTable is a table that can be made unavailable.
type playTable struct {
	mu          sync.Mutex
	rows        map[string]cwplatform.Row
	writes      int
	unavailable bool
}

func (r *playTable) setUnavailable(unavailable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailable = unavailable
}

func (r *playTable) Get(_ context.Context, key string) (cwplatform.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable {
		return cwplatform.Row{}, &cwplatform.UnavailableError{Cause: errUnavailable}
	}
	row, ok := r.rows[key]
	if !ok {
		return cwplatform.Row{}, &cwplatform.NotFoundError{Key: key}
	}
	return row, nil
}

func (r *playTable) List(context.Context, string) ([]cwplatform.Row, error) { return nil, nil }

func (r *playTable) Commit(_ context.Context, ch cwplatform.Change) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable {
		return &cwplatform.UnavailableError{Cause: errUnavailable}
	}
	for _, e := range ch.Expect {
		if r.rows[e.Key].ETag != e.ETag {
			return &cwplatform.ConflictError{Key: e.Key}
		}
	}
	if r.rows == nil {
		r.rows = make(map[string]cwplatform.Row)
	}
	for _, put := range ch.Put {
		r.writes++
		r.rows[put.Key] = cwplatform.Row{Key: put.Key, Value: put.Value, ETag: strconv.Itoa(r.writes)}
	}
	return nil
}
