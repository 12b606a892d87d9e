package cwnode

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/core/cwplace"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpool"
	"cicadawalk.example/cicadawalk/internal/proxy/cwwatch"
	"cicadawalk.example/cicadawalk/internal/wire/cwcodec"
	"cicadawalk.example/cicadawalk/internal/wire/cwpeer"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// Times of keeping the catalogue and the shares up to date.
const (
	// pollFast is how often the pollers read the table's revision, pollSlow how
	// often everybody else does, in case the heartbeats do not reach them.
	pollFast = time.Second
	pollSlow = 10 * time.Second
	// pollers is how many proxies poll fast, so that the table's reads do not
	// grow with the proxies.
	pollers = 3
	// sharesEvery is how often shares are worked out anew.
	sharesEvery = 100 * time.Millisecond
	// spareControl is the connections to a target that are set aside besides
	// one for each proxy: fresh probes, and cancel requests.
	spareControl = 2
)

// loopCatalogue reads the table for new revisions.
func (n *Node) loopCatalogue(ctx context.Context) error {
	for ctx.Err() == nil {
		n.pollTable(ctx)
		wait := pollSlow
		if !n.Ready() || cwplace.Rank(n.cfg.Instance, "catalogue", n.Live()) < pollers {
			wait = pollFast
		}
		if !n.Ready() {
			wait = pollFast / 5
		}
		n.pause(ctx, wait)
	}
	return nil
}

func (n *Node) pollTable(ctx context.Context) {
	n.mu.RLock()
	known := n.catalogue
	n.mu.RUnlock()
	next, err := n.store.Refresh(ctx, known)
	if err != nil {
		n.cfg.Log.Debug("tableAway", "error", err)
		if !n.Ready() {
			n.askPartners(ctx)
		}
		return
	}
	n.adopt(next)
	if !n.Ready() && next.Revision > 0 {
		// The table may serve an old row: whoever answers may know better.
		n.askPartners(ctx)
		n.synced.Store(true)
	}
}

// askPartners takes the highest revision among the partners that answer.
func (n *Node) askPartners(ctx context.Context) {
	for _, p := range n.partnerList() {
		if n.takeFrom(ctx, p) {
			n.synced.Store(true)
		}
	}
}

// takeFrom takes a partner's catalogue if it is newer. It returns whether the
// partner has one.
func (n *Node) takeFrom(ctx context.Context, p *cwpeer.Partner) bool {
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
		next, err = cwcodec.Decode(u.Document)
	case u.Base == known.Revision:
		next, err = cwcodec.Overlay(known, u.Changed, u.Revision)
	default:
		return false
	}
	if err != nil {
		return false
	}
	n.adopt(next)
	return true
}

// step is what one revision changed.
type step struct {
	revision cwcatalogue.Revision
	changed  map[string][]byte
}

// maxSteps is how many revisions back a proxy can tell its partners what
// changed; whoever is further behind gets the whole catalogue.
const maxSteps = 64

// remember keeps what the move from old to next changed. The caller holds mu.
func (n *Node) remember(old, next cwcatalogue.Catalogue) {
	changed, err := cwcodec.Changed(old, next)
	if err != nil || old.Revision == 0 {
		n.steps = nil
		return
	}
	n.steps = append(n.steps, step{revision: next.Revision, changed: changed})
	if len(n.steps) == 1 {
		n.stepsFrom = old.Revision
	}
	if len(n.steps) > maxSteps {
		n.stepsFrom = n.steps[0].revision
		n.steps = n.steps[1:]
	}
}

// CatalogueSince implements cwpeer.Handler.
func (n *Node) CatalogueSince(r cwcatalogue.Revision) (cwpeer.Update, error) {
	n.mu.RLock()
	c, steps, from := n.catalogue, n.steps, n.stepsFrom
	n.mu.RUnlock()
	u := cwpeer.Update{Base: r, Revision: c.Revision}
	if r >= c.Revision {
		return u, nil
	}
	if r == from || slices.ContainsFunc(steps, func(s step) bool { return s.revision == r }) {
		u.Changed = make(map[string][]byte)
		for _, s := range steps {
			if s.revision > r {
				maps.Copy(u.Changed, s.changed)
			}
		}
		if len(steps) > 0 {
			return u, nil
		}
	}
	var err error
	u.Document, err = cwcodec.Encode(c)
	return u, err
}

// adopt moves to a catalogue if its revision is higher, and to no other: a
// change that was accepted never reverts, whoever serves an old row.
func (n *Node) adopt(c cwcatalogue.Catalogue) {
	n.mu.Lock()
	if !c.NewerThan(n.catalogue) {
		n.mu.Unlock()
		return
	}
	old := n.catalogue
	n.remember(old, c)
	n.catalogue = c
	n.entries = make(map[string]cwcatalogue.Entry, len(c.Entries))
	for _, e := range c.Entries {
		n.entries[e.Service] = e
	}
	after := n.place(c)
	n.revision.Store(uint64(c.Revision))
	n.mu.Unlock()
	for _, f := range after {
		f()
	}
	n.cfg.Log.Info("catalogueInForce", "revision", c.Revision, "before", old.Revision)
	n.updateShares()
	go n.beat(n.run)
}

// place starts and stops groups and pools to match a catalogue. The caller
// holds mu, and calls what is returned once it does not: a group's lock is
// taken before mu, never after.
func (n *Node) place(c cwcatalogue.Catalogue) (after []func()) {
	wanted := make(map[string]bool)
	members := make(map[cwgroup.MemberID]bool)
	for _, e := range c.Entries {
		for _, g := range e.Groups {
			wanted[g.Name] = true
			for _, t := range g.Targets {
				members[t.ID] = true
				n.placePool(e, t)
			}
			after = append(after, n.placeGroup(c, e, g))
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
	return after
}

func (n *Node) placePool(e cwcatalogue.Entry, t cwcatalogue.Target) {
	if p, ok := n.pools[t.ID]; ok {
		if p.Address == t.Address && p.service == e.Service {
			return
		}
		p.Close()
	}
	n.pools[t.ID] = &poolState{
		service: e.Service,
		Pool: &cwpool.Pool{
			Address: t.Address,
			Startup: cwtarget.Startup{User: "cicadawalk", Database: e.Service, Application: "cicadawalk"},
			Clock:   n.cfg.Clock,
			Slots:   e.Contract.Slots,
		},
	}
}

func (n *Node) placeGroup(c cwcatalogue.Catalogue, e cwcatalogue.Entry, g cwcatalogue.Group) func() {
	var stopping []cwgroup.MemberID
	for _, t := range g.Targets {
		if c.HasPlannedStop(t.ID) {
			stopping = append(stopping, t.ID)
		}
	}
	if old, ok := n.groups[g.Name]; ok {
		if reflect.DeepEqual(old.spec, g) {
			return func() {
				old.SetContract(e.Contract)
				old.SetStopping(stopping)
			}
		}
		old.cancel()
	}
	ctx, cancel := context.WithCancel(n.run)
	live := cwwatch.New(cwwatch.Config{
		Self:      n.instanceID(),
		Service:   e.Service,
		Group:     g,
		Contract:  e.Contract,
		Distance:  n.distance,
		Clock:     n.cfg.Clock,
		Log:       n.cfg.Log,
		Table:     n.cfg.Table,
		Watchers:  n,
		Journal:   n.journal,
		Pools:     n,
		ClaimSeed: n.cfg.Seed,
	})
	n.groups[g.Name] = &runningGroup{Group: live, spec: g, cancel: cancel}
	return func() {
		live.SetStopping(stopping)
		n.groupsEG.Go(func() error { return live.Run(ctx) })
	}
}

func (n *Node) distance(dc string) time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.catalogue.LinkDelay(n.cfg.DataCentre, dc)
}

// loopShares keeps this proxy's shares of the targets' connections.
func (n *Node) loopShares(ctx context.Context) error {
	for ctx.Err() == nil {
		n.updateShares()
		n.noteDrained()
		n.takeGaps()
		n.pause(ctx, sharesEvery)
	}
	return nil
}

func (n *Node) updateShares() {
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	holders := n.holdersLocked()
	for id, p := range n.pools {
		e, ok := n.entries[p.service]
		if !ok {
			continue
		}
		s := cwlimit.ConnectionShares{Limit: e.Contract.Connections, Reserved: len(holders) + spareControl}
		p.held.ListLag = n.cfg.ListLag + 2*n.listIntervalLocked()
		share := p.held.Update(s.ShareOf(n.cfg.Instance, string(id), holders), now)
		p.SetLimits(share, e.Contract.QueueLimit)
	}
}

// noteDrained records in the audit trail when a target that is to be left in
// peace leads no group and has no more work of this proxy.
func (n *Node) noteDrained() {
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
		if !leads[id] && p.Stats().Busy == 0 {
			p.drained = true
			n.journal.Record("targetDrained", string(id), "in use", "left in peace")
		}
	}
}

func (n *Node) takeGaps() {
	for _, g := range n.groupList() {
		for _, gap := range g.TakeFailoverGaps() {
			n.gap.Update(gap.Seconds())
		}
	}
}

func (n *Node) groupList() []*cwwatch.Group {
	n.mu.RLock()
	defer n.mu.RUnlock()
	out := make([]*cwwatch.Group, 0, len(n.groups))
	for _, g := range n.groups {
		out = append(out, g.Group)
	}
	return out
}
