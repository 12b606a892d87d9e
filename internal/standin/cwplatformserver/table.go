// Package cwplatformserver emulates the platform over HTTP, in memory, for tests and demos:
// the transactional table, the object store, and the list of instances, which
// shows changes with a delay.
//
// Each row has a version, which clients see as an ETag. A commit writes several
// rows atomically if the expected ETags still match. Faults make the platform
// unavailable or slow, or lose the answer to a commit that took effect.
package cwplatformserver

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

// Error is the class of the package's own errors.
var Error = errs.Class("platform stand-in")

// Faults are the faults that a platform injects. The zero value injects none.
type Faults struct {
	// Down answers every request with status 503.
	Down bool
	// Delay is added to every answer.
	Delay time.Duration
	// LoseCommitAnswers is the number of commits that take effect but whose
	// connection is closed instead of the answer being sent.
	LoseCommitAnswers int
}

// row is the value of a row and the version that its last commit gave it.
type row struct {
	value   []byte
	version uint64
}

// listVersion is a version of the list of instances and the time when it was set.
type listVersion struct {
	publishedAt time.Time
	list        []cwplatform.InstanceBody
}

// Platform is the emulated platform. Start creates and serves one.
type Platform struct {
	// ListLag is the delay before a new list of instances is visible.
	ListLag time.Duration

	ln  net.Listener
	srv *http.Server

	mu            sync.Mutex
	rows          map[string]row
	objects       map[string][]byte
	lastVersion   uint64
	instanceLists []listVersion
	faults        Faults
	reads         int
	writes        int
}

// Start creates a platform and serves it at an IP address and port until Stop. It
// returns an error if the address cannot be listened on.
func Start(listen string, listLag time.Duration) (*Platform, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &Platform{ListLag: listLag, ln: ln, rows: make(map[string]row), objects: make(map[string][]byte)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cwplatform.PathRows+"{key...}", p.getRow)
	mux.HandleFunc("GET "+cwplatform.PathList, p.listRows)
	mux.HandleFunc("POST "+cwplatform.PathCommit, p.commit)
	mux.HandleFunc("GET "+cwplatform.PathInstances, p.getInstances)
	mux.HandleFunc("GET "+cwplatform.PathObjects+"{key...}", p.getObject)
	mux.HandleFunc("PUT "+cwplatform.PathObjects+"{key...}", p.putObject)
	mux.HandleFunc("PUT "+cwplatform.PathInstances, p.putInstances)
	p.srv = &http.Server{Handler: p.withFaults(mux), ReadHeaderTimeout: 5 * time.Second}
	go p.serve()
	return p, nil
}

func (p *Platform) serve() { _ = p.srv.Serve(p.ln) }

// URL returns the base URL for clients.
func (p *Platform) URL() string { return "http://" + p.ln.Addr().String() }

// Stop closes the listener and all connections.
func (p *Platform) Stop() { _ = p.srv.Close() }

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the injected faults. LoseCommitAnswers is the number that remains.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Operations returns the numbers of reads and commits that were served: reads of
// rows and of the list of instances, and commits whether they succeeded or not.
// Requests for objects are not counted.
func (p *Platform) Operations() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// SetInstances replaces the list of instances. The new list is visible after
// ListLag.
func (p *Platform) SetInstances(list []cwplatform.InstanceBody) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instanceLists = append(p.instanceLists, listVersion{publishedAt: time.Now(), list: list})
}

// withFaults delays or refuses requests as Faults.Delay and Faults.Down say.
func (p *Platform) withFaults(next http.Handler) http.Handler {
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

// etag returns the ETag of a version.
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

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
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

// apply writes all rows of a commit, or none if an expected ETag does not match; it
// then returns the key of that row. With lose the answer is to be lost.
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
		p.lastVersion++
		p.rows[put.Key] = row{value: put.Value, version: p.lastVersion}
	}
	if p.faults.LoseCommitAnswers > 0 {
		p.faults.LoseCommitAnswers--
		return "", true
	}
	return "", false
}

func (p *Platform) getInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	out, tag := []cwplatform.InstanceBody{}, etag(0)
	for i, l := range p.instanceLists {
		if time.Since(l.publishedAt) >= p.ListLag {
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
