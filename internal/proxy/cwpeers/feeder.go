package cwpeers

import (
	"context"
	"errors"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// answerMargin is how much longer than its requested wait a request for changes may
// take: a busy instance answers within some tens of milliseconds, one that runs four
// times as slowly within a few hundred.
const answerMargin = 500 * time.Millisecond

// firstAnswerMargin is the margin for the first request of a starting instance:
// sixteen instances request all rows at once, which their feeder compresses and sends
// over a link of low bandwidth.
const firstAnswerMargin = 3 * time.Second

// Feeder implements cwport.Feeders. It returns neither a feeder nor root while this
// instance has no row, and thus no place in the tree, and while its parent is not
// connected.
func (p *Peers) Feeder() (cwport.Feeder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if own, _ := p.placement.Instance(p.Self.ID); !p.allRowsRead && !p.centreRowsRead || own != p.Self {
		return nil, false
	}
	now := p.Clock.Now()
	parent, ok := p.parent(now)
	if !ok {
		return nil, true
	}
	if l := p.link(parent); l.ensureUsable(now) {
		return feederLink{l}, false
	}
	return nil, false
}

// parent returns the instance from which this one requests changes; false if this one
// is a root of the tree and asks the store. The caller holds mu.
//
// The row of an instance stays when the instance is gone for good, and without a
// replacement all instances below it would ask the store. So instances that cannot be
// connected are left out until they can, and the next in order takes their place.
func (p *Peers) parent(now time.Time) (cwholder.Instance, bool) {
	var names []string
	for _, name := range p.placement.InstanceIDs(p.Self.DataCentre) {
		if l := p.links[name]; l != nil && l.unreachable() {
			l.ensureUsable(now)
			continue
		}
		names = append(names, name)
	}
	name, ok := p.Tree.Parent(p.Self.ID, names)
	parent, _ := p.placement.Instance(name)
	return parent, ok
}

// marginOf returns how much longer than its requested wait a request may take.
//
// With the margin of half a second for first requests too, when a whole data centre
// starts at once, each instance would time out with the answer on its way, close the
// connection and do the same with the next feeder, until all of them read the store.
func marginOf(q cwport.ChangesRequest) time.Duration {
	for _, after := range q.After {
		if after == 0 {
			return firstAnswerMargin
		}
	}
	return answerMargin
}

// feederLink is the link to the instance from which this one requests changes.
type feederLink struct{ *link }

// ServeChanges implements cwport.ChangesServer.
//
// A feeder may freeze, or the network may drop the connection without notice. If the
// answer is overdue the connection is closed, and the feeder is left out until it can
// be connected again.
func (f feederLink) ServeChanges(ctx context.Context, q cwport.ChangesRequest) (cwport.ChangesResponse, error) {
	l := f.link
	conn := l.acquire()
	defer l.release()
	if conn == nil {
		return cwport.ChangesResponse{}, &cwport.NoResponseError{Instance: l.remote.ID, NotSent: true, Cause: errNoAnswer}
	}
	ctx, cancel := context.WithTimeout(ctx, q.Wait+marginOf(q))
	defer cancel()
	n, err := conn.ServeChanges(ctx, q)
	if errors.As(err, new(*cwport.NotLoadedError)) {
		return n, err
	}
	if err != nil {
		l.dropConn(conn, err)
		return n, &cwport.NoResponseError{Instance: l.remote.ID, Cause: err}
	}
	l.recordAnswer()
	return n, nil
}
