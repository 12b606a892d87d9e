package cwpgproxy

import (
	"context"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwrendezvous"
	"cicadawalk.example/cicadawalk/internal/proxy/cwserver"
	"cicadawalk.example/cicadawalk/internal/wire/cwpeer"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

const (
	// An instance reads the platform's list of instances at an interval of
	// listIntervalPerInstance for each listed instance, and at least minListInterval, so
	// that all of them together read it at most 200 times a second.
	minListInterval         = 500 * time.Millisecond
	listIntervalPerInstance = 5 * time.Millisecond
	// maxPartners is the maximum number of other proxies to which a proxy keeps a
	// connection.
	maxPartners = 4
)

// loopInstances polls the platform's list of instances until ctx ends. While the
// platform is unavailable, the last list stays in force. It always returns nil.
func (n *Node) loopInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		if list, err := n.cfg.Instances.Instances(ctx); err == nil {
			n.mu.Lock()
			n.setInstances(list)
			n.mu.Unlock()
		}
		n.choosePartners()
		n.sleep(ctx, n.listInterval())
	}
	return nil
}

// listInterval returns the interval at which the platform's list is read.
func (n *Node) listInterval() time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.listIntervalLocked()
}

func (n *Node) listIntervalLocked() time.Duration {
	return max(minListInterval, time.Duration(len(n.instances))*listIntervalPerInstance)
}

// choosePartners selects up to maxPartners listed proxies by rendezvous hashing, or
// those in the settings while none is listed, and closes the connections to others.
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
	for _, id := range cwrendezvous.First(n.cfg.Instance, ids, maxPartners) {
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

// loopHeartbeat sends heartbeats to the partners until ctx ends. It always returns
// nil.
func (n *Node) loopHeartbeat(ctx context.Context) error {
	for ctx.Err() == nil {
		n.sendHeartbeats(ctx)
		n.sleep(ctx, cwpeer.HeartbeatInterval)
	}
	return nil
}

// sendHeartbeats sends a heartbeat with this proxy's revision and votes to each
// partner, without waiting for the results.
func (n *Node) sendHeartbeats(ctx context.Context) {
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

// Publish implements cwmonitor.PeerWatchers. It sends a changed vote at once.
func (n *Node) Publish() { n.sendHeartbeats(n.runCtx) }

// Heartbeat implements cwpeer.Handler. If the partner has a higher revision, it
// requests its catalogue.
func (n *Node) Heartbeat(h cwpeer.Heartbeat) {
	for name, v := range h.Votes {
		if g, ok := n.Group(name); ok {
			g.ObserveVote(v)
		}
	}
	if uint64(h.Revision) > n.revision.Load() {
		go n.fetchFromInstance(h.Instance)
	}
}

// fetchFromInstance requests the catalogue from an instance if that is a partner. It
// does nothing while another such request is in progress.
func (n *Node) fetchFromInstance(id cwfailover.InstanceID) {
	n.mu.Lock()
	i := slices.IndexFunc(n.instances, func(i cwplatform.Instance) bool { return i.ID == string(id) })
	if i < 0 || n.fetching {
		n.mu.Unlock()
		return
	}
	n.fetching = true
	p := n.partners[n.instances[i].Peer]
	n.mu.Unlock()
	if p != nil && n.fetchCatalogue(n.runCtx, p) {
		n.catalogueLoaded.Store(true)
	}
	n.mu.Lock()
	n.fetching = false
	n.mu.Unlock()
}

// CancelLocal implements cwpeer.Handler.
func (n *Node) CancelLocal(pid uint32, secret []byte) { n.server.CancelSession(pid, secret) }

// Allowed implements cwpeer.Handler. Only instances in the platform's list may send
// messages to this proxy. Until the list was read, any instance may, so that proxies
// that start while the platform is unavailable can exchange the catalogue.
func (n *Node) Allowed(id cwfailover.InstanceID) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if !n.instancesListed {
		return true
	}
	return slices.ContainsFunc(n.instances, func(i cwplatform.Instance) bool { return i.ID == string(id) })
}

// ForwardCancel implements cwserver.Proxy. The other proxy need not be a partner,
// so the request is sent on a new connection.
func (n *Node) ForwardCancel(pid uint32, secret []byte) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for _, i := range n.instances {
		if i.ID == n.cfg.Instance || i.Peer == "" || cwserver.InstanceTag(i.ID) != cwserver.ProcessIDTag(pid) {
			continue
		}
		go n.sendCancel(&cwpeer.Partner{Self: n.instanceID(), Address: i.Peer}, pid, secret)
	}
}

func (n *Node) sendCancel(p *cwpeer.Partner, pid uint32, secret []byte) {
	defer p.Close()
	_ = p.Cancel(n.runCtx, pid, secret)
}
