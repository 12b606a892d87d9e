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

// contentionPeriod is the time for which a group counts as contended after statements
// waited for its members. Workspaces that moved back and forth between holders would open
// more connections than either choice.
const contentionPeriod = 5 * time.Second

// Holder implements cwport.Holders. With many groups it waits up to maxConnectWait for
// a connection.
func (p *Peers) Holder(group string, d cwholder.TargetCapacity, tried []string) (cwport.Holder, bool) {
	return p.WorkspaceHolder("", group, d, tried)
}

// WorkspaceHolder implements cwport.WorkspaceHolders.
func (p *Peers) WorkspaceHolder(workspace, group string, d cwholder.TargetCapacity, tried []string) (cwport.Holder, bool) {
	end := p.Clock.Now().Add(maxConnectWait)
	for {
		c := p.choose(workspace, group, d, tried)
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
func (p *Peers) choose(workspace, group string, d cwholder.TargetCapacity, tried []string) choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	route := p.withoutCutOff(p.route(group, d))
	if slices.Contains(tried, p.Self.ID) {
		return choice{link: p.helper(group, route, tried, now)}
	}
	if workspace != "" && !d.ManyGroups {
		return choice{link: p.chooseByWorkspace(workspace, group, route, tried, now)}
	}
	route = beforeSelf(route, p.Self)
	if d.ManyGroups {
		return p.chooseOnDemand(route, tried, now)
	}
	return choice{link: p.firstUsable(route, tried, now)}
}

// firstUsable returns the link to the first untried holder of a route to which statements
// can be forwarded now; nil if there is none. The caller holds mu.
func (p *Peers) firstUsable(route []cwholder.Instance, tried []string, now time.Time) *link {
	for _, i := range route {
		if l := p.link(i); !slices.Contains(tried, i.ID) && l.ensureUsable(now) {
			return l
		}
	}
	return nil
}

// beforeSelf returns the holders that precede this instance, which runs the statements
// that none of them takes.
func beforeSelf(order []cwholder.Instance, self cwholder.Instance) []cwholder.Instance {
	if n := slices.Index(order, self); n >= 0 {
		return order[:n]
	}
	return order
}

// chooseByWorkspace returns the link to the holder that a workspace prefers, or to the
// next one if it is not available; nil if this instance runs the statement itself. The
// caller holds mu.
//
// While statements wait for the members of the group, all instances prefer the same
// holder, whatever its data centre. Otherwise, and while the path to other data centres is
// in doubt, instances prefer one in their own data centre, so that their statements do not
// depend on that path, and holders run the statements of their callers.
func (p *Peers) chooseByWorkspace(workspace, group string, route []cwholder.Instance, tried []string, now time.Time) *link {
	contended := now.Before(p.contendedUntil[group])
	if !contended && slices.Contains(route, p.Self) {
		return nil
	}
	preferred, others := route, []cwholder.Instance(nil)
	if !contended || p.PathSuspected != nil && p.PathSuspected() {
		preferred, others = p.byDistance(route)
	}
	affinity := p.affinity(group)
	order := append(affinity.Order(workspace, group, preferred, now), others...)
	preceding := beforeSelf(order, p.Self)
	l := p.firstUsable(preceding, tried, now)
	switch {
	case l != nil:
		affinity.Record(l.remote.ID, now)
	case len(preceding) < len(order):
		affinity.Record(p.Self.ID, now)
	}
	return l
}

// byDistance returns the instances in this data centre, and the others.
func (p *Peers) byDistance(route []cwholder.Instance) (near, far []cwholder.Instance) {
	for _, i := range route {
		if i.DataCentre == p.Self.DataCentre {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	return near, far
}

// recordContended records that statements wait for the members of a group.
func (p *Peers) recordContended(group string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.contendedUntil == nil {
		p.contendedUntil = make(map[string]time.Time)
	}
	p.contendedUntil[group] = p.Clock.Now().Add(contentionPeriod)
}

// affinity returns the distribution of the workspaces of a group. The caller holds mu.
func (p *Peers) affinity(group string) *cwholder.WorkspaceAffinity {
	a := p.affinities[group]
	if a == nil {
		a = &cwholder.WorkspaceAffinity{}
		if p.affinities == nil {
			p.affinities = make(map[string]*cwholder.WorkspaceAffinity)
		}
		p.affinities[group] = a
	}
	return a
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
