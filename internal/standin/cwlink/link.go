// Package cwlink emulates a network path with a TCP relay, for tests and demos. A
// Link accepts connections and relays each to a target. It can delay or drop the
// data, close and refuse connections, or drop the data of the open connections
// while new ones work.
package cwlink

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the package's own errors.
var Error = errs.Class("link stand-in")

// Faults are the faults that a link injects. The zero value injects none.
type Faults struct {
	// Delay is added to the data in each direction.
	Delay time.Duration
	// Cut drops the data in both directions, as a path that loses all packets
	// does. New connections are accepted, but their data is dropped too. A
	// connection that was accepted during a cut, or that lost data, stays silent
	// after the cut.
	Cut bool
	// CutFromTarget drops the data from the target. A connection that lost data
	// stays silent afterwards in both directions.
	CutFromTarget bool
	// Refuse closes open connections, and new ones as soon as they are accepted.
	Refuse bool
}

// Link is one network path to a target. Start creates and serves one.
type Link struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	faults Faults
	// silenceCount counts the calls of SilenceConnections. The data of connections
	// that were accepted under a lower count is dropped.
	silenceCount int
	conns        map[*relayedConn]struct{}
}

// relayedConn is a connection of a client and the one to the target that it is
// relayed to. Its targetConn is nil until the target is connected, and is guarded
// by the link's lock.
type relayedConn struct {
	link                   *Link
	silenceCount           int
	clientConn, targetConn net.Conn
	// lossy is true once data was dropped. All later data is dropped too, because
	// a byte stream must not have gaps.
	lossy atomic.Bool
}

// Start relays connections from a listen address to a target address until Stop.
// It returns an error if the address cannot be listened on.
func Start(listen, target string) (*Link, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l := &Link{ln: ln, target: target, conns: make(map[*relayedConn]struct{})}
	go l.acceptLoop()
	return l, nil
}

// Addr returns the address on which the link listens.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Stop closes the listener and all connections.
func (l *Link) Stop() {
	_ = l.ln.Close()
	l.closeConns()
}

// SetFaults replaces the injected faults.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	l.faults = f
	l.mu.Unlock()
	if f.Refuse {
		l.closeConns()
	}
}

// Faults returns the injected faults.
func (l *Link) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SilenceConnections drops all further data of the connections that are open,
// without closing them. Connections accepted later work.
func (l *Link) SilenceConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenceCount++
}

func (l *Link) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for relayed := range l.conns {
		_ = relayed.clientConn.Close()
		if relayed.targetConn != nil {
			_ = relayed.targetConn.Close()
		}
	}
}

func (l *Link) acceptLoop() {
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
		relayed := &relayedConn{link: l, silenceCount: l.silenceCount, clientConn: conn}
		l.conns[relayed] = struct{}{}
		l.mu.Unlock()
		go relayed.relay()
	}
}

// relay connects to the target and copies data in both directions until one side
// ends. During a cut it does not connect, and only discards what the client sends.
func (c *relayedConn) relay() {
	defer c.close()
	if c.link.Faults().Cut {
		c.copy(nil, c.clientConn, false)
		return
	}
	targetConn, err := net.Dial("tcp", c.link.target)
	if err != nil {
		return
	}
	c.link.mu.Lock()
	c.targetConn = targetConn
	c.link.mu.Unlock()
	go func() {
		c.copy(c.clientConn, targetConn, true)
		_ = c.clientConn.Close()
	}()
	c.copy(targetConn, c.clientConn, false)
}

// close closes both connections and removes them from the link.
func (c *relayedConn) close() {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	targetConn := c.targetConn
	c.link.mu.Unlock()
	_ = c.clientConn.Close()
	if targetConn != nil {
		_ = targetConn.Close()
	}
}

// copy relays one direction until src ends or dst fails. fromTarget is true for
// the direction from the target to the client.
func (c *relayedConn) copy(dst, src net.Conn, fromTarget bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !c.forward(dst, buf[:n], fromTarget) {
			return
		}
		if err != nil {
			return
		}
	}
}

// silenced reports whether SilenceConnections was called after the connection was
// accepted.
func (c *relayedConn) silenced() bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.link.silenceCount != c.silenceCount
}

// forward delays data and writes it to dst, or drops it as the faults say. It
// returns false if the write fails.
func (c *relayedConn) forward(dst net.Conn, b []byte, fromTarget bool) bool {
	f := c.link.Faults()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Cut || f.CutFromTarget && fromTarget {
		c.lossy.Store(true)
	}
	if c.silenced() || c.lossy.Load() || dst == nil {
		return true
	}
	_, err := dst.Write(b)
	return err == nil
}
