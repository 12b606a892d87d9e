package cwpeers

import (
	"context"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// quotaKey is what the issuers of a workspace's quota are hashed with, so that
// they differ from the holders of a group of the same name.
const quotaKey = "quota of "

// QuotaIssuers implements cwport.QuotaIssuers. Those that are connected come first; one
// that is being connected is asked as soon as it is, and one that could not be is left
// out. Those of other data centres are hardly ever asked, so they are connected only when
// they are.
//
// The failure: a workspace has used up what its own data centre's issuers give, and the
// others have most of its quota. Without a connection to them yet they were left out,
// and each instance refused its first operations as over the quota.
func (p *Peers) QuotaIssuers(workspace string, far bool) []cwport.QuotaIssuer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var out, later []cwport.QuotaIssuer
	for _, i := range p.quotaIssuers(workspace) {
		if far != (i.DataCentre != p.Self.DataCentre) {
			continue
		}
		if i == p.Self {
			out = append(out, cwport.QuotaIssuer{Name: i.ID})
			continue
		}
		l := p.link(i)
		l.keep()
		issuer := cwport.QuotaIssuer{Name: i.ID, Ask: l.askQuota}
		switch {
		case l.connected(now):
			out = append(out, issuer)
		case !l.failing():
			later = append(later, issuer)
		}
	}
	return append(out, later...)
}

// quotaIssuers returns the issuers of a workspace's quota. The caller holds mu.
func (p *Peers) quotaIssuers(workspace string) []cwholder.Instance {
	if list, ok := p.issuers[workspace]; ok {
		return list
	}
	key := quotaKey + workspace
	list := cwholder.Order(p.Self, key, p.placement.Holders(key, cwholder.Demand{}))
	if p.issuers == nil {
		p.issuers = make(map[string][]cwholder.Instance)
	}
	p.issuers[workspace] = list
	return list
}

// askQuota asks the instance for one operation of a workspace, once it is connected.
func (l *link) askQuota(ctx context.Context, workspace string) (cwport.Verdict, error) {
	l.awaitDial(ctx)
	conn := l.begin()
	defer l.end()
	if conn == nil {
		return cwport.Verdict{}, &cwport.LostError{Holder: l.to.ID, NotSent: true, Cause: errSilent}
	}
	v, err := conn.AskQuota(ctx, workspace)
	if err == nil {
		l.hear()
	}
	return v, err
}
