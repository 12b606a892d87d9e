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

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case names.RangePath:
		s.serveRange(w, r)
	case names.FeedPath:
		s.serveFeed(w, r)
	case names.CommitPath:
		s.serveCommit(w, r)
	case names.PromotionPath:
		s.servePromotion(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer sends rows. The caller holds mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsAnswer{Rows: rows, Ver: s.ver, NowMS: time.Since(s.start).Milliseconds()})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
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
	s.answer(w, http.StatusOK, rows)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseUint(q.Get("wait_ms"), 10, 32)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
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
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var t commitRequest
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
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
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	for _, p := range t.Puts {
		s.write(storeRow{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, p := range t.Remove {
		s.write(storeRow{Table: p.Table, Part: p.Part, Key: p.Key, Deleted: true})
	}
	s.answer(w, http.StatusOK, nil)
}

func (s *store) servePromotion(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
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
	w.WriteHeader(s.promote(b.ID, holder, token))
}
