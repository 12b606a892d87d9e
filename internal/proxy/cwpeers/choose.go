package cwpeers

import (
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// connectWait is how long a statement of one of many groups waits at most for a
// connection to a holder before it runs here: some round trips between data centres, and
// a busy instance's queue.
const connectWait = 200 * time.Millisecond

// Holder implements cwport.Holders.
func (p *Peers) Holder(group string, d cwholder.Demand, tried []string) (cwport.Holder, bool) {
	end := p.Clock.Now().Add(connectWait)
	for {
		c := p.choose(group, d, tried)
		if c.link != nil {
			return c.link, true
		}
		if c.pending == nil || !p.await(c, end) {
			return nil, false
		}
	}
}

// choice is who takes a statement.
type choice struct {
	// link is to the holder that does; nil if there is none now.
	link *link
	// pending is closed when a connection to a holder may have come about that is worth
	// waiting for; nil if there is none. After spare the next holder is connected, too.
	pending <-chan struct{}
	spare   time.Duration
}

// choose chooses the holder that takes a statement.
func (p *Peers) choose(group string, d cwholder.Demand, tried []string) choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	route := p.route(group, d)
	if slices.Contains(tried, p.Self.ID) {
		return choice{link: p.helper(group, route, tried, now)}
	}
	if n := slices.Index(route, p.Self); n >= 0 {
		route = route[:n]
	}
	if d.Many {
		return p.chooseOnDemand(route, tried, now)
	}
	for _, i := range route {
		if l := p.link(i); !slices.Contains(tried, i.ID) && l.usable(now) {
			return choice{link: l}
		}
	}
	return choice{}
}

// helper returns the link to an instance that takes a statement which this one cannot
// run; nil if there is none now. The caller holds mu.
func (p *Peers) helper(group string, route []cwholder.Instance, tried []string, now time.Time) *link {
	if l, ok := p.links[p.helpers[group]]; ok && !slices.Contains(tried, l.to.ID) && l.usable(now) && l.fresh(now) {
		return l
	}
	for _, i := range route {
		if slices.Contains(tried, i.ID) || i == p.Self {
			continue
		}
		if l := p.link(i); l.usable(now) && l.fresh(now) {
			p.noteHelper(group, i.ID)
			return l
		}
	}
	return nil
}

// chooseOnDemand chooses among holders that are not connected before they are needed, and
// connects one if the choice is so. The caller holds mu.
func (p *Peers) chooseOnDemand(route []cwholder.Instance, tried []string, now time.Time) choice {
	var left []*link
	var states []cwholder.LinkState
	for _, i := range route {
		if !slices.Contains(tried, i.ID) {
			l := p.link(i)
			left, states = append(left, l), append(states, l.state(now))
		}
	}
	c := cwholder.Choose(states)
	if c.Use != 0 && len(left) > 0 {
		// The first choice is tried again while others take its statements.
		left[0].connected(now)
	}
	if c.Use >= 0 {
		return choice{link: left[c.Use]}
	}
	if c.Connect >= 0 {
		left[c.Connect].connected(now)
	}
	if !c.Wait {
		return choice{}
	}
	if p.dialled == nil {
		p.dialled = make(chan struct{})
	}
	return choice{pending: p.dialled, spare: c.Spare}
}

// await waits until there may be another choice, and returns false at the end.
func (p *Peers) await(c choice, end time.Time) bool {
	left := end.Sub(p.Clock.Now())
	if left <= 0 {
		return false
	}
	if c.spare > 0 {
		left = min(left, c.spare)
	}
	t := p.Clock.NewTimer(left)
	defer t.Stop()
	select {
	case <-c.pending:
	case <-t.Chan():
	}
	return true
}

// noteDialled wakes the statements that wait for a connection.
func (p *Peers) noteDialled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialled != nil {
		close(p.dialled)
		p.dialled = nil
	}
}

// noteHelper notes who is asked for help. One that cannot help is avoided for a
// while, and another one takes its place. The caller holds mu.
func (p *Peers) noteHelper(group, name string) {
	if p.helpers == nil {
		p.helpers = make(map[string]string)
	}
	p.helpers[group] = name
}
