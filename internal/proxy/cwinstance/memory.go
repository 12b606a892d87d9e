package cwinstance

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
)

// Limits of heap memory that is not in use.
const (
	// memoryCheckInterval is the interval at which the heap is checked.
	memoryCheckInterval = 5 * time.Second
	// maxFreeHeap is the amount of free heap, in bytes, beyond which it is returned to
	// the system. In steady operation one or two megabytes are free, after a large
	// change tens of megabytes.
	maxFreeHeap = 8 << 20
	// largeHeap is the live heap, in bytes, beyond which garbage is collected sooner.
	// An instance with hundreds of groups has that much. With a smaller heap the saved
	// memory is not worth the processor time.
	largeHeap = 6 << 20
	// defaultGCPercent and largeHeapGCPercent are the growth of the heap, in percent of
	// the live heap, after which garbage is collected (GOGC).
	defaultGCPercent   = 100
	largeHeapGCPercent = 40
)

// The runtime's metrics of heap that is neither in use nor returned to the system, and
// of the heap that was live at the last collection; both in bytes.
const (
	freeHeapMetric = "/memory/classes/heap/free:bytes"
	liveHeapMetric = "/gc/heap/live:bytes"
)

// loopReleaseMemory limits the memory of an instance in a large deployment, until ctx
// ends. It always returns nil.
//
// Decoding a change of a large catalogue, or of the rows of hundreds of instances,
// temporarily takes several times the memory that the decoded state takes. By
// default the runtime lets garbage grow to the size of the live heap and returns
// unused memory only over minutes, and until then it is missing for other processes
// on the machine. With 300 instances and 1,000 groups, an instance used 17 MB of the
// 50 MB that it held.
func (in *Instance) loopReleaseMemory(ctx context.Context) error {
	cwmemoryguard.SetSoftLimit(in.cfg.MemoryLimit)
	sample := []metrics.Sample{{Name: freeHeapMetric}, {Name: liveHeapMetric}}
	for {
		select {
		case <-in.cfg.Clock.After(memoryCheckInterval):
		case <-ctx.Done():
			return nil
		}
		metrics.Read(sample)
		debug.SetGCPercent(gcPercent(sampleBytes(sample[1])))
		if sampleBytes(sample[0]) > maxFreeHeap {
			debug.FreeOSMemory()
		}
	}
}

// gcPercent returns the value of GOGC for an amount of live heap, in bytes.
func gcPercent(live uint64) int {
	if live > largeHeap {
		return largeHeapGCPercent
	}
	return defaultGCPercent
}

// sampleBytes returns the value of a sample in bytes; zero if this version of the
// runtime doesn't have the metric.
func sampleBytes(s metrics.Sample) uint64 {
	if s.Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return s.Value.Uint64()
}
