package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rowName identifies a row of the store.
type rowName struct{ Table, Part, Key string }

// storeRow is a row as the store sends it. The value is base64 in JSON.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storeRow) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// rowsAnswer is an answer of the store with rows.
type rowsAnswer struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"has_more"`
	Ver     uint64     `json:"ver"`
	NowMS   int64      `json:"now_ms"`
}

// commitRequest is a transaction.
type commitRequest struct {
	Expect []storeRow `json:"expect"`
	Puts   []storeRow `json:"puts"`
	Remove []storeRow `json:"remove"`
}

// store is a stand-in for the platform's metadata store: linearizable, without faults.
type store struct {
	// promote orders a database to lead; it returns the HTTP status.
	promote func(id, holder, token string) int

	mu      sync.Mutex
	rows    map[rowName]storeRow
	ver     uint64
	changed chan struct{}
	start   time.Time
}

func newStore() *store {
	return &store{rows: make(map[rowName]storeRow), changed: make(chan struct{}), start: time.Now()}
}

// put writes a row, as the operator or a database does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storeRow{Table: table, Key: key, Value: value})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storeRow{Table: table, Key: key, Deleted: true})
}

// write stores a row under the next version. The caller holds mu.
func (s *store) write(r storeRow) {
	s.ver++
	r.Ver = s.ver
	s.rows[r.name()] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// handle runs a call and returns the status and the body of the answer. convert is applied
// to the values of rows that are read.
func (s *store) handle(r *http.Request, convert func([]byte) []byte) (int, []byte) {
	switch r.URL.Path {
	case names.RangePath:
		return s.handleRange(r, convert)
	case names.FeedPath:
		return s.handleFeed(r, convert)
	case names.CommitPath:
		return s.handleCommit(r)
	case names.PromotionPath:
		return s.handlePromotion(r), nil
	}
	return http.StatusNotFound, nil
}

// answer returns an answer with rows. The caller holds mu.
func (s *store) answer(status int, rows []storeRow) (int, []byte) {
	b, err := json.Marshal(rowsAnswer{Rows: rows, Ver: s.ver, NowMS: time.Since(s.start).Milliseconds()})
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return status, b
}

// converted returns the rows with their values converted.
func converted(rows []storeRow, convert func([]byte) []byte) []storeRow {
	for i := range rows {
		rows[i].Value = convert(rows[i].Value)
	}
	return rows
}

func (s *store) handleRange(r *http.Request, convert func([]byte) []byte) (int, []byte) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for _, row := range s.rows {
		inRange := row.Key >= q.Get("from") && (q.Get("target") == "" || row.Key < q.Get("target"))
		if row.Table == q.Get("table") && row.Part == q.Get("part") && inRange && !row.Deleted {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	return s.answer(http.StatusOK, converted(rows, convert))
}

func (s *store) handleFeed(r *http.Request, convert func([]byte) []byte) (int, []byte) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseUint(q.Get("wait_ms"), 10, 32)
	if err != nil || err2 != nil {
		return http.StatusBadRequest, nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || ctx.Err() != nil {
			slices.SortFunc(rows, func(a, b storeRow) int { return int(a.Ver) - int(b.Ver) })
			status, body := s.answer(http.StatusOK, converted(rows, convert))
			s.mu.Unlock()
			return status, body
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) handleCommit(r *http.Request) (int, []byte) {
	var t commitRequest
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []storeRow{}, true
	for _, e := range t.Expect {
		row := s.rows[e.name()]
		present := row.Ver > 0 && !row.Deleted
		if present {
			current = append(current, row)
		}
		if present && row.Ver != e.Ver || !present && e.Ver != 0 {
			holds = false
		}
	}
	if !holds {
		return s.answer(http.StatusPreconditionFailed, current)
	}
	for _, p := range t.Puts {
		s.write(storeRow{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, p := range t.Remove {
		s.write(storeRow{Table: p.Table, Part: p.Part, Key: p.Key, Deleted: true})
	}
	return s.answer(http.StatusOK, nil)
}

func (s *store) handlePromotion(r *http.Request) int {
	var b struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		return http.StatusBadRequest
	}
	var holder, token string
	for name, values := range r.Header {
		switch {
		case strings.HasSuffix(name, "Lease-Holder"):
			holder = values[0]
		case strings.HasSuffix(name, "Fencing-Token"):
			token = values[0]
		}
	}
	return s.promote(b.ID, holder, token)
}
