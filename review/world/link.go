package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the network path from one machine to an address. While it is cut it is silent: what
// was sent on an open connection is held and arrives after the cut, unless the sender has reset
// the connection, and the opening packet of a new connection is lost.
type link struct {
	target   string
	listener net.Listener
	// onSend, if set, is called with the first bytes of each message before they are sent on.
	onSend func()

	mu sync.Mutex
	// healed is closed when the cut ends; nil while the path is whole.
	healed chan struct{}
}

func newLink(ip, target string) *link {
	l := &link{target: target, listener: listen(ip + ":0")}
	go l.run()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// cut cuts the path for a time.
func (l *link) cut(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed != nil {
		return
	}
	healed := make(chan struct{})
	l.healed = healed
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.healed = nil
		close(healed)
	})
}

// pass waits until the path is whole.
func (l *link) pass() {
	for {
		l.mu.Lock()
		healed := l.healed
		l.mu.Unlock()
		if healed == nil {
			return
		}
		<-healed
	}
}

// isCut reports whether the path is cut.
func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed != nil
}

func (l *link) run() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(c.(*net.TCPConn))
	}
}

// connect opens the other half of a connection. One that its sender has given up by the end of
// a cut was never opened, and nothing of it arrives.
func (l *link) connect(from *net.TCPConn) {
	defer func() { _ = from.Close() }()
	if l.isCut() {
		l.pass()
		if gone(from) {
			return
		}
	}
	c, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = from.SetLinger(0)
		return
	}
	to := c.(*net.TCPConn)
	defer func() { _ = to.Close() }()
	done := make(chan struct{})
	go func() {
		l.copy(from, to, nil)
		close(done)
	}()
	l.copy(to, from, l.onSend)
	<-done
}

// gone reports whether the sender has closed or reset a connection.
func gone(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	out := false
	err = raw.Read(func(fd uintptr) bool {
		b := make([]byte, 64<<10)
		n, _, err := syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		out = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN)
		if n > 0 {
			// What follows the bytes shows only after them; the state of the socket tells.
			out = closedByPeer(int(fd))
		}
		return true
	})
	return err != nil || out
}

// closedByPeer reports whether the other side has sent its end of the stream.
func closedByPeer(fd int) bool {
	const tcpCloseWait = 8
	info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	// The state is the first byte of the structure.
	return err != nil || info&0xff == tcpCloseWait
}

// copy sends on what arrives on one half, in order. A reset is passed on at once, and what is
// held then is lost.
func (l *link) copy(to, from *net.TCPConn, onSend func()) {
	type chunk struct {
		b   []byte
		err error
	}
	chunks := make(chan chunk, 1024)
	reset := make(chan struct{})
	go func() {
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if err != nil && !errors.Is(err, io.EOF) {
				close(reset)
				return
			}
			chunks <- chunk{b: b[:n], err: err}
			if err != nil {
				return
			}
		}
	}()
	for {
		select {
		case <-reset:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		case c := <-chunks:
			if len(c.b) > 0 && onSend != nil {
				onSend()
			}
			l.pass()
			select {
			case <-reset:
				_ = to.SetLinger(0)
				_ = to.Close()
				return
			default:
			}
			if len(c.b) > 0 {
				if _, err := to.Write(c.b); err != nil {
					return
				}
			}
			if c.err != nil {
				_ = to.CloseWrite()
				return
			}
		}
	}
}
