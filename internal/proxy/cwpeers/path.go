package cwpeers

import (
	"context"
	"errors"
	"slices"
	"syscall"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwpath"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// PathNeighbours implements cwport.PathNetwork. It returns no instances until all rows
// were read.
func (p *Peers) PathNeighbours() (neighbours []string, remote map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.allRowsRead {
		return nil, nil
	}
	remote = make(map[string][]string)
	for name, i := range p.placement.Instances() {
		switch {
		case i.DataCentre != p.Self.DataCentre:
			remote[i.DataCentre] = append(remote[i.DataCentre], name)
		case name != p.Self.ID:
			neighbours = append(neighbours, name)
		}
	}
	return neighbours, remote
}

// SendPathReport implements cwport.PathNetwork.
//
// If no answer arrives, the connection may have gone silent without a reset. It is
// probed, and closed if the probe is not answered either.
func (p *Peers) SendPathReport(ctx context.Context, to string, r cwport.PathReport) (cwport.PathReply, error) {
	l, ok := p.pathLink(to)
	if !ok {
		return cwport.PathReply{}, &cwport.NoResponseError{Instance: to, NotSent: true, Cause: errNoAnswer}
	}
	connecting, cancel := context.WithTimeout(ctx, cwpath.CallTimeout)
	defer cancel()
	conn := l.acquireConnected(connecting)
	defer l.release()
	if conn == nil {
		return cwport.PathReply{}, &cwport.NoResponseError{Instance: to, NotSent: true, Cause: errNoAnswer}
	}
	ctx, cancel = context.WithTimeout(ctx, cwpath.CallTimeout)
	defer cancel()
	reply, err := conn.SendPathReport(ctx, r)
	switch {
	case err == nil, errors.As(err, new(*cwport.MethodUnknownError)):
		l.recordAnswer()
	default:
		l.answeredRecently(p.Clock.Now())
	}
	return reply, err
}

// PingRemote implements cwport.PathNetwork. Dial includes a ping.
//
// A connection that stays open would be probed all the time, and may go silent without a
// reset although new ones work. An instance that is not running refuses the connection,
// which shows that the path works. Without that, a data centre whose callers are few would
// leave the rotation while the instances of the others restart.
func (p *Peers) PingRemote(ctx context.Context, to string) error {
	p.mu.Lock()
	i, ok := p.placement.Instance(to)
	p.mu.Unlock()
	if !ok {
		return &cwport.NoResponseError{Instance: to, NotSent: true, Cause: errNoAnswer}
	}
	conn, err := p.Dial(ctx, i.ID, i.Address)
	switch {
	case err == nil:
		_ = conn.Close()
	case !errors.Is(err, syscall.ECONNREFUSED):
		return &cwport.NoResponseError{Instance: to, NotSent: true, Cause: err}
	}
	if p.PathMonitor != nil && i.DataCentre != p.Self.DataCentre {
		p.PathMonitor.RecordAnswer(p.Clock.Now())
	}
	return nil
}

// pathLink returns the link to an instance; false if the instance is not known.
func (p *Peers) pathLink(to string) (*link, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.placement.Instance(to)
	if !ok || p.closed || i == p.Self {
		return nil, false
	}
	return p.link(i), true
}

// acquireConnected counts a call and returns the connection for it, after connecting if
// necessary; nil if that fails or ctx ends. Call release afterwards in both cases.
//
// The backoff after a lost connection does not apply: it is longer than the spread of a
// report may take, and would delay the end of a suspicion.
func (l *link) acquireConnected(ctx context.Context) Conn {
	now := l.clock.Now()
	l.mu.Lock()
	if l.conn == nil {
		l.nextDialAt = now
		l.startDial(now)
	}
	l.mu.Unlock()
	l.awaitDial(ctx)
	return l.acquire()
}

// withoutCutOff returns the instances without those in other data centres while these
// do not answer. The caller holds mu.
//
// A statement forwarded over a cut path would wait until its connection is found to be
// dead, though it could be refused at once as not run.
func (p *Peers) withoutCutOff(route []cwholder.Instance) []cwholder.Instance {
	if p.PathDown == nil || !p.PathDown() {
		return route
	}
	return slices.DeleteFunc(slices.Clone(route), func(i cwholder.Instance) bool { return i.DataCentre != p.Self.DataCentre })
}
