package cwpeers

import (
	"context"
	"errors"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// newsSlack is how much longer than its wait a question for news may take: a
// busy instance answers within some tens of milliseconds, one that runs four
// times as slowly within a few hundred.
const newsSlack = 500 * time.Millisecond

// firstSlack is the same for a question of an instance that starts: sixteen of them ask
// for all rows at once, which their feeder packs and sends over a narrow link.
const firstSlack = 3 * time.Second

// Feeder implements cwport.Feeders. An instance that has no row yet has no place
// in the tree.
func (p *Peers) Feeder() (cwport.Feeder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if own, _ := p.placement.Instance(p.Self.ID); !p.listed && !p.placed || own != p.Self {
		return nil, false
	}
	now := p.Clock.Now()
	parent, ok := p.parent(now)
	if !ok {
		return nil, true
	}
	if l := p.link(parent); l.usable(now) {
		return feeder{l}, false
	}
	return nil, false
}

// parent returns the instance that this one asks for news. The caller holds mu.
//
// The failure: a feeder is gone for good, and its row is still there; all below
// it would ask the store. Those that cannot be connected are left out until they
// can, so that the next in order takes the place.
func (p *Peers) parent(now time.Time) (cwholder.Instance, bool) {
	var names []string
	for _, name := range p.placement.Centre(p.Self.DataCentre) {
		if l := p.links[name]; l != nil && l.failing() {
			l.usable(now)
			continue
		}
		names = append(names, name)
	}
	name, ok := p.Tree.Parent(p.Self.ID, names)
	parent, _ := p.placement.Instance(name)
	return parent, ok
}

// slackOf returns how much longer than its wait a question may take.
//
// The failure: a data centre starts at once. Each instance gives its feeder up after half
// a second, with the answer on its way, and closes the connection; the next one is asked
// and given up as well, until all of them read the store.
func slackOf(q cwport.NewsQuestion) time.Duration {
	for _, after := range q.After {
		if after == 0 {
			return firstSlack
		}
	}
	return newsSlack
}

// feeder is the link to an instance that tells news.
type feeder struct{ *link }

// TellNews implements cwport.NewsTeller.
//
// The failure: the feeder freezes, or the path to it has lost track of the
// connection. An answer that is due and does not come closes the connection, and
// the feeder is left out until it can be connected again.
func (f feeder) TellNews(ctx context.Context, q cwport.NewsQuestion) (cwport.News, error) {
	l := f.link
	conn := l.begin()
	defer l.end()
	if conn == nil {
		return cwport.News{}, &cwport.LostError{Holder: l.to.ID, NotSent: true, Cause: errSilent}
	}
	ctx, cancel := context.WithTimeout(ctx, q.Wait+slackOf(q))
	defer cancel()
	n, err := conn.TellNews(ctx, q)
	if errors.As(err, new(*cwport.NoNewsError)) {
		return n, err
	}
	if err != nil {
		l.lost(conn, err)
		return n, &cwport.LostError{Holder: l.to.ID, Cause: err}
	}
	l.hear()
	return n, nil
}
