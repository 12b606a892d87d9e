package cwlisten

import (
	"net"
	"sync/atomic"
	"time"
)

// Bounded is a connection that ends if it is idle for long, or if it brings more
// than one message may have before it is answered: every request has an answer,
// so the other side never needs to send more. Set MaxMessage and Idle before use.
type Bounded struct {
	net.Conn
	// MaxMessage is in bytes.
	MaxMessage int64
	// Idle is how long the other side may send nothing.
	Idle time.Duration
	// unanswered counts the bytes read since the last answer.
	unanswered atomic.Int64
}

// TooLongError reports a partner that sends more than a message may have.
type TooLongError struct{}

func (*TooLongError) Error() string { return "a partner's message is too long" }

// Read implements net.Conn.
func (c *Bounded) Read(b []byte) (int, error) {
	if c.unanswered.Load() > c.MaxMessage {
		return 0, &TooLongError{}
	}
	if err := c.SetReadDeadline(time.Now().Add(c.Idle)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.unanswered.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *Bounded) Write(b []byte) (int, error) {
	c.unanswered.Store(0)
	return c.Conn.Write(b)
}
