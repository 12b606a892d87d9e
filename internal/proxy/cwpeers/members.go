package cwpeers

import (
	"context"
	"errors"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Observers implements cwport.Observers. The result is empty until all rows were read.
// Requests to an instance that is not connected open the connection.
func (p *Peers) Observers(group string, d cwholder.TargetCapacity) []cwport.Observer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.allRowsRead || p.closed {
		return nil
	}
	var near, far []cwport.Observer
	for _, i := range p.placement.CachedHolders(group, d) {
		o := cwport.Observer{Name: i.ID, Remote: i.DataCentre != p.Self.DataCentre}
		if i.ID != p.Self.ID {
			o.Ask = p.link(i).askMembers
		}
		if o.Remote {
			far = append(far, o)
		} else {
			near = append(near, o)
		}
	}
	return append(near, far...)
}

// askMembers requests the remote instance's reports of a group's members. It opens the
// connection if necessary.
func (l *link) askMembers(ctx context.Context, q cwport.MembersRequest) (cwport.MembersResponse, error) {
	if !l.ensureConnected(l.clock.Now()) {
		l.awaitDial(ctx)
	}
	conn := l.acquire()
	defer l.release()
	if conn == nil {
		return cwport.MembersResponse{}, &cwport.NoResponseError{Instance: l.remote.ID, NotSent: true, Cause: errNoAnswer}
	}
	r, err := conn.Members(ctx, q)
	var unsupported *cwport.UnsupportedMethodError
	if err == nil || errors.As(err, &unsupported) {
		l.recordAnswer()
	}
	return r, err
}
