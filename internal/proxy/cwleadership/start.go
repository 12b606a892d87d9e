package cwleadership

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// beginStartInquiry asks observers what they know of the group at the beginning of a period
// of use, unless the primary was confirmed recently. The caller holds mu.
//
// An instance that takes over for a lost holder, or that runs a statement because no holder
// does, otherwise knows neither the primary nor the age of the data, and refuses
// statements until its own health checks are answered. If the primary has been lost at the
// same time, it would refuse bounded reads until there is a new one.
func (g *Group) beginStartInquiry(now time.Time) {
	if g.cfg.Observers == nil || g.startInquiry != nil || now.Sub(g.confirmedAt) < Lease {
		return
	}
	g.startInquiry = make(chan struct{})
	go g.runStartInquiry(g.startInquiry)
}

// runStartInquiry asks the first other holder in this data centre and the first one in
// another data centre at the same time, since either may be the lost one.
func (g *Group) runStartInquiry(done chan struct{}) {
	// Without a wait, the answers have what is known there and cause no checks.
	q := inquiry{sufficient: g.knowsPrimary}
	var eg errgroup.Group
	for _, o := range g.startObservers() {
		eg.Go(func() error {
			if g.ask(o, q) == cwevidence.Used {
				g.endStartInquiry(done)
			}
			return nil
		})
	}
	_ = eg.Wait()
	g.endStartInquiry(done)
}

// endStartInquiry ends the start inquiry with the given channel if it has not ended.
func (g *Group) endStartInquiry(done chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.startInquiry == done {
		g.startInquiry = nil
		close(done)
	}
}

// startObservers returns the instances to ask at the beginning of a period of use.
func (g *Group) startObservers() []cwport.Observer {
	all := g.cfg.Observers()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	var out []cwport.Observer
	seen := make(map[bool]bool)
	for _, o := range all {
		if o.Ask != nil && !seen[o.Remote] && !g.source.Avoids(o.Name, now) {
			seen[o.Remote] = true
			out = append(out, o)
		}
	}
	return out
}

// knowsPrimary reports whether a primary is known that can be reached. The caller holds mu.
func (g *Group) knowsPrimary(time.Time) bool {
	p, ok := g.sup.View().Primary()
	return ok && p.Reachable
}

// AwaitReports marks the group as used. If that begins a period of use and no primary is
// known, it waits for the answers of observers, for at most cwevidence.AnswerTimeout.
func (g *Group) AwaitReports(ctx context.Context) {
	g.mu.Lock()
	now := g.cfg.Clock.Now()
	g.markUsed(now)
	done := g.startInquiry
	known := g.knowsPrimary(now)
	g.mu.Unlock()
	if done != nil && !known {
		g.awaitChange(ctx, done, cwevidence.AnswerTimeout)
	}
}
