// Package cwcontrol serves the HTTP control interface of the stand-ins, the
// emulators of databases, platform and network paths. Their faults can be read
// and replaced at run time as JSON; durations are in milliseconds (Ms) or
// microseconds (Us). POST /silence exists for network paths only.
//
//	curl http://ADDRESS/faults
//	curl -X PUT -d '{"streamLagMs":100}' http://ADDRESS/faults
//	curl -X POST http://ADDRESS/silence
package cwcontrol

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"cicadawalk.example/cicadawalk/internal/standin/cwdatabase"
	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
	"cicadawalk.example/cicadawalk/internal/standin/cwplatformserver"
)

// Error is the class of the package's own errors.
var Error = errs.Class("stand-in control")

// databaseFaults is the JSON form of cwdatabase.Faults.
type databaseFaults struct {
	StreamLagMs      int64 `json:"streamLagMs"`
	ApplyLagMs       int64 `json:"applyLagMs"`
	ServiceTimeUs    int64 `json:"serviceTimeUs"`
	Frozen           bool  `json:"frozen"`
	LoseCommits      int   `json:"loseCommits"`
	DropBeforeCommit int   `json:"dropBeforeCommit"`
	NoReplication    bool  `json:"noReplication"`
}

// platformFaults is the JSON form of cwplatformserver.Faults.
type platformFaults struct {
	Down        bool  `json:"down"`
	DelayMs     int64 `json:"delayMs"`
	LoseAnswers int   `json:"loseAnswers"`
}

// linkFaults is the JSON form of cwlink.Faults, without CutFromTarget.
type linkFaults struct {
	DelayMs int64 `json:"delayMs"`
	Cut     bool  `json:"cut"`
	Refuse  bool  `json:"refuse"`
}

// Database returns the control handler of a database.
func Database(m *cwdatabase.RunningMember) http.Handler {
	return faultsHandler(func(f databaseFaults) {
		m.SetFaults(cwdatabase.Faults{
			StreamLag:         time.Duration(f.StreamLagMs) * time.Millisecond,
			ApplyLag:          time.Duration(f.ApplyLagMs) * time.Millisecond,
			ServiceTime:       time.Duration(f.ServiceTimeUs) * time.Microsecond,
			Frozen:            f.Frozen,
			LoseCommitAnswers: f.LoseCommits,
			DropBeforeCommit:  f.DropBeforeCommit,
			NoReplication:     f.NoReplication,
		})
	}, func() databaseFaults {
		f := m.Faults()
		return databaseFaults{
			StreamLagMs: f.StreamLag.Milliseconds(), ApplyLagMs: f.ApplyLag.Milliseconds(),
			ServiceTimeUs: f.ServiceTime.Microseconds(), Frozen: f.Frozen, LoseCommits: f.LoseCommitAnswers,
			DropBeforeCommit: f.DropBeforeCommit, NoReplication: f.NoReplication,
		}
	})
}

// Platform returns the control handler of a platform.
func Platform(p *cwplatformserver.Platform) http.Handler {
	return faultsHandler(func(f platformFaults) {
		p.SetFaults(cwplatformserver.Faults{Down: f.Down, Delay: time.Duration(f.DelayMs) * time.Millisecond, LoseCommitAnswers: f.LoseAnswers})
	}, func() platformFaults {
		f := p.Faults()
		return platformFaults{Down: f.Down, DelayMs: f.Delay.Milliseconds(), LoseAnswers: f.LoseCommitAnswers}
	})
}

// Link returns the control handler of a network path.
func Link(l *cwlink.Link) http.Handler {
	mux := faultsHandler(func(f linkFaults) {
		l.SetFaults(cwlink.Faults{Delay: time.Duration(f.DelayMs) * time.Millisecond, Cut: f.Cut, Refuse: f.Refuse})
	}, func() linkFaults {
		f := l.Faults()
		return linkFaults{DelayMs: f.Delay.Milliseconds(), Cut: f.Cut, Refuse: f.Refuse}
	})
	mux.HandleFunc("POST /silence", func(w http.ResponseWriter, _ *http.Request) {
		l.SilenceConnections()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// faultsHandler returns a handler that reads faults with GET /faults and replaces
// all of them with PUT /faults. Fields that are absent from the request are reset;
// unknown fields are refused with status 400.
func faultsHandler[F any](set func(F), get func() F) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(f)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(get())
	})
	return mux
}

// Serve serves a handler at an address until the process ends, and returns the
// address on which it listens. An empty address serves nothing, and the returned
// address is nil.
func Serve(listen string, h http.Handler) (net.Addr, error) {
	if listen == "" {
		return nil, nil
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr(), nil
}
