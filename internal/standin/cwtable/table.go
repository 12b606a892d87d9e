// Package cwtable is a stand-in for the platform: the transactional table, the
// object store and the lagging list of instances, in memory, over HTTP. It can be down, slow, or
// lose the answer after a change took effect.
package cwtable

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Error is the class of the stand-in's own failures.
var Error = errs.Class("platform stand-in")

// Faults are set at run time.
type Faults struct {
	// Down refuses every request with status 503.
	Down bool
	// Delay is added to every answer.
	Delay time.Duration
	// LoseAnswers is the number of commits whose answer is lost after the
	// change took effect.
	LoseAnswers int
}

type row struct {
	value   []byte
	version uint64
}

type listed struct {
	at   time.Time
	list []cwplatform.InstanceBody
}

// Platform is the stand-in. Make one with Start.
type Platform struct {
	// ListLag is how long the list of instances lags.
	ListLag time.Duration

	ln  net.Listener
	srv *http.Server

	mu        sync.Mutex
	rows      map[string]row
	objects   map[string][]byte
	versions  uint64
	instances []listed
	faults    Faults
	reads     int
	writes    int
}

// Start serves a platform at an IP address and port.
func Start(listen string, listLag time.Duration) (*Platform, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &Platform{ListLag: listLag, ln: ln, rows: make(map[string]row), objects: make(map[string][]byte)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cwplatform.PathRows+"{key...}", p.getRow)
	mux.HandleFunc("GET "+cwplatform.PathList, p.list)
	mux.HandleFunc("POST "+cwplatform.PathCommit, p.commit)
	mux.HandleFunc("GET "+cwplatform.PathInstances, p.getInstances)
	mux.HandleFunc("GET "+cwplatform.PathObjects+"{key...}", p.getObject)
	mux.HandleFunc("PUT "+cwplatform.PathObjects+"{key...}", p.putObject)
	mux.HandleFunc("PUT "+cwplatform.PathInstances, p.putInstances)
	p.srv = &http.Server{Handler: p.faulty(mux), ReadHeaderTimeout: 5 * time.Second}
	go p.run()
	return p, nil
}

func (p *Platform) run() { _ = p.srv.Serve(p.ln) }

// URL returns the base for clients.
func (p *Platform) URL() string { return "http://" + p.ln.Addr().String() }

// Stop ends the platform.
func (p *Platform) Stop() { _ = p.srv.Close() }

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the present faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Operations returns how many reads and writes were served.
func (p *Platform) Operations() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// SetInstances replaces the list; it shows after ListLag.
func (p *Platform) SetInstances(list []cwplatform.InstanceBody) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(p.instances, listed{at: time.Now(), list: list})
}

func (p *Platform) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := p.Faults()
		time.Sleep(f.Delay)
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func etag(v uint64) string { return strconv.Quote(strconv.FormatUint(v, 10)) }

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	row, ok := p.rows[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(row.version))
	_, _ = w.Write(row.value)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	p.reads++
	out := []cwplatform.RowBody{}
	for _, k := range slices.Sorted(maps.Keys(p.rows)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, cwplatform.RowBody{Key: k, Value: p.rows[k].value, ETag: etag(p.rows[k].version)})
		}
	}
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(out)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var c cwplatform.CommitBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	conflict, lose := p.apply(c)
	if conflict != "" {
		http.Error(w, conflict, http.StatusPreconditionFailed)
		return
	}
	if lose {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil || !errors.Is(err, http.ErrNotSupported) {
			_ = conn.Close()
		}
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// apply carries out a change whole, or names the row that was in the way.
func (p *Platform) apply(c cwplatform.CommitBody) (conflict string, lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	for _, e := range c.Expect {
		row, ok := p.rows[e.Key]
		if ok != (e.ETag != "") || ok && etag(row.version) != e.ETag {
			return e.Key, false
		}
	}
	for _, put := range c.Put {
		p.versions++
		p.rows[put.Key] = row{value: put.Value, version: p.versions}
	}
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return "", true
	}
	return "", false
}

func (p *Platform) getInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	out, tag := []cwplatform.InstanceBody{}, etag(0)
	for i, l := range p.instances {
		if time.Since(l.at) >= p.ListLag {
			out, tag = l.list, etag(uint64(i+1))
		}
	}
	p.mu.Unlock()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (p *Platform) putInstances(w http.ResponseWriter, r *http.Request) {
	var list []cwplatform.InstanceBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstances(list)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	value, ok := p.objects[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("key")
	if _, ok := p.objects[key]; ok && r.Header.Get("If-None-Match") == "*" {
		http.Error(w, key, http.StatusPreconditionFailed)
		return
	}
	p.objects[key] = value
	w.WriteHeader(http.StatusNoContent)
}
