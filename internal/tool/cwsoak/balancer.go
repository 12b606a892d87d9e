package cwsoak

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Probes of the load balancer.
const (
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// maxMisses is the number of failed probes in a row after which an instance gets no
	// new callers.
	maxMisses = 2
)

// balancer is the platform's load balancer: it probes the instances and assigns new callers
// to those that are in rotation.
type balancer struct {
	env    *environment
	client *http.Client

	mu sync.Mutex
	// misses is the number of failed probes in a row, by instance name.
	misses map[string]int
}

func newBalancer(env *environment) *balancer {
	return &balancer{env: env, client: &http.Client{Timeout: probeTimeout}, misses: make(map[string]int)}
}

// run probes the instances until ctx ends.
func (b *balancer) run(ctx context.Context) error {
	for sleep(ctx, probeInterval) {
		eg := &errgroup.Group{}
		for _, p := range b.env.instances {
			eg.Go(func() error {
				b.record(p, b.probe(ctx, p))
				return nil
			})
		}
		if err := eg.Wait(); err != nil {
			return err
		}
	}
	return nil
}

func (b *balancer) probe(ctx context.Context, p *process) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.readyAddress+b.env.cfg.Platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *balancer) record(p *process, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.misses[p.name] = 0
		return
	}
	b.misses[p.name]++
}

// pick returns the instance for a new caller of a data centre: one in rotation there; any
// there once fewer than half of them are; one in rotation elsewhere if none is.
func (b *balancer) pick(dataCentre string, intN func(int) int) *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, nearReady, ready []*process
	for _, p := range b.env.instances {
		inRotation := b.misses[p.name] < maxMisses
		if inRotation {
			ready = append(ready, p)
		}
		if p.dataCentre != dataCentre {
			continue
		}
		near = append(near, p)
		if inRotation {
			nearReady = append(nearReady, p)
		}
	}
	from := nearReady
	switch {
	case len(nearReady) == 0:
		from = ready
	case 2*len(nearReady) < len(near):
		from = near
	}
	if len(from) == 0 {
		from = slices.Clone(b.env.instances)
	}
	return from[intN(len(from))]
}
