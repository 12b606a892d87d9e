package cwinstance

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// Memory beside what is in use.
const (
	// memoryEvery is how often it is looked at.
	memoryEvery = 5 * time.Second
	// keptMost is how much may be kept free, in bytes. An instance in steady work
	// keeps one or two megabytes; after a large change it is tens.
	keptMost = 8 << 20
	// largeHeap is the live heap, in bytes, from which the collector runs sooner:
	// that of an instance before hundreds of groups. Smaller ones save nothing that
	// is worth the processor time.
	largeHeap = 6 << 20
	// usualGrowth and largeGrowth are by how much a heap may grow, in percent,
	// before it is collected.
	usualGrowth = 100
	largeGrowth = 40
)

// The runtime's names of heap that is neither used nor given back, and of what was
// live at the last collection; both in bytes.
const (
	freeMemory = "/memory/classes/heap/free:bytes"
	liveMemory = "/gc/heap/live:bytes"
)

// loopMemory keeps an instance small that knows a large deployment.
//
// The failure: each change of a large catalogue, or of hundreds of instances' rows,
// takes several times what is known at rest while it is read. The runtime lets as
// much garbage come together as there is heap, and gives what it does not need back
// over minutes; until then an instance holds it, beside whatever else runs on its
// machine. With 300 instances and 1,000 groups 17 MB were in use of 50.
func (in *Instance) loopMemory(ctx context.Context) error {
	sample := []metrics.Sample{{Name: freeMemory}, {Name: liveMemory}}
	for {
		select {
		case <-in.cfg.Clock.After(memoryEvery):
		case <-ctx.Done():
			return nil
		}
		metrics.Read(sample)
		debug.SetGCPercent(growth(size(sample[1])))
		if size(sample[0]) > keptMost {
			debug.FreeOSMemory()
		}
	}
}

// growth returns by how much a heap may grow before it is collected, in percent.
func growth(live uint64) int {
	if live > largeHeap {
		return largeGrowth
	}
	return usualGrowth
}

// size returns a sample in bytes; zero if this runtime does not know it.
func size(s metrics.Sample) uint64 {
	if s.Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return s.Value.Uint64()
}
