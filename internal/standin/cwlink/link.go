// Package cwlink is a stand-in for a network path: a TCP relay that can be
// delayed, cut, or made silent for the connections that are open while new ones
// work.
package cwlink

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the stand-in's own failures.
var Error = errs.Class("link stand-in")

// Faults are set at run time.
type Faults struct {
	// Delay is added in each direction.
	Delay time.Duration
	// Cut drops everything: open connections bring nothing, and new ones are
	// accepted but bring nothing either, as over a path that loses packets.
	Cut bool
	// CutBack drops what comes back from the target.
	CutBack bool
	// Refuse closes open connections and refuses new ones.
	Refuse bool
}

// Link is one path. Make one with Start.
type Link struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	faults Faults
	// epoch counts the calls of Silence; connections of an earlier epoch bring
	// nothing any more.
	epoch int
	pipes map[*pipe]struct{}
}

// pipe is one relayed connection.
type pipe struct {
	link      *Link
	epoch     int
	near, far net.Conn
	// lossy is true once something was dropped: a connection that lost a part
	// of what it carries brings nothing more.
	lossy atomic.Bool
}

// Start relays from an address to a target.
func Start(listen, target string) (*Link, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l := &Link{ln: ln, target: target, pipes: make(map[*pipe]struct{})}
	go l.run()
	return l, nil
}

// Addr returns the near end's address.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Stop closes everything.
func (l *Link) Stop() {
	_ = l.ln.Close()
	l.closePipes()
}

// SetFaults replaces the faults.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	l.faults = f
	l.mu.Unlock()
	if f.Refuse {
		l.closePipes()
	}
}

// Faults returns the present faults.
func (l *Link) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Silence makes the open connections silent for good. New ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch++
}

func (l *Link) closePipes() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		_ = p.near.Close()
		if p.far != nil {
			_ = p.far.Close()
		}
	}
}

func (l *Link) run() {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			return
		}
		if l.Faults().Refuse {
			_ = conn.Close()
			continue
		}
		l.mu.Lock()
		p := &pipe{link: l, epoch: l.epoch, near: conn}
		l.pipes[p] = struct{}{}
		l.mu.Unlock()
		go p.run()
	}
}

func (p *pipe) run() {
	defer p.end()
	if p.link.Faults().Cut {
		p.copy(nil, p.near, false)
		return
	}
	far, err := net.Dial("tcp", p.link.target)
	if err != nil {
		return
	}
	p.link.mu.Lock()
	p.far = far
	p.link.mu.Unlock()
	go func() {
		p.copy(p.near, far, true)
		_ = p.near.Close()
	}()
	p.copy(far, p.near, false)
}

func (p *pipe) end() {
	p.link.mu.Lock()
	delete(p.link.pipes, p)
	far := p.far
	p.link.mu.Unlock()
	_ = p.near.Close()
	if far != nil {
		_ = far.Close()
	}
}

// copy relays one direction until the source ends. What is read while the
// connection is silent is dropped. Back is true for what comes from the target.
func (p *pipe) copy(dst, src net.Conn, back bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.pass(dst, buf[:n], back) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *pipe) silent() bool {
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	return p.link.epoch != p.epoch
}

func (p *pipe) pass(dst net.Conn, b []byte, back bool) bool {
	f := p.link.Faults()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Cut || f.CutBack && back {
		p.lossy.Store(true)
	}
	if p.silent() || p.lossy.Load() || dst == nil {
		return true
	}
	_, err := dst.Write(b)
	return err == nil
}
