package cwsoak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
)

// Timing of planned replacements of targets and of the faults that come with them.
const (
	// replacementInterval is the mean interval between two of these faults.
	replacementInterval = 1200 * time.Millisecond
	// joinDuration is the time from the entry of a new target until the one that it
	// replaces announces its leaving, and drainDuration the shortest time from then until
	// that one ends; it takes up to as much again.
	joinDuration  = 300 * time.Millisecond
	drainDuration = 3500 * time.Millisecond
	// maxLeaving is the number of targets of a group that may be leaving at once.
	maxLeaving = 2
	// outageAfterJoin is the time from a replacement to the outage that is to meet it: other
	// instances have learnt of the member that leaves, and it has not ended. outageDuration
	// is the duration of that outage.
	outageAfterJoin = 5 * time.Second
	outageDuration  = 4 * time.Second
	// meanOutage is the mean duration of a cut of a data centre, of replicas that receive
	// nothing, and of a crash of a primary.
	meanOutage = 3 * time.Second
)

// replacementStream is the PCG stream that replacements are drawn from.
const replacementStream = 3 << 32

// replacer replaces targets as planned, while data centres are cut off, replicas receive
// nothing and primaries crash. Its faults have a source of randomness of their own, so that
// the others of a seed stay what they are.
type replacer struct {
	*faultInjector
	rand *rand.Rand
}

// run replaces targets and injects faults until ctx ends.
func (r *replacer) run(ctx context.Context) error {
	clock := clockwork.NewRealClock()
	kinds := []fault{
		{name: "targetReplaced", begin: func() (string, func()) {
			g := r.group()
			return r.replaceTarget(g, r.randomOf(g)), nil
		}},
		{name: "replacedThenCut", begin: r.replaceThenCut},
		{name: "replacedThenDeaf", begin: r.replaceThenDeafen},
		{name: "dataCentreCut", begin: func() (string, func()) { return r.cutDataCentre(dataCentreName(r.rand.IntN(membersPerGroup))) }},
		{name: "replicasDeaf", begin: func() (string, func()) {
			g := r.group()
			return r.deafen(g, r.randomOf(g))
		}},
		{name: "primaryCrashes", begin: func() (string, func()) {
			g := r.group()
			id := g.Primary()
			if id != "" {
				go g.Restart(id, time.Duration(r.rand.Int64N(int64(meanOutage))), clock)
			}
			return "start of " + string(id), nil
		}},
	}
	for sleep(ctx, time.Duration(r.rand.ExpFloat64()*float64(replacementInterval))) {
		k := kinds[r.rand.IntN(len(kinds))]
		r.inject(k, time.Duration(r.rand.ExpFloat64()*float64(meanOutage)))
	}
	return nil
}

func (r *replacer) group() *group { return r.env.groups[r.rand.IntN(len(r.env.groups))] }

func (r *replacer) randomOf(g *group) cwgroup.MemberID {
	ids := g.targets()
	return ids[r.rand.IntN(len(ids))]
}

// replaceThenCut replaces a primary, or another target, and cuts its data centre off some
// seconds later: the commits of the new one are on the leaving one, if on any.
func (r *replacer) replaceThenCut() (string, func()) {
	g := r.group()
	old := cmp.Or(g.Primary(), r.randomOf(g))
	dc := r.env.dataCentreOf(g, old)
	what := r.replaceTarget(g, old)
	time.AfterFunc(outageAfterJoin, func() {
		r.inject(fault{name: "dataCentreCut", begin: func() (string, func()) { return r.cutDataCentre(dc) }}, outageDuration)
	})
	return what, nil
}

// replaceThenDeafen replaces two targets. Those that stay receive nothing soon after, and the
// primary crashes before they do again: the commits are on the leaving ones.
func (r *replacer) replaceThenDeafen() (string, func()) {
	g := r.group()
	var what string
	for _, id := range g.targets() {
		if id != g.Primary() {
			what += r.replaceTarget(g, id) + " "
		}
	}
	time.AfterFunc(2*joinDuration, func() {
		r.inject(fault{name: "replicasDeaf", begin: func() (string, func()) { return r.deafen(g, "") }}, outageAfterJoin+outageDuration)
	})
	time.AfterFunc(outageAfterJoin, func() { g.Restart(cmp.Or(g.Primary(), g.targets()[0]), outageDuration, clockwork.NewRealClock()) })
	return what, nil
}

// replaceTarget starts a target in the data centre of another one, which then leaves and
// ends. It does nothing if that one is leaving already, or enough others are.
func (r *replacer) replaceTarget(g *group, old cwgroup.MemberID) string {
	drain := drainDuration + time.Duration(r.rand.Int64N(int64(drainDuration)))
	g.mu.Lock()
	next := cwgroup.MemberID(fmt.Sprintf("%s-%d", g.Service, g.added))
	dataCentre := g.entries[old].listing.DataCentre
	full := !slices.Contains(g.ids, old) || len(g.ids) > membersPerGroup+1 || len(g.entries)-r.ended(g)-len(g.ids) >= maxLeaving
	g.mu.Unlock()
	if full {
		return "none of " + g.Service
	}
	g.Add(next)
	if err := r.env.serve(g, next, dataCentre); err != nil {
		r.env.cfg.Log.Error("targetNotStarted", "target", next, "cause", err)
		return "none of " + g.Service
	}
	g.mu.Lock()
	g.ids = append(g.ids, next)
	g.mu.Unlock()
	time.AfterFunc(joinDuration, func() { r.leave(g, old, next, drain) })
	return string(old) + " by " + string(next)
}

// ended returns how many targets of a group have ended. The caller holds the group's mu.
func (r *replacer) ended(g *group) int {
	n := 0
	for _, e := range g.entries {
		if e.ended {
			n++
		}
	}
	return n
}

// leave makes a target announce its leaving, and end after the given time, but not before the
// one that replaces it has its log.
func (r *replacer) leave(g *group, id, next cwgroup.MemberID, drain time.Duration) {
	g.mu.Lock()
	g.ids = slices.DeleteFunc(slices.Clone(g.ids), func(o cwgroup.MemberID) bool { return o == id })
	g.mu.Unlock()
	r.env.announceLeaving(g, id)
	time.AfterFunc(drain, func() {
		for !g.HasLogOf(next, id) {
			time.Sleep(roleReportInterval)
		}
		g.End(id)
		g.mu.Lock()
		g.entries[id].ended = true
		g.mu.Unlock()
		r.env.lapseEntry(g, id)
	})
}

// cutDataCentre cuts a data centre off: its targets from the others, its instances from the
// targets elsewhere and from the store, and the instances elsewhere from its targets.
func (r *replacer) cutDataCentre(dc string) (string, func()) {
	var restore []func()
	for _, g := range r.env.groups {
		restore = append(restore, r.cutPaths(g, r.pathsOf(g, dc)))
	}
	for i, p := range r.env.instances {
		if p.dataCentre == dc {
			l := r.env.storeLinks[i]
			l.SetFaults(cwlink.Faults{Cut: true})
			restore = append(restore, func() { l.SetFaults(cwlink.Faults{}) })
		}
	}
	return "cut of " + dc, func() {
		for _, f := range restore {
			f()
		}
	}
}

// pathsOf returns the paths of a group that enter or leave a data centre.
func (r *replacer) pathsOf(g *group, dc string) []path {
	var out []path
	ids := g.allTargets()
	for _, a := range ids {
		here := r.env.dataCentreOf(g, a) == dc
		for _, b := range ids {
			if here && r.env.dataCentreOf(g, b) != dc {
				out = append(out, path{string(a), string(b)})
			}
		}
		for _, p := range r.env.instances {
			if here != (p.dataCentre == dc) {
				out = append(out, path{p.name, string(a)})
			}
		}
	}
	return out
}

// deafen makes all targets of a group that stay receive nothing, but for the primary and one
// more.
func (r *replacer) deafen(g *group, spared cwgroup.MemberID) (string, func()) {
	var deaf []cwgroup.MemberID
	for _, id := range g.targets() {
		if id != spared && id != g.Primary() {
			deaf = append(deaf, id)
		}
	}
	set := func(stopped bool) {
		for _, id := range deaf {
			g.SetReceiveStopped(id, stopped)
		}
	}
	set(true)
	return "receipt of " + g.Service, func() { set(false) }
}
