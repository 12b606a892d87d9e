package cwpeers

import (
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// maxConnectWait is how long a statement of one of many groups waits at most for a
// connection to a holder before it runs on this instance: some round trips between
// data centres and the queue of a busy instance.
const maxConnectWait = 200 * time.Millisecond

// Holder implements cwport.Holders. With many groups it waits up to maxConnectWait for
// a connection.
func (p *Peers) Holder(group string, d cwholder.TargetCapacity, tried []string) (cwport.Holder, bool) {
	end := p.Clock.Now().Add(maxConnectWait)
	for {
		c := p.choose(group, d, tried)
		if c.link != nil {
			return c.link, true
		}
		if c.dialEnded == nil || !p.awaitDial(c, end) {
			return nil, false
		}
	}
}

// choice is the result of choosing a holder for a statement.
type choice struct {
	// link leads to the chosen holder; nil if none is available now.
	link *link
	// dialEnded is closed when a connection attempt has ended, after which to choose
	// again; nil if no attempt is worth waiting for. If nextHolderAfter is positive, the
	// next holder is connected as well when it has passed.
	dialEnded       <-chan struct{}
	nextHolderAfter time.Duration
}

// choose chooses the holder that runs a statement. A list of tried instances that
// contains this one means that it cannot run the statement itself.
func (p *Peers) choose(group string, d cwholder.TargetCapacity, tried []string) choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	route := p.withoutCutOff(p.route(group, d))
	if slices.Contains(tried, p.Self.ID) {
		return choice{link: p.helper(group, route, tried, now)}
	}
	if n := slices.Index(route, p.Self); n >= 0 {
		route = route[:n]
	}
	if d.ManyGroups {
		return p.chooseOnDemand(route, tried, now)
	}
	for _, i := range route {
		if l := p.link(i); !slices.Contains(tried, i.ID) && l.ensureUsable(now) {
			return choice{link: l}
		}
	}
	return choice{}
}

// helper returns the link to an instance that can run a statement which this one
// cannot; nil if none is available now. The caller holds mu.
func (p *Peers) helper(group string, route []cwholder.Instance, tried []string, now time.Time) *link {
	if l, ok := p.links[p.lastHelper[group]]; ok && !slices.Contains(tried, l.remote.ID) && l.ensureUsable(now) && l.answeredRecently(now) {
		return l
	}
	for _, i := range route {
		if slices.Contains(tried, i.ID) || i == p.Self {
			continue
		}
		if l := p.link(i); l.ensureUsable(now) && l.answeredRecently(now) {
			p.setHelper(group, i.ID)
			return l
		}
	}
	return nil
}

// chooseOnDemand chooses among holders that are not connected in advance, and starts
// to connect one if necessary. The caller holds mu.
func (p *Peers) chooseOnDemand(route []cwholder.Instance, tried []string, now time.Time) choice {
	var untried []*link
	var states []cwholder.ConnectionState
	for _, i := range route {
		if !slices.Contains(tried, i.ID) {
			l := p.link(i)
			untried, states = append(untried, l), append(states, l.state(now))
		}
	}
	c := cwholder.ChooseHolder(states)
	if c.Use != 0 && len(untried) > 0 {
		// Reconnect to the preferred holder while others run its statements.
		untried[0].ensureConnected(now)
	}
	if c.Use >= 0 {
		return choice{link: untried[c.Use]}
	}
	if c.Connect >= 0 {
		untried[c.Connect].ensureConnected(now)
	}
	if !c.Wait {
		return choice{}
	}
	if p.anyDialEnded == nil {
		p.anyDialEnded = make(chan struct{})
	}
	return choice{dialEnded: p.anyDialEnded, nextHolderAfter: c.HedgeAfter}
}

// awaitDial waits until it is time to choose again, and returns false if end has
// already passed.
func (p *Peers) awaitDial(c choice, end time.Time) bool {
	wait := end.Sub(p.Clock.Now())
	if wait <= 0 {
		return false
	}
	if c.nextHolderAfter > 0 {
		wait = min(wait, c.nextHolderAfter)
	}
	t := p.Clock.NewTimer(wait)
	defer t.Stop()
	select {
	case <-c.dialEnded:
	case <-t.Chan():
	}
	return true
}

// wakeDialWaiters wakes the statements that wait for a connection.
func (p *Peers) wakeDialWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.anyDialEnded != nil {
		close(p.anyDialEnded)
		p.anyDialEnded = nil
	}
}

// setHelper records the instance that is asked for help with a group. One that cannot
// help is avoided for a while (see avoidFor), and another one replaces it. The caller
// holds mu.
func (p *Peers) setHelper(group, name string) {
	if p.lastHelper == nil {
		p.lastHelper = make(map[string]string)
	}
	p.lastHelper[group] = name
}
