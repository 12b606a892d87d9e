package cwpeers

import (
	"context"
	"slices"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// quotaHashPrefix precedes the workspace in the hash key of its quota issuers, so that
// they differ from the holders of a group of the same name.
const quotaHashPrefix = "quota of "

// QuotaIssuers implements cwport.QuotaIssuers. It returns the issuers in other data
// centres if remote is true, and those in this data centre otherwise. Connected issuers
// come first. A request to one that is being connected waits for the connection; one
// that could not be connected is left out. Issuers of other data centres are rarely
// needed, so they are connected only when this method is called for them.
//
// When a workspace has used up the share of the issuers in its own data centre, most of
// its quota is with the others. If those without a connection were left out, each
// instance would refuse its first operations as over the quota.
func (p *Peers) QuotaIssuers(workspace string, remote bool) []cwport.QuotaIssuer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var out, connecting []cwport.QuotaIssuer
	for _, i := range p.quotaIssuers(workspace).order {
		if remote != (i.DataCentre != p.Self.DataCentre) {
			continue
		}
		if i == p.Self {
			out = append(out, cwport.QuotaIssuer{Name: i.ID})
			continue
		}
		l := p.link(i)
		l.keepOpen()
		issuer := cwport.QuotaIssuer{Name: i.ID, Remote: l}
		switch {
		case l.ensureConnected(now):
			out = append(out, issuer)
		case !l.unreachable():
			connecting = append(connecting, issuer)
		}
	}
	return append(out, connecting...)
}

// issuerList is the issuers of one workspace's quota.
type issuerList struct {
	// order is the order in which this instance asks them.
	order []cwholder.Instance
	// issuer is true if this instance is one of them.
	issuer bool
}

// quotaIssuers returns the issuers of a workspace's quota. The caller holds mu.
//
// Capacities don't count for them: builds that know no capacities would ask other
// issuers, and both would issue the whole quota.
func (p *Peers) quotaIssuers(workspace string) issuerList {
	if list, ok := p.issuers[workspace]; ok {
		return list
	}
	key := quotaHashPrefix + workspace
	holders := p.placement.PlainHolders(key, cwholder.TargetCapacity{})
	list := issuerList{
		order:  cwholder.ForwardingOrder(p.Self, key, holders),
		issuer: slices.ContainsFunc(holders, func(i cwholder.Instance) bool { return i.ID == p.Self.ID }),
	}
	if p.issuers == nil {
		p.issuers = make(map[string]issuerList)
	}
	p.issuers[workspace] = list
	return list
}

// QuotaListing implements cwport.QuotaIssuers.
func (p *Peers) QuotaListing(workspace string) cwquota.Listing {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.centreListed {
		return cwquota.Listing{}
	}
	return cwquota.Listing{
		Known: true, Issuer: p.quotaIssuers(workspace).issuer, GainedAt: p.gainedAt, AddedAt: p.addedAt,
	}
}

// recordAddition records that an instance was added. The issuers in a data centre depend
// only on the instances there. The caller holds mu.
func (p *Peers) recordAddition(i cwholder.Instance) {
	switch {
	case i.DataCentre != p.Self.DataCentre || !p.centreListed:
	case i.ID == p.Self.ID:
		p.gainedAt = p.Clock.Now()
	default:
		p.addedAt = p.Clock.Now()
	}
}

// recordRemoval records that an instance was removed. The caller holds mu.
func (p *Peers) recordRemoval(i cwholder.Instance) {
	if i.DataCentre == p.Self.DataCentre {
		p.gainedAt = p.Clock.Now()
	}
}

// recordNewcomer records that the table had no row of this instance when it started. It
// thus takes shards from other instances once its row is written.
func (p *Peers) recordNewcomer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newcomer = true
}

// recordFirstList records that the instances of this data centre are known. The caller
// holds mu.
func (p *Peers) recordFirstList() {
	if p.newcomer && !p.centreListed {
		p.gainedAt = p.Clock.Now()
	}
	p.centreListed = true
}

// AskQuota implements cwport.RemoteQuota. It waits for a connection attempt in progress.
func (l *link) AskQuota(ctx context.Context, r cwport.QuotaRequest) (cwport.QuotaDecision, error) {
	l.awaitDial(ctx)
	conn := l.acquire()
	defer l.release()
	if conn == nil {
		return cwport.QuotaDecision{}, &cwport.NoResponseError{Instance: l.remote.ID, NotSent: true, Cause: errNoAnswer}
	}
	v, err := conn.TakeQuota(ctx, r)
	if err == nil {
		l.recordAnswer()
	}
	return v, err
}

// ReturnQuota implements cwport.RemoteQuota.
func (l *link) ReturnQuota(ctx context.Context, workspace string, g cwport.QuotaGrant) error {
	conn := l.acquire()
	defer l.release()
	if conn == nil {
		return &cwport.NoResponseError{Instance: l.remote.ID, NotSent: true, Cause: errNoAnswer}
	}
	return conn.ReturnQuota(ctx, workspace, g)
}
