package cwpeers

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Times of the exchange of demand.
const (
	// demandInterval is how often the holders of a group exchange their demand while
	// statements wait: several times within DemandMaxAge, and within the aims of
	// statements.
	demandInterval = 200 * time.Millisecond
	// missingMethodPause is the time for which an instance of an older build is not asked
	// again.
	missingMethodPause = 30 * time.Second
)

// demandKey identifies the demand of a holder for a group.
type demandKey struct{ group, holder string }

// loopDemand exchanges this instance's demand with that of the other holders, for the
// groups for which statements wait here.
func (p *Peers) loopDemand(ctx context.Context) {
	lastContended := make(map[string]time.Time)
	for p.sleep(ctx, demandInterval); ctx.Err() == nil; p.sleep(ctx, demandInterval) {
		now := p.Clock.Now()
		p.forgetDemand(now)
		var current []string
		for _, g := range p.Demand.ContendedGroups() {
			current = append(current, g.Name)
			p.recordContended(g.Name)
			p.startExchanges(ctx, g, now)
		}
		p.logContended(lastContended, current, now)
	}
}

// startExchanges exchanges the demand for a group with the holders from which none was
// received within demandInterval.
func (p *Peers) startExchanges(ctx context.Context, g cwport.ContendedGroup, now time.Time) {
	links := p.demandLinks(g, now)
	if len(links) == 0 {
		return
	}
	own := p.Demand.Demand(g.Name)
	for _, l := range links {
		go p.runExchange(ctx, l, g.Name, own)
	}
}

// demandLinks returns the links to the other holders of a group that are to be asked now;
// none if this instance does not hold the group. It starts to connect to holders without
// a connection.
func (p *Peers) demandLinks(g cwport.ContendedGroup, now time.Time) []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	holders := p.route(g.Name, g.Capacity)
	if !slices.Contains(holders, p.Self) {
		return nil
	}
	var out []*link
	for _, h := range holders {
		if h == p.Self || now.Sub(p.demandHeardAt[demandKey{g.Name, h.ID}]) < demandInterval {
			continue
		}
		if l := p.link(h); l.ensureConnected(now) && !l.demandPaused(now) {
			out = append(out, l)
		}
	}
	return out
}

// runExchange exchanges the demand for a group with one holder.
func (p *Peers) runExchange(ctx context.Context, l *link, group string, own []cwport.MemberDemand) {
	sent := p.Clock.Now()
	theirs, err := l.exchangeDemand(ctx, group, p.Self.ID, own)
	var missing *cwport.MethodUnknownError
	var malformed *cwport.MalformedAnswerError
	switch {
	case err == nil:
		p.recordDemand(group, l.remote.ID, theirs, sent)
	case errors.As(err, &missing):
		l.pauseDemand(sent)
		p.Log.Info("demandUnsupported", "holder", l.remote.ID, "cause", err)
	case errors.As(err, &malformed):
		p.countMalformed(malformed.Method)
		p.Log.Warn("demandMalformed", "holder", l.remote.ID, "group", group, "cause", err)
	default:
		p.Log.Debug("demandUnanswered", "holder", l.remote.ID, "group", group, "cause", err)
	}
}

// recordDemand records the demand of another holder as of a time.
func (p *Peers) recordDemand(group, holder string, members []cwport.MemberDemand, at time.Time) {
	p.mu.Lock()
	if p.demandHeardAt == nil {
		p.demandHeardAt = make(map[demandKey]time.Time)
	}
	p.demandHeardAt[demandKey{group, holder}] = at
	p.mu.Unlock()
	p.Demand.RecordDemand(group, holder, members, at)
}

// forgetDemand removes the times of reports and of contention, and the loads by workspace,
// that no longer count.
func (p *Peers) forgetDemand(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.demandHeardAt, func(_ demandKey, at time.Time) bool { return now.Sub(at) > cwlimit.DemandMaxAge })
	maps.DeleteFunc(p.contendedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(p.affinities, func(_ string, a *cwholder.WorkspaceAffinity) bool { return a.Idle(now) })
}

// ExchangeDemand implements cwport.DemandServer. A report counts also if this instance
// has another list of the group's holders: its sender has the statements at the members
// in any case.
func (p *Peers) ExchangeDemand(group, holder string, members []cwport.MemberDemand) []cwport.MemberDemand {
	if p.Demand == nil {
		return nil
	}
	if holder != p.Self.ID {
		p.recordDemand(group, holder, members, p.Clock.Now())
		p.recordContended(group)
	}
	return p.Demand.Demand(group)
}

func (p *Peers) countMalformed(method string) {
	if p.OnMalformed != nil {
		p.OnMalformed(method)
	}
}

// logContended logs the groups for which statements begin to wait, and those for which
// none has waited for contentionPeriod. last has the time at which each logged group was
// last contended.
func (p *Peers) logContended(last map[string]time.Time, current []string, now time.Time) {
	for _, group := range current {
		if _, logged := last[group]; !logged {
			p.Log.Info("demandExchangeBegan", "group", group)
		}
		last[group] = now
	}
	for group, at := range last {
		if now.Sub(at) >= contentionPeriod {
			p.Log.Info("demandExchangeEnded", "group", group)
			delete(last, group)
		}
	}
}

// exchangeDemand exchanges demand with the remote instance.
func (l *link) exchangeDemand(ctx context.Context, group, self string, own []cwport.MemberDemand) ([]cwport.MemberDemand, error) {
	conn := l.acquire()
	defer l.release()
	if conn == nil {
		return nil, &cwport.NoResponseError{Instance: l.remote.ID, NotSent: true, Cause: errNoAnswer}
	}
	ctx, cancel := context.WithTimeout(ctx, demandInterval)
	defer cancel()
	theirs, err := conn.ExchangeDemand(ctx, group, self, own)
	if err == nil {
		l.recordAnswer()
	}
	return theirs, err
}

// pauseDemand stops the exchange of demand with the remote instance for
// missingMethodPause.
func (l *link) pauseDemand(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demandPausedUntil = now.Add(missingMethodPause)
}

func (l *link) demandPaused(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.demandPausedUntil)
}

var _ cwport.DemandServer = (*Peers)(nil)
