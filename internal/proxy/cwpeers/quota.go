package cwpeers

import (
	"context"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
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
	for _, i := range p.quotaIssuers(workspace) {
		if remote != (i.DataCentre != p.Self.DataCentre) {
			continue
		}
		if i == p.Self {
			out = append(out, cwport.QuotaIssuer{Name: i.ID})
			continue
		}
		l := p.link(i)
		l.keepOpen()
		issuer := cwport.QuotaIssuer{Name: i.ID, Ask: l.askQuota}
		switch {
		case l.ensureConnected(now):
			out = append(out, issuer)
		case !l.unreachable():
			connecting = append(connecting, issuer)
		}
	}
	return append(out, connecting...)
}

// quotaIssuers returns the issuers of a workspace's quota in the order in which this
// instance asks them. The caller holds mu.
//
// Capacities don't count for them. An issuer does not know whether it is one, so builds
// that know no capacities would ask other issuers, and both would issue the whole quota.
func (p *Peers) quotaIssuers(workspace string) []cwholder.Instance {
	if list, ok := p.issuers[workspace]; ok {
		return list
	}
	key := quotaHashPrefix + workspace
	list := cwholder.ForwardingOrder(p.Self, key, p.placement.PlainHolders(key, cwholder.TargetCapacity{}))
	if p.issuers == nil {
		p.issuers = make(map[string][]cwholder.Instance)
	}
	p.issuers[workspace] = list
	return list
}

// askQuota asks the remote instance to admit one operation of a workspace, after a
// connection attempt in progress has ended.
func (l *link) askQuota(ctx context.Context, workspace string) (cwport.QuotaDecision, error) {
	l.awaitDial(ctx)
	conn := l.acquire()
	defer l.release()
	if conn == nil {
		return cwport.QuotaDecision{}, &cwport.NoResponseError{Instance: l.remote.ID, NotSent: true, Cause: errNoAnswer}
	}
	v, err := conn.TakeQuota(ctx, workspace)
	if err == nil {
		l.recordAnswer()
	}
	return v, err
}
