package cwlimit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// variant is a variant of admission control at a target that several holders share.
type variant struct {
	name         string
	fair, demand bool
	// one selects the holder by workspace. near limits the choice to the caller's data
	// centre, and held makes holders run the statements of their own callers; with
	// uncontended, they do so only while no statement waited for contentionPeriod.
	one, near, held, uncontended bool
}

var (
	currentOrder = variant{name: "current order"}
	builtVariant = variant{name: "as built", fair: true, demand: true, one: true, near: true, held: true, uncontended: true}
	variants     = []variant{
		currentOrder,
		{name: "fair queues", fair: true},
		{name: "demand", demand: true},
		{name: "fair queues, demand", fair: true, demand: true},
		{name: "one holder", one: true},
		{name: "fair queues, one holder", fair: true, one: true},
		{name: "demand, one holder", demand: true, one: true},
		{name: "fair queues, demand, one holder", fair: true, demand: true, one: true},
		{name: "same, own data centre", fair: true, demand: true, one: true, near: true},
		{name: "same, holders run their own", fair: true, demand: true, one: true, held: true},
		builtVariant,
	}
)

// The deployment and load of the comparison. A burst begins at burstAt: the entry with
// the lowest priority gets burstFactor times its load, and one workspace heavyFactor
// times its load in all entries.
const (
	memberCount, slotCount = 3, 4
	centreCount            = 3
	holderCount            = 2 * centreCount
	instanceCount          = 48
	workspaceCount         = 80
	heavyWorkspace         = 4
	burstFactor            = 2.5
	heavyFactor            = 6
	burstAt, runLength     = 5 * time.Second, 20 * time.Second
	writeShare             = 0.2
	openTime               = 12 * time.Millisecond
	minWork, workRange     = 5 * time.Millisecond, 17 * time.Millisecond
	holderConnections      = 8
	connIdleTimeout        = 400 * time.Millisecond
	reportInterval         = 200 * time.Millisecond
	contentionPeriod       = 5 * time.Second
	// One-way delays between instances of a data centre or a member, and between data
	// centres.
	nearDelay, farDelay = 500 * time.Microsecond, 5 * time.Millisecond
)

var (
	aims        = []time.Duration{150 * time.Millisecond, 250 * time.Millisecond, 800 * time.Millisecond}
	priorityMix = []float64{0.3, 0.4, 0.3}
)

// outcome counts the statements that arrived during the burst.
type outcome struct{ inAim, late, refused int }

func (o outcome) percent() float64 {
	return 100 * float64(o.inAim) / float64(max(1, o.inAim+o.late+o.refused))
}

func (o *outcome) add(x outcome) {
	o.inAim, o.late, o.refused = o.inAim+x.inAim, o.late+x.late, o.refused+x.refused
}

// comparison is the result of a variant.
type comparison struct {
	all              outcome
	byPriority       [3]outcome
	byWorkspace      [workspaceCount]outcome
	statements, open int
}

func (r *comparison) add(x *comparison) {
	r.all.add(x.all)
	for i := range r.byPriority {
		r.byPriority[i].add(x.byPriority[i])
	}
	for i := range r.byWorkspace {
		r.byWorkspace[i].add(x.byWorkspace[i])
	}
	r.statements += x.statements
	r.open += x.open
}

// poorlyServed returns the number of workspaces other than the heavy one that have less
// than 90% of their statements served within the aim, and the lowest such percentage.
func (r *comparison) poorlyServed() (n int, lowest float64) {
	lowest = 100
	for w, o := range r.byWorkspace {
		if w != heavyWorkspace {
			lowest = min(lowest, o.percent())
			if o.percent() < 90 {
				n++
			}
		}
	}
	return n, lowest
}

// Guards against a change of the admission that serves callers worse than the simpler
// variants. It logs the comparison of the variants at three loads, of which the last two
// exceed the capacity of the targets.
func TestVariantsUnderBurst(t *testing.T) {
	const seeds = 2
	for _, rate := range []float64{300, 400, 500} {
		t.Run(fmt.Sprint(rate, " statements a second"), func(t *testing.T) {
			results := make(map[variant]*comparison)
			for _, v := range variants {
				r := &comparison{}
				for seed := range int64(seeds) {
					r.add(newVariantRun(v, seed).run(rate))
				}
				results[v] = r
				n, lowest := r.poorlyServed()
				t.Logf("%-32s all %5.1f%%, by priority %5.1f%% %5.1f%% %5.1f%%, late %4d, refused %5d; workspaces under 90%%: %2d, lowest %3.0f%%, heavy %3.0f%%; connections opened per statement %.2f",
					v.name, r.all.percent(), r.byPriority[0].percent(), r.byPriority[1].percent(), r.byPriority[2].percent(), r.all.late, r.all.refused,
					n, lowest, r.byWorkspace[heavyWorkspace].percent(), float64(r.open)/float64(r.statements))
			}
			current, built := results[currentOrder], results[builtVariant]
			qt.Check(t, built.all.percent() >= current.all.percent(), qt.IsTrue)
			qt.Check(t, built.byPriority[0].percent() > 99, qt.IsTrue)
			qt.Check(t, built.open < current.open, qt.IsTrue)
		})
	}
}
