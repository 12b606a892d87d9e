package cwsoak

import (
	"context"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Timing of the faults of members.
const (
	// memberFaultInterval is the mean interval between two of these faults.
	memberFaultInterval = 700 * time.Millisecond
	// meanLapseDuration is the mean duration of a lapse of an entry. It is longer than
	// that of other faults since a target counts as gone only some seconds after its
	// entry is missing.
	meanLapseDuration = 6 * time.Second
	// maxDowntime is the longest time that a target takes to restart, maxApplyDelay
	// the longest delay between the receipt of a record by a replica and its
	// application.
	maxDowntime   = 800 * time.Millisecond
	maxApplyDelay = 4 * time.Second
)

// runMemberFaults injects faults of single targets, of the paths between targets, and of
// the paths between targets and single instances, until ctx ends.
func (f *faultInjector) runMemberFaults(ctx context.Context) error {
	kinds := f.memberFaults()
	for sleep(ctx, time.Duration(f.memberRand.ExpFloat64()*float64(memberFaultInterval))) {
		k := kinds[f.memberRand.IntN(len(kinds))]
		length := time.Duration(f.memberRand.ExpFloat64() * float64(k.meanDuration))
		f.inject(k.fault, length)
	}
	return nil
}

// memberFault is a fault with its mean duration.
type memberFault struct {
	fault
	meanDuration time.Duration
}

// memberFaults returns all faults that runMemberFaults chooses from.
func (f *faultInjector) memberFaults() []memberFault {
	clock := clockwork.NewRealClock()
	return []memberFault{
		{meanDuration: 2 * meanFaultDuration, fault: fault{name: "replicaLate", begin: func() (string, func()) {
			g, id := f.randomMember()
			g.SetApplyDelay(id, time.Duration(f.memberRand.Int64N(int64(maxApplyDelay))), clock)
			return "late " + string(id), func() { g.SetApplyDelay(id, 0, clock) }
		}}},
		{meanDuration: meanFaultDuration, fault: fault{name: "memberApart", begin: func() (string, func()) {
			g, id := f.randomMember()
			return "members of " + g.Service, f.cutPaths(g, f.pathsToOthers(g, id))
		}}},
		{meanDuration: 2 * meanFaultDuration, fault: fault{name: "split", begin: func() (string, func()) {
			g, id := f.randomMember()
			return "members of " + g.Service, f.cutPaths(g, append(f.pathsToOthers(g, id), f.pathsToOtherSide(g, id)...))
		}}},
		{meanDuration: meanFaultDuration, fault: fault{name: "pathCut", begin: func() (string, func()) {
			g, id := f.randomMember()
			p := f.env.instances[f.memberRand.IntN(len(f.env.instances))]
			return "path " + p.name + " " + string(id), f.cutPaths(g, []path{{p.name, string(id)}})
		}}},
		{meanDuration: meanFaultDuration, fault: fault{name: "memberRestarts", begin: func() (string, func()) {
			g, id := f.randomMember()
			go g.Restart(id, time.Duration(f.memberRand.Int64N(int64(maxDowntime))), clock)
			return "start of " + string(id), nil
		}}},
		{meanDuration: meanLapseDuration, fault: fault{name: "entryLapses", begin: func() (string, func()) {
			g, id := f.randomMember()
			return "entry " + string(id), f.env.lapseEntry(g, id)
		}}},
		{meanDuration: meanFaultDuration, fault: fault{name: "holderHeldUp", begin: func() (string, func()) {
			return "holder", f.signalNextHolder(syscall.SIGSTOP)
		}}},
		{meanDuration: meanFaultDuration, fault: fault{name: "holderKilled", begin: func() (string, func()) {
			return "holder", f.signalNextHolder(syscall.SIGKILL)
		}}},
	}
}

func (f *faultInjector) randomMember() (*group, cwgroup.MemberID) {
	g := f.env.groups[f.memberRand.IntN(len(f.env.groups))]
	ids := g.targets()
	return g, ids[f.memberRand.IntN(len(ids))]
}

// path is the two ends of a network path: names of instances or members.
type path struct{ a, b string }

// cutPaths cuts paths. The returned function restores them.
func (f *faultInjector) cutPaths(g *group, paths []path) (restore func()) {
	for _, p := range paths {
		g.Cut(p.a, p.b, true)
	}
	return func() {
		for _, p := range paths {
			g.Cut(p.a, p.b, false)
		}
	}
}

// pathsToOthers returns the paths between a member and the other members.
func (f *faultInjector) pathsToOthers(g *group, id cwgroup.MemberID) []path {
	var out []path
	for _, other := range g.targets() {
		if other != id {
			out = append(out, path{string(id), string(other)})
		}
	}
	return out
}

// pathsToOtherSide assigns each instance at random to one side of a network partition, that
// of a member or that of the other members. It returns the paths between the instances
// and the members of the opposite side.
func (f *faultInjector) pathsToOtherSide(g *group, id cwgroup.MemberID) []path {
	var out []path
	for _, p := range f.env.instances {
		near := f.memberRand.IntN(2) == 0
		for _, m := range g.targets() {
			if near != (m == id) {
				out = append(out, path{p.name, string(m)})
			}
		}
	}
	return out
}

// signalNextHolder sends a signal to the instance that promotes a target next, right after
// the promotion. The returned function cancels that and resumes all instances.
func (f *faultInjector) signalNextHolder(s syscall.Signal) (resume func()) {
	sendSignal := func(name string) {
		for _, p := range f.env.instances {
			if p.name == name {
				p.signal(s)
			}
		}
	}
	f.env.mu.Lock()
	f.env.onPromotion = sendSignal
	f.env.mu.Unlock()
	return func() {
		f.env.mu.Lock()
		f.env.onPromotion = nil
		f.env.mu.Unlock()
		for _, p := range f.env.instances {
			p.signal(syscall.SIGCONT)
		}
	}
}
