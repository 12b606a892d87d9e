package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// promotion is one call that the platform has received.
type promotion struct {
	at     time.Time
	holder string
	id     string
	number uint64
	status int
}

// platformAPI is the interface on which one machine at a time orders changes of primary. It does
// not check the numbers of the calls.
type platformAPI struct {
	group *group
	rec   *record

	mu    sync.Mutex
	calls []promotion
}

func (a *platformAPI) run(ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["promotion"], a.promote)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	_ = srv.Serve(ln)
}

func (a *platformAPI) promote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	number, err := strconv.ParseUint(r.Header.Get(names["fenceNumber"]), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil || body.Service != a.group.service {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := http.StatusOK
	if !a.group.promote(body.ID) {
		status = http.StatusConflict
	}
	p := promotion{at: time.Now(), holder: r.Header.Get(names["holder"]), id: body.ID, number: number, status: status}
	a.mu.Lock()
	a.calls = append(a.calls, p)
	a.mu.Unlock()
	a.rec.line("platform: %s promotes %s with the fence number %d: %d", p.holder, p.id, p.number, status)
	w.WriteHeader(status)
}

// all returns the calls so far.
func (a *platformAPI) all() []promotion {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]promotion(nil), a.calls...)
}
