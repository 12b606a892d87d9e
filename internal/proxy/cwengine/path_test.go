package cwengine

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwpath"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// centre is a data centre of a few engines whose path to others can be cut.
type centre struct {
	*testEnv
	mu      sync.Mutex
	engines map[string]*Engine
	// cut has the engines that reach no other data centre, oldBuilds those that do not
	// know path reports.
	cut, oldBuilds map[string]bool
}

// centreNetwork is the view of one engine. It implements cwport.PathNetwork.
type centreNetwork struct {
	*centre
	self string
}

func (n centreNetwork) PathNeighbours() (neighbours []string, remote map[string][]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.engines {
		if name != n.self {
			neighbours = append(neighbours, name)
		}
	}
	return neighbours, map[string][]string{"dc-b": {"b1", "b2"}, "dc-c": {"c1"}}
}

func (n centreNetwork) SendPathReport(_ context.Context, to string, r cwport.PathReport) (cwport.PathReply, error) {
	n.mu.Lock()
	e, old := n.engines[to], n.oldBuilds[to]
	n.mu.Unlock()
	if old {
		return cwport.PathReply{}, &cwport.MethodUnknownError{Method: "path"}
	}
	return e.ServePathReport(r), nil
}

func (n centreNetwork) PingRemote(_ context.Context, to string) error {
	n.mu.Lock()
	e, cut := n.engines[n.self], n.cut[n.self]
	n.mu.Unlock()
	if cut {
		n.clock.Sleep(pingTimeout)
		return &cwport.NoResponseError{Instance: to}
	}
	e.cfg.RemotePath.RecordAnswer(n.clock.Now())
	return nil
}

// newCentre starts engines with the given names.
func newCentre(t *testing.T, names ...string) *centre {
	c := &centre{testEnv: newTestEnv(t, cwcatalogue.ReadLatest), engines: make(map[string]*Engine), cut: make(map[string]bool), oldBuilds: make(map[string]bool)}
	for _, name := range names {
		e := c.engineWithConfig(name, func(cfg *Config) {
			cfg.DataCentre, cfg.PathNetwork = "dc-a", centreNetwork{c, name}
		})
		c.mu.Lock()
		c.engines[name] = e
		c.mu.Unlock()
	}
	for _, e := range c.engines {
		e.RefreshHolders()
		c.eventually("path reports are exchanged", e.pathActive.Load)
		c.waitForPrimary(e)
		c.c.Assert(e.Ready(), qt.IsTrue)
	}
	return c
}

// setCut cuts engines off from other data centres, or reconnects them.
func (c *centre) setCut(cut bool, names ...string) {
	for _, name := range names {
		c.mu.Lock()
		c.cut[name] = cut
		c.mu.Unlock()
		for _, member := range []string{"b", "c"} {
			c.group.Cut(name, member, cut)
		}
	}
}

// Guards against instances without traffic that stay ready while their data centre is cut
// off, against sessions that are closed too soon or never, and against instances that
// stay not ready after it.
func TestInstancesFindACutTogether(t *testing.T) {
	c := newCentre(t, "x", "y", "z")
	idle := c.session(c.engines["z"])
	assertRead(c.c, idle.ask(cwstatement.Read, "READ i"), "")
	began := c.clock.Now()
	c.setCut(true, "x", "y", "z")
	for _, e := range c.engines {
		c.eventually("it is isolated", e.Isolated)
	}
	took := c.clock.Since(began)
	t.Logf("all isolated after %v", took)
	c.c.Assert(took < 2*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	c.eventually("idle sessions are closed", func() bool { return c.engines["z"].SessionCount() == 0 })
	c.c.Assert(c.clock.Since(began) >= 2*time.Second, qt.IsTrue)
	c.setCut(false, "x", "y", "z")
	for _, e := range c.engines {
		c.eventually("it is ready again", e.Ready)
	}
}

// Guards against an instance that is cut off alone and takes its neighbours with it.
func TestInstanceCutOffAloneStaysAlone(t *testing.T) {
	c := newCentre(t, "x", "y", "z")
	c.setCut(true, "x")
	c.engines["x"].cfg.RemotePath.RecordOverdue(c.clock.Now())
	notReady := map[string]int{}
	for range 100 {
		for name, e := range c.engines {
			if !e.Ready() {
				notReady[name]++
			}
			c.c.Assert(name != "x" && e.Isolated(), qt.IsFalse)
		}
		c.clock.Sleep(10 * time.Millisecond)
	}
	c.c.Assert(notReady["x"], qt.Equals, 100)
	c.c.Assert(notReady["y"] < 50 && notReady["z"] < 50, qt.IsTrue, qt.Commentf("%v", notReady))
}

// Guards against an instance cut off alone that becomes ready because a neighbour refutes
// the report that it adopted. Sentinels would find out without a report.
func TestRefutedInstanceFindsThatItIsCutOffAlone(t *testing.T) {
	names := []string{"w", "x", "y", "z"}
	c := newCentre(t, names...)
	self := names[slices.IndexFunc(names, func(n string) bool {
		_, sentinel := cwpath.SentinelRank(n, "dc-a", names)
		return !sentinel
	})]
	other := names[slices.IndexFunc(names, func(n string) bool { return n != self })]
	c.setCut(true, self)
	path, now := c.engines[self].cfg.RemotePath, c.clock.Now()
	path.ReceiveReport(cwpath.Report{ID: "1", Instance: other, SilentSince: now}, now)
	c.clock.Sleep(120 * time.Millisecond)
	now = c.clock.Now()
	path.ReceiveReport(cwpath.Report{Instance: other, SilentSince: now, Ended: true}, now)
	c.eventually("it suspects the path directly", func() bool {
		direct := false
		path.WithDetector(func(d *cwpath.Detector) { direct = d.SuspectedDirectly() })
		return direct
	})
	c.c.Assert(c.clock.Since(now) < time.Second, qt.IsTrue, qt.Commentf("%v", c.clock.Since(now)))
}

// Guards against reports that are not about this data centre, or are old, and against a
// data centre that leaves the rotation although it has the majority of a group.
func TestPathReportsThatAreIgnored(t *testing.T) {
	c := newCentre(t, "x", "y")
	e := c.engines["x"]
	report := cwport.PathReport{ID: "y/1", DataCentre: "dc-a", Instance: "y", Silent: 300 * time.Millisecond}
	foreign, own, old := report, report, report
	foreign.DataCentre, own.Instance, old.Silent = "dc-b", "x", cwpath.MaxReportAge+time.Millisecond
	for _, r := range []cwport.PathReport{foreign, own, old} {
		c.c.Assert(e.ServePathReport(r), qt.Equals, cwport.PathReply{}, qt.Commentf("%+v", r))
	}
	e.UpdateTargets([]cwport.ListedTarget{{ID: "b", Service: testService, Address: "b", DataCentre: "dc-a", Slots: 3}}, nil)
	c.c.Assert(e.ServePathReport(report), qt.Equals, cwport.PathReply{})
	c.c.Assert(e.Ready(), qt.IsTrue)
}

// Guards against an instance that keeps sending reports to a build that does not know
// them, or that does not find a cut by itself beside such builds.
func TestNeighboursOfAnOlderBuild(t *testing.T) {
	c := newCentre(t, "x", "y")
	c.mu.Lock()
	c.oldBuilds["y"] = true
	c.mu.Unlock()
	c.setCut(true, "x", "y")
	e := c.engines["x"]
	e.cfg.RemotePath.RecordOverdue(c.clock.Now())
	c.clock.Sleep(time.Second)
	c.c.Assert(e.Ready(), qt.IsFalse)
	c.c.Assert(e.cfg.Metrics.PathReports.Get(), qt.Equals, uint64(1))
}
