package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as it is written on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowsAnswer is an answer with rows.
type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Ver     uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

// store is the platform's store: rows in tables, linearizable, without faults.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[string]row
	ver     uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
}

func rowName(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row. A row without a value is removed.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b)})
	s.wake()
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Deleted: true})
	s.wake()
}

// write stores a row under the present version. The caller holds mu.
func (s *store) write(r row) {
	r.Ver = s.ver
	s.rows[rowName(r.Table, r.Part, r.Key)] = r
}

// wake ends the waits of long polls. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// run serves the store on a listener.
func (s *store) run(ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["rowsGet"], s.get)
	mux.HandleFunc("GET "+names["rowsFeed"], s.feed)
	mux.HandleFunc("POST "+names["rowsTx"], s.tx)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	_ = srv.Serve(ln)
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.NowMS = time.Since(s.began).Milliseconds()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	q := r.URL.Query()
	from, target := q.Get("from"), q.Get("target")
	s.mu.Lock()
	out := rowsAnswer{Ver: s.ver}
	for _, x := range s.rows {
		if !x.Deleted && x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= from && (target == "" || x.Key < target) {
			out.Rows = append(out.Rows, x)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseUint(q.Get("wait_ms"), 10, 16)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out, changed := rowsAnswer{Ver: s.ver}, s.changed
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Ver > after {
				out.Rows = append(out.Rows, x)
			}
		}
		s.mu.Unlock()
		slices.SortFunc(out.Rows, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
		if len(out.Rows) > 0 {
			s.answer(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect, Puts, Remove []row
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, present := true, []row(nil)
	for _, e := range t.Expect {
		x := s.rows[rowName(e.Table, e.Part, e.Key)]
		if x.Deleted {
			x.Ver = 0
		}
		if x.Ver > 0 {
			present = append(present, x)
		}
		held = held && x.Ver == e.Ver
	}
	if !held {
		s.answer(w, http.StatusPreconditionFailed, rowsAnswer{Ver: s.ver, Rows: present})
		return
	}
	s.ver++
	for _, p := range t.Puts {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, p := range t.Remove {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Deleted: true})
	}
	s.wake()
	s.answer(w, http.StatusOK, rowsAnswer{Ver: s.ver})
}
