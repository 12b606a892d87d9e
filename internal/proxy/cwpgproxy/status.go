package cwpgproxy

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
)

// Paths of the HTTP endpoints.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/status"
)

// StatusBody is the JSON body of the answer to PathStatus.
type StatusBody struct {
	Instance   string       `json:"instance"`
	DataCentre string       `json:"dataCentre"`
	Ready      bool         `json:"ready"`
	Revision   uint64       `json:"revision"`
	Callers    int          `json:"callers"`
	Groups     []GroupBody  `json:"groups"`
	Targets    []TargetBody `json:"targets"`
}

// GroupBody is the state of a group, described for operators.
type GroupBody struct {
	Service string `json:"service"`
	Group   string `json:"group"`
	// State is "well", "replacing" (the primary), "readsOnly" or "unavailable".
	State string `json:"state"`
	// Problem describes the problem, SystemAction what the system does about it, and
	// OperatorAction what an operator has to do; each may be empty.
	Problem        string `json:"what"`
	SystemAction   string `json:"doing"`
	OperatorAction string `json:"act"`
}

// TargetBody is the state of a target as this proxy sees it.
type TargetBody struct {
	Target    string `json:"target"`
	Group     string `json:"group"`
	Role      string `json:"role"`
	Reachable bool   `json:"reachable"`
	Stopping  bool   `json:"stopping"`
	Mark      string `json:"mark"`
	Applied   string `json:"applied"`
	Share     int    `json:"share"`
	Open      int    `json:"open"`
	Busy      int    `json:"busy"`
	Queued    int    `json:"queued"`
}

func (n *Node) registerGauges() {
	n.metricSet.NewGauge("cicadawalk_callers", func() float64 { return float64(n.server.SessionCount()) })
	n.metricSet.NewGauge("cicadawalk_catalogue_revision", func() float64 { return float64(n.revision.Load()) })
}

func (n *Node) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) { n.metricSet.WritePrometheus(w) })
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET "+PathReady, n.serveReady)
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.Status())
	})
	return mux
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() || n.server.Draining() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// Status returns the state of the node, its groups and their targets.
func (n *Node) Status() StatusBody {
	views := make(map[string]cwgroup.View)
	for _, g := range n.groupList() {
		views[g.Name()] = g.View()
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	b := StatusBody{
		Instance:   n.cfg.Instance,
		DataCentre: n.cfg.DataCentre,
		Ready:      n.Ready(),
		Revision:   n.revision.Load(),
		Callers:    n.server.SessionCount(),
		Groups:     []GroupBody{},
		Targets:    []TargetBody{},
	}
	for _, e := range n.catalogue.Entries {
		for _, spec := range e.Groups {
			v, ok := views[spec.Name]
			if !ok {
				continue
			}
			b.Groups = append(b.Groups, n.groupStatus(e.Service, v))
			for _, t := range spec.Targets {
				b.Targets = append(b.Targets, n.targetStatus(v, t.ID))
			}
		}
	}
	return b
}

// targetStatus returns the state of a target. The caller holds mu.
func (n *Node) targetStatus(v cwgroup.View, id cwgroup.MemberID) TargetBody {
	r, _ := v.Report(id)
	b := TargetBody{
		Target: string(id), Group: v.Name(), Role: r.Role.String(),
		Reachable: r.Reachable && n.cfg.Clock.Since(r.At) <= cwroute.MaxReportAge,
		Stopping:  n.catalogue.HasPlannedStop(id),
		Mark:      r.Durable.String(), Applied: r.Applied.String(),
	}
	if p, ok := n.pools[id]; ok {
		s := p.Stats()
		b.Share, b.Open, b.Busy, b.Queued = s.Share, s.Open, s.InFlight, s.Queued
	}
	return b
}

// groupStatus describes the state of a group for operators. The caller holds mu.
func (n *Node) groupStatus(service string, v cwgroup.View) GroupBody {
	b := GroupBody{Service: service, Group: v.Name(), State: "well"}
	now := n.cfg.Clock.Now()
	var unreachable, stopping []string
	for _, id := range v.Members() {
		r, ok := v.Report(id)
		if !ok || !r.Reachable || now.Sub(r.At) > cwroute.MaxReportAge {
			unreachable = append(unreachable, string(id))
		}
		if n.catalogue.HasPlannedStop(id) {
			stopping = append(stopping, string(id))
		}
	}
	slices.Sort(unreachable)
	_, writable := cwroute.WritablePrimary(v, now)
	majority := len(v.Members())-len(unreachable) >= cwgroup.Majority(len(v.Members()))
	switch {
	case !writable && majority:
		b.State = "replacing"
		b.Problem = "no database takes writes at the moment"
		b.SystemAction = "another database is being put in charge; this takes a few seconds"
	case !writable && len(unreachable) < len(v.Members()):
		b.State = "readsOnly"
		b.Problem = "too few databases answer this proxy: " + strings.Join(unreachable, ", ") + " are away"
		b.SystemAction = "reads that accept some age are served; writes resume by themselves once a majority answers"
		b.OperatorAction = "if this lasts for minutes, have the databases or the network looked at"
	case !writable:
		b.State = "unavailable"
		b.Problem = "no database of this group answers this proxy"
		b.SystemAction = "it keeps trying"
		b.OperatorAction = "have the databases or the network looked at"
	case len(unreachable) > 0:
		b.Problem = strings.Join(unreachable, ", ") + " do not answer"
		b.SystemAction = "work goes to the others; it joins again by itself"
		b.OperatorAction = "if it stays away, have it repaired or replaced: one more loss would stop writes"
	}
	if len(stopping) > 0 {
		b.SystemAction = strings.TrimPrefix(b.SystemAction+"; "+strings.Join(stopping, ", ")+" kept free of work by a planned stop", "; ")
	}
	return b
}

// ReadCounts returns the numbers of reads that replicas and primaries have served since
// the start.
func (n *Node) ReadCounts() (replica, primary uint64) {
	return n.server.Metrics.ReplicaReads.Get(), n.server.Metrics.PrimaryReads.Get()
}
