package cwnode

import (
	"context"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwplace"
	"cicadawalk.example/cicadawalk/internal/proxy/cwfront"
	"cicadawalk.example/cicadawalk/internal/wire/cwpeer"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

const (
	// listEvery is the least time between two looks at the platform's list, and
	// listEachEvery what each instance adds, so that all of them together read
	// it at most 200 times a second.
	listEvery     = 500 * time.Millisecond
	listEachEvery = 5 * time.Millisecond
	// maxPartners is how many other proxies a proxy keeps talking to.
	maxPartners = 4
)

// loopInstances reads the platform's list of instances. While the platform is
// away the last list stays.
func (n *Node) loopInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		if list, err := n.cfg.Instances.Instances(ctx); err == nil {
			n.mu.Lock()
			n.setInstances(list)
			n.mu.Unlock()
		}
		n.choosePartners()
		n.pause(ctx, n.listInterval())
	}
	return nil
}

// listInterval is the time between two looks at the platform's list.
func (n *Node) listInterval() time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.listIntervalLocked()
}

func (n *Node) listIntervalLocked() time.Duration {
	return max(listEvery, time.Duration(len(n.instances))*listEachEvery)
}

// choosePartners keeps connections to a few other proxies: those of the list by
// rendezvous order, or those of the settings while there is no list.
func (n *Node) choosePartners() {
	n.mu.Lock()
	defer n.mu.Unlock()
	byID := make(map[string]string)
	var ids []string
	for _, i := range n.instances {
		if i.ID != n.cfg.Instance && i.Peer != "" {
			byID[i.ID] = i.Peer
			ids = append(ids, i.ID)
		}
	}
	wanted := make(map[string]bool)
	for _, id := range cwplace.First(n.cfg.Instance, ids, maxPartners) {
		wanted[byID[id]] = true
	}
	if len(wanted) == 0 {
		for _, a := range n.cfg.Peers {
			wanted[a] = true
		}
	}
	for addr, p := range n.partners {
		if !wanted[addr] {
			p.Close()
			delete(n.partners, addr)
		}
	}
	for addr := range wanted {
		if n.partners[addr] == nil {
			n.partners[addr] = &cwpeer.Partner{Self: n.instanceID(), Address: addr}
		}
	}
}

func (n *Node) partnerList() []*cwpeer.Partner {
	n.mu.RLock()
	defer n.mu.RUnlock()
	out := make([]*cwpeer.Partner, 0, len(n.partners))
	for _, p := range n.partners {
		out = append(out, p)
	}
	return out
}

// loopHeartbeat tells the partners that this proxy is there.
func (n *Node) loopHeartbeat(ctx context.Context) error {
	for ctx.Err() == nil {
		n.beat(ctx)
		n.pause(ctx, cwpeer.Interval)
	}
	return nil
}

// beat sends one heartbeat to each partner, without waiting for slow ones.
func (n *Node) beat(ctx context.Context) {
	h := cwpeer.Heartbeat{Instance: n.instanceID(), Votes: make(map[string]cwfailover.Vote)}
	h.Revision = cwcatalogue.Revision(n.revision.Load())
	for _, g := range n.groupList() {
		if v := g.Vote(); v.Term > 0 {
			h.Votes[g.Name()] = v
		}
	}
	for _, p := range n.partnerList() {
		go func() { _ = p.Heartbeat(ctx, h) }()
	}
}

// Publish implements cwwatch.PeerWatchers: a vote that changed is told at once.
func (n *Node) Publish() { n.beat(n.run) }

// Heartbeat implements cwpeer.Handler.
func (n *Node) Heartbeat(h cwpeer.Heartbeat) {
	for name, v := range h.Votes {
		if g, ok := n.Group(name); ok {
			g.ObserveVote(v)
		}
	}
	if uint64(h.Revision) > n.revision.Load() {
		go n.fetchFrom(h.Instance)
	}
}

// fetchFrom asks an instance that has a higher revision for its catalogue.
func (n *Node) fetchFrom(id cwfailover.InstanceID) {
	n.mu.Lock()
	i := slices.IndexFunc(n.instances, func(i cwplatform.Instance) bool { return i.ID == string(id) })
	if i < 0 || n.fetching {
		n.mu.Unlock()
		return
	}
	n.fetching = true
	p := n.partners[n.instances[i].Peer]
	n.mu.Unlock()
	if p != nil && n.takeFrom(n.run, p) {
		n.synced.Store(true)
	}
	n.mu.Lock()
	n.fetching = false
	n.mu.Unlock()
}

// Cancel implements cwpeer.Handler.
func (n *Node) Cancel(pid uint32, secret []byte) { n.server.CancelSession(pid, secret) }

// Admits implements cwpeer.Handler: only instances that the platform lists may
// speak to this proxy. Before the first list everybody may, so that proxies
// that start while the platform is away find each other.
func (n *Node) Admits(id cwfailover.InstanceID) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if !n.listed {
		return true
	}
	return slices.ContainsFunc(n.instances, func(i cwplatform.Instance) bool { return i.ID == string(id) })
}

// ForwardCancel implements cwfront.Proxy. The other proxy need not be a
// partner; it is called over a connection of its own.
func (n *Node) ForwardCancel(pid uint32, secret []byte) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for _, i := range n.instances {
		if i.ID == n.cfg.Instance || i.Peer == "" || cwfront.InstanceTag(i.ID) != cwfront.ProcessIDTag(pid) {
			continue
		}
		go n.runCancel(&cwpeer.Partner{Self: n.instanceID(), Address: i.Peer}, pid, secret)
	}
}

func (n *Node) runCancel(p *cwpeer.Partner, pid uint32, secret []byte) {
	defer p.Close()
	_ = p.Cancel(n.run, pid, secret)
}
