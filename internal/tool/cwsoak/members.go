package cwsoak

import (
	"context"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Times of what happens among the targets.
const (
	// membersEvery is the mean pause between two of these faults.
	membersEvery = 700 * time.Millisecond
	// lapseLasts is the mean length of a lapse of an entry: a target counts as gone
	// after some seconds.
	lapseLasts = 6 * time.Second
	// downAtMost bounds how long a target takes to start again, lateAtMost how much
	// later than it receives them a replica applies records.
	downAtMost = 800 * time.Millisecond
	lateAtMost = 4 * time.Second
)

// loopMembers plays what happens among the targets, and between them and single
// instances.
func (f *faults) loopMembers(ctx context.Context) error {
	kinds := f.memberKinds()
	for pause(ctx, time.Duration(f.members.ExpFloat64()*float64(membersEvery))) {
		k := kinds[f.members.IntN(len(kinds))]
		length := time.Duration(f.members.ExpFloat64() * float64(k.lasts))
		f.play(k.fault, length)
	}
	return nil
}

// memberFault is a fault with its mean length.
type memberFault struct {
	fault
	lasts time.Duration
}

func (f *faults) memberKinds() []memberFault {
	clock := clockwork.NewRealClock()
	return []memberFault{
		{lasts: 2 * lastFor, fault: fault{name: "replicaLate", begin: func() (string, func()) {
			g, id := f.anyMember()
			g.SetLate(id, time.Duration(f.members.Int64N(int64(lateAtMost))), clock)
			return "late " + string(id), func() { g.SetLate(id, 0, clock) }
		}}},
		{lasts: lastFor, fault: fault{name: "memberApart", begin: func() (string, func()) {
			g, id := f.anyMember()
			return "members of " + g.Service, f.cut(g, f.apart(g, id))
		}}},
		{lasts: 2 * lastFor, fault: fault{name: "split", begin: func() (string, func()) {
			g, id := f.anyMember()
			return "members of " + g.Service, f.cut(g, append(f.apart(g, id), f.sides(g, id)...))
		}}},
		{lasts: lastFor, fault: fault{name: "pathCut", begin: func() (string, func()) {
			g, id := f.anyMember()
			p := f.world.instances[f.members.IntN(len(f.world.instances))]
			return "path " + p.name + " " + string(id), f.cut(g, []pair{{p.name, string(id)}})
		}}},
		{lasts: lastFor, fault: fault{name: "memberRestarts", begin: func() (string, func()) {
			g, id := f.anyMember()
			go g.Restart(id, time.Duration(f.members.Int64N(int64(downAtMost))), clock)
			return "start of " + string(id), nil
		}}},
		{lasts: lapseLasts, fault: fault{name: "entryLapses", begin: func() (string, func()) {
			g, id := f.anyMember()
			return "entry " + string(id), f.world.lapse(g, id)
		}}},
		{lasts: lastFor, fault: fault{name: "holderHeldUp", begin: func() (string, func()) {
			return "holder", f.holdUp(syscall.SIGSTOP)
		}}},
		{lasts: lastFor, fault: fault{name: "holderKilled", begin: func() (string, func()) {
			return "holder", f.holdUp(syscall.SIGKILL)
		}}},
	}
}

func (f *faults) anyMember() (*group, cwgroup.MemberID) {
	g := f.world.groups[f.members.IntN(len(f.world.groups))]
	return g, g.ids[f.members.IntN(len(g.ids))]
}

// pair is two ends of a path.
type pair struct{ a, b string }

// cut cuts paths, and returns what mends them.
func (f *faults) cut(g *group, paths []pair) (mend func()) {
	for _, p := range paths {
		g.Cut(p.a, p.b, true)
	}
	return func() {
		for _, p := range paths {
			g.Cut(p.a, p.b, false)
		}
	}
}

// apart returns the paths between a member and the others.
func (f *faults) apart(g *group, id cwgroup.MemberID) []pair {
	var out []pair
	for _, other := range g.ids {
		if other != id {
			out = append(out, pair{string(id), string(other)})
		}
	}
	return out
}

// sides puts each instance on the side of a member or of the others, and returns the
// paths to the other side.
func (f *faults) sides(g *group, id cwgroup.MemberID) []pair {
	var out []pair
	for _, p := range f.world.instances {
		near := f.members.IntN(2) == 0
		for _, m := range g.ids {
			if near != (m == id) {
				out = append(out, pair{p.name, string(m)})
			}
		}
	}
	return out
}

// holdUp sends a signal to the instance that promotes next, as soon as it has, and
// returns what lets it go on.
func (f *faults) holdUp(s syscall.Signal) (goOn func()) {
	held := func(name string) {
		for _, p := range f.world.instances {
			if p.name == name {
				p.signal(s)
			}
		}
	}
	f.world.mu.Lock()
	f.world.holdNext = held
	f.world.mu.Unlock()
	return func() {
		f.world.mu.Lock()
		f.world.holdNext = nil
		f.world.mu.Unlock()
		for _, p := range f.world.instances {
			p.signal(syscall.SIGCONT)
		}
	}
}
