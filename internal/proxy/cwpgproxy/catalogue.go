package cwpgproxy

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/core/cwrendezvous"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmonitor"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpgpool"
	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguejson"
	"cicadawalk.example/cicadawalk/internal/wire/cwpeer"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// Intervals and limits of updating the catalogue and the connection shares.
const (
	// fastPollInterval is the interval at which fastPollers of the proxies read the
	// table's revision. The others learn of a new revision from heartbeats, and read
	// the table at slowPollInterval in case heartbeats don't reach them.
	fastPollInterval = time.Second
	slowPollInterval = 10 * time.Second
	// fastPollers is the number of proxies that poll at fastPollInterval. It is fixed,
	// so that the reads of the table don't grow with the number of proxies.
	fastPollers = 3
	// sharesInterval is the interval at which connection shares are recomputed.
	sharesInterval = 100 * time.Millisecond
	// extraControlConns is the number of connections to a target that are reserved, in
	// addition to one for each proxy, for probes on new connections and for cancel
	// requests.
	extraControlConns = 2
)

// loopCatalogue polls the table for new revisions until ctx ends. It always returns
// nil.
func (n *Node) loopCatalogue(ctx context.Context) error {
	for ctx.Err() == nil {
		n.pollTable(ctx)
		wait := slowPollInterval
		if !n.Ready() || cwrendezvous.Rank(n.cfg.Instance, "catalogue", n.Live()) < fastPollers {
			wait = fastPollInterval
		}
		if !n.Ready() {
			wait = fastPollInterval / 5
		}
		n.sleep(ctx, wait)
	}
	return nil
}

// pollTable reads the catalogue from the table. Until the node is ready, it also asks
// the partners.
func (n *Node) pollTable(ctx context.Context) {
	n.mu.RLock()
	known := n.catalogue
	n.mu.RUnlock()
	next, err := n.store.Refresh(ctx, known)
	if err != nil {
		n.cfg.Log.Debug("tableAway", "error", err)
		if !n.Ready() {
			n.fetchFromPartners(ctx)
		}
		return
	}
	n.applyIfNewer(next)
	if !n.Ready() && next.Revision > 0 {
		// The table may return an outdated row, and a partner may have a later revision.
		n.fetchFromPartners(ctx)
		n.catalogueLoaded.Store(true)
	}
}

// fetchFromPartners requests the catalogue from all partners and applies the highest
// revision.
func (n *Node) fetchFromPartners(ctx context.Context) {
	for _, p := range n.partnerList() {
		if n.fetchCatalogue(ctx, p) {
			n.catalogueLoaded.Store(true)
		}
	}
}

// fetchCatalogue requests a partner's catalogue and applies it if it is newer. It
// reports whether the partner has a catalogue that could be read.
func (n *Node) fetchCatalogue(ctx context.Context, p *cwpeer.Partner) bool {
	n.mu.RLock()
	known := n.catalogue
	n.mu.RUnlock()
	u, err := p.CatalogueSince(ctx, known.Revision)
	if err != nil || u.Revision == 0 {
		return false
	}
	if u.Revision <= known.Revision {
		return true
	}
	var next cwcatalogue.Catalogue
	switch {
	case len(u.Document) > 0:
		next, err = cwcataloguejson.Decode(u.Document)
	case u.Base == known.Revision:
		next, err = cwcataloguejson.ApplyParts(known, u.Changed, u.Revision)
	default:
		return false
	}
	if err != nil {
		return false
	}
	n.applyIfNewer(next)
	return true
}

// revisionChange is the parts of the catalogue that one revision changed, encoded.
type revisionChange struct {
	revision cwcatalogue.Revision
	changed  map[string][]byte
}

// maxRevisionChanges is the number of latest revisions whose changes are kept. A
// partner that is further behind gets the whole catalogue.
const maxRevisionChanges = 64

// recordChange appends the difference between old and next to changes. The caller holds
// mu.
func (n *Node) recordChange(old, next cwcatalogue.Catalogue) {
	changed, err := cwcataloguejson.ChangedParts(old, next)
	if err != nil || old.Revision == 0 {
		n.changes = nil
		return
	}
	n.changes = append(n.changes, revisionChange{revision: next.Revision, changed: changed})
	if len(n.changes) == 1 {
		n.changesBase = old.Revision
	}
	if len(n.changes) > maxRevisionChanges {
		n.changesBase = n.changes[0].revision
		n.changes = n.changes[1:]
	}
}

// CatalogueSince implements cwpeer.Handler.
func (n *Node) CatalogueSince(r cwcatalogue.Revision) (cwpeer.Update, error) {
	n.mu.RLock()
	c, changes, base := n.catalogue, n.changes, n.changesBase
	n.mu.RUnlock()
	u := cwpeer.Update{Base: r, Revision: c.Revision}
	if r >= c.Revision {
		return u, nil
	}
	if r == base || slices.ContainsFunc(changes, func(s revisionChange) bool { return s.revision == r }) {
		u.Changed = make(map[string][]byte)
		for _, s := range changes {
			if s.revision > r {
				maps.Copy(u.Changed, s.changed)
			}
		}
		if len(changes) > 0 {
			return u, nil
		}
	}
	var err error
	u.Document, err = cwcataloguejson.Encode(c)
	return u, err
}

// applyIfNewer applies a catalogue if its revision is higher than the current one.
// An older one is ignored, so that an outdated row of the table or an outdated partner
// never reverts a change that was accepted.
func (n *Node) applyIfNewer(c cwcatalogue.Catalogue) {
	n.mu.Lock()
	if !c.NewerThan(n.catalogue) {
		n.mu.Unlock()
		return
	}
	old := n.catalogue
	n.recordChange(old, c)
	n.catalogue = c
	n.entries = make(map[string]cwcatalogue.Entry, len(c.Entries))
	for _, e := range c.Entries {
		n.entries[e.Service] = e
	}
	startAfterUnlock := n.reconcile(c)
	n.revision.Store(uint64(c.Revision))
	n.mu.Unlock()
	for _, f := range startAfterUnlock {
		f()
	}
	n.cfg.Log.Info("catalogueInForce", "revision", c.Revision, "before", old.Revision)
	n.updateShares()
	go n.sendHeartbeats(n.runCtx)
}

// reconcile creates and removes groups and pools to match a catalogue. The caller holds
// mu, and calls the returned functions after it has released mu: they take the locks
// of groups, which are taken before mu, never while it is held.
func (n *Node) reconcile(c cwcatalogue.Catalogue) (startAfterUnlock []func()) {
	wanted := make(map[string]bool)
	members := make(map[cwgroup.MemberID]bool)
	for _, e := range c.Entries {
		for _, g := range e.Groups {
			wanted[g.Name] = true
			for _, t := range g.Targets {
				members[t.ID] = true
				n.reconcilePool(e, t)
			}
			startAfterUnlock = append(startAfterUnlock, n.reconcileGroup(c, e, g))
		}
	}
	for name, g := range n.groups {
		if !wanted[name] {
			g.cancel()
			delete(n.groups, name)
		}
	}
	for id, p := range n.pools {
		if !members[id] {
			p.Close()
			delete(n.pools, id)
		}
	}
	return startAfterUnlock
}

// reconcilePool creates the pool of a target if there is none, or replaces it if its
// address or service changed. The caller holds mu.
func (n *Node) reconcilePool(e cwcatalogue.Entry, t cwcatalogue.Target) {
	if p, ok := n.pools[t.ID]; ok {
		if p.Address == t.Address && p.service == e.Service {
			return
		}
		p.Close()
	}
	n.pools[t.ID] = &poolState{
		service: e.Service,
		Pool: &cwpgpool.Pool{
			Address: t.Address,
			Startup: cwtarget.Startup{User: "cicadawalk", Database: e.Service, Application: "cicadawalk"},
			Clock:   n.cfg.Clock,
			Slots:   e.Contract.Slots,
		},
	}
}

// reconcileGroup creates a group if there is none, or replaces it if its members changed.
// It returns the function that starts or updates the group, to be called without mu. The
// caller holds mu.
func (n *Node) reconcileGroup(c cwcatalogue.Catalogue, e cwcatalogue.Entry, g cwcatalogue.Group) func() {
	var stopping []cwgroup.MemberID
	for _, t := range g.Targets {
		if c.HasPlannedStop(t.ID) {
			stopping = append(stopping, t.ID)
		}
	}
	old, replaces := n.groups[g.Name]
	if replaces {
		if reflect.DeepEqual(old.spec, g) {
			return func() {
				old.SetContract(e.Contract)
				old.SetStopping(stopping)
			}
		}
		old.cancel()
	}
	ctx, cancel := context.WithCancel(n.runCtx)
	group := cwmonitor.New(cwmonitor.Config{
		Self:      n.instanceID(),
		Service:   e.Service,
		Group:     g,
		Contract:  e.Contract,
		Distance:  n.distance,
		Clock:     n.cfg.Clock,
		Log:       n.cfg.Log,
		Table:     n.cfg.Table,
		Watchers:  n,
		Journal:   n.audit,
		Pools:     n,
		ClaimSeed: n.cfg.RunID,
	})
	n.groups[g.Name] = &runningGroup{Group: group, spec: g, cancel: cancel}
	return func() {
		if replaces {
			group.Replace(old.Group)
		}
		group.SetStopping(stopping)
		n.groupsEG.Go(func() error { return group.Run(ctx) })
	}
}

// distance returns the one-way delay between this instance's data centre and another, as
// the catalogue has it.
func (n *Node) distance(dc string) time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.catalogue.LinkDelay(n.cfg.DataCentre, dc)
}

// loopShares updates this proxy's shares of the targets' connections, the audit trail
// and the failover metric until ctx ends. It always returns nil.
func (n *Node) loopShares(ctx context.Context) error {
	for ctx.Err() == nil {
		n.updateShares()
		n.recordDrained()
		n.observeFailoverGaps()
		n.sleep(ctx, sharesInterval)
	}
	return nil
}

// updateShares recomputes this proxy's share of each target's connections.
func (n *Node) updateShares() {
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	holders := n.connectionHoldersLocked()
	for id, p := range n.pools {
		e, ok := n.entries[p.service]
		if !ok {
			continue
		}
		s := cwlimit.ConnectionShares{Limit: e.Contract.Connections, Reserved: len(holders) + extraControlConns}
		p.delayedShare.ListLag = n.cfg.ListLag + 2*n.listIntervalLocked()
		share := p.delayedShare.Update(s.ShareOf(n.cfg.Instance, string(id), holders), now)
		p.SetLimits(share, e.Contract.QueueLimit)
	}
}

// recordDrained records in the audit trail when a target with a planned stop is no
// longer a primary and has no statements of this proxy in progress.
func (n *Node) recordDrained() {
	leads := make(map[cwgroup.MemberID]bool)
	for _, g := range n.groupList() {
		if p, ok := g.View().Primary(); ok {
			leads[p.Member] = true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, p := range n.pools {
		stopping := n.catalogue.HasPlannedStop(id)
		if !stopping || p.drained {
			p.drained = stopping && p.drained
			continue
		}
		if !leads[id] && p.Stats().InFlight == 0 {
			p.drained = true
			n.audit.Record("targetDrained", string(id), "in use", "left in peace")
		}
	}
}

func (n *Node) observeFailoverGaps() {
	for _, g := range n.groupList() {
		for _, gap := range g.TakeFailoverGaps() {
			n.failoverGap.Update(gap.Seconds())
		}
	}
}

func (n *Node) groupList() []*cwmonitor.Group {
	n.mu.RLock()
	defer n.mu.RUnlock()
	out := make([]*cwmonitor.Group, 0, len(n.groups))
	for _, g := range n.groups {
		out = append(out, g.Group)
	}
	return out
}
