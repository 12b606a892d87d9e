package cwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Timing and bounds of runs with callers that make instances hold memory.
const (
	// memoryWatchInterval is the time between two looks at the memory of an instance.
	memoryWatchInterval = 20 * time.Millisecond
	// memorySettle is the time between two forms, in which nobody presses.
	memorySettle = 500 * time.Millisecond
	// pressedInstances is the number of instances that the callers press at once.
	pressedInstances = 2
	// ordinaryThink is the mean time between two operations of an ordinary caller.
	ordinaryThink = 100 * time.Millisecond
	// noMemory is in the detail of an answer that is refused for lack of memory.
	noMemory = "no memory"
)

// served counts the statements of ordinary callers that succeeded.
type served struct{ count atomic.Int64 }

// memoryWatch reads the resident memory of an instance, and kills the instance when it exceeds the
// limit, as the platform does.
type memoryWatch struct {
	env     *environment
	process *process

	mu   sync.Mutex
	peak int64
}

func (w *memoryWatch) run(ctx context.Context) error {
	for sleep(ctx, memoryWatchInterval) {
		n := residentBytes(w.process.pid())
		w.mu.Lock()
		w.peak = max(w.peak, n)
		w.mu.Unlock()
		if n > w.env.cfg.Platform.MemoryLimit {
			w.env.ledger.addViolation(MemoryExceeded, "%s holds %d bytes", w.process.name, n)
			w.process.signal(syscall.SIGKILL)
			sleep(ctx, 2*restartDelay)
		}
	}
	return nil
}

// takePeak returns the greatest memory since the last call, in bytes.
func (w *memoryWatch) takePeak() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.peak
	w.peak = 0
	return n
}

// residentBytes returns the resident memory of a process in bytes; zero if it has ended.
func residentBytes(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(b))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// MemoryResult is what one form of pressing callers led to.
type MemoryResult struct {
	Form string
	// PeakBytes is the greatest memory of an instance.
	PeakBytes int64
	// ServedPercent is the number of statements of ordinary callers that succeeded, in percent of a
	// calm time.
	ServedPercent int
}

// playMemory runs ordinary callers, and beside them one form of pressing callers after another.
func (env *environment) playMemory(ctx context.Context) (played, error) {
	eg, ctx := errgroup.WithContext(ctx)
	for i := range env.cfg.Callers {
		c := &caller{env: env, id: i, rand: rand.New(rand.NewPCG(env.cfg.Seed, uint64(i)+1))}
		eg.Go(func() error { return c.runPaced(ctx) })
	}
	var watches []*memoryWatch
	for _, p := range env.instances {
		w := &memoryWatch{env: env, process: p}
		watches = append(watches, w)
		eg.Go(func() error { return w.run(ctx) })
	}
	m := &memoryPlay{env: env, watches: watches, length: env.cfg.Duration / time.Duration(len(memoryForms)+2)}
	eg.Go(func() error { return m.run(ctx) })
	if err := eg.Wait(); err != nil {
		return played{}, err
	}
	return played{faults: len(m.results), memory: m.results}, nil
}

// runPaced opens one session after another, at random instances, with statements at the pace of an
// ordinary caller.
func (c *caller) runPaced(ctx context.Context) error {
	c.startItem()
	for sleep(ctx, sessionPause) {
		c.visit(ctx, visit{
			process:    c.env.instances[c.rand.IntN(len(c.env.instances))],
			operations: func() int { return 3 + c.rand.IntN(20) }, think: ordinaryThink,
		})
	}
	return nil
}

// checkCrowdedOut checks that the statement of an ordinary caller was not refused for the memory that
// others hold.
func (s *session) checkCrowdedOut(a cwstatement.Response, id string) {
	if a.Code.NoEffect() && strings.Contains(a.Detail, noMemory) {
		s.caller.env.ledger.addViolation(CrowdedOut, "%s at %s: %s", id, s.process.name, a.Detail)
	}
}

// memoryPlay plays the forms, each for the same time.
type memoryPlay struct {
	env     *environment
	watches []*memoryWatch
	length  time.Duration
	results []MemoryResult
}

// run plays a calm time, whose results are the measure of the others, and each form.
func (m *memoryPlay) run(ctx context.Context) error {
	sleep(ctx, memorySettle)
	calm := m.measure(ctx, memoryForm{name: "calm"}).count
	order := rand.New(rand.NewPCG(m.env.cfg.Seed, 0)).Perm(len(memoryForms))
	for _, i := range order {
		r := m.measure(ctx, memoryForms[i])
		if ctx.Err() != nil {
			return nil
		}
		result := MemoryResult{Form: memoryForms[i].name, PeakBytes: r.peak, ServedPercent: int(100 * r.count / max(1, calm))}
		m.results = append(m.results, result)
	}
	return nil
}

type measured struct{ count, peak int64 }

// measure plays one form and returns what was served meanwhile.
func (m *memoryPlay) measure(ctx context.Context, f memoryForm) measured {
	for _, w := range m.watches {
		w.takePeak()
	}
	before := m.env.served.count.Load()
	playCtx, cancel := context.WithTimeout(ctx, m.length-memorySettle)
	defer cancel()
	var callers sync.WaitGroup
	for i := range f.sessions {
		c := &presser{env: m.env, id: i, process: m.env.instances[i%min(pressedInstances, len(m.env.instances))]}
		callers.Go(func() { c.run(playCtx, f) })
	}
	<-playCtx.Done()
	r := measured{count: m.env.served.count.Load() - before}
	callers.Wait()
	for _, w := range m.watches {
		r.peak = max(r.peak, w.takePeak())
	}
	sleep(ctx, memorySettle)
	return r
}
