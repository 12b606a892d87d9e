package cwlisten

import (
	"net"
	"sync/atomic"
	"time"
)

// Bounded is a connection with an idle timeout and a size limit for messages. Reads fail
// if the client sends nothing for too long, or sends more than MaxMessage bytes without
// an answer in between. Every request has an answer, so a client never needs to send
// more. Set MaxMessage and Idle before use.
type Bounded struct {
	net.Conn
	// MaxMessage is the largest message, in bytes.
	MaxMessage int64
	// Idle is the timeout of a read.
	Idle time.Duration
	// unanswered is the number of bytes read since the last write.
	unanswered atomic.Int64
}

// TooLongError reports that the other side has exceeded Bounded.MaxMessage.
type TooLongError struct{}

func (*TooLongError) Error() string { return "message is too long" }

// Read implements net.Conn. It returns a *TooLongError if the message is too long.
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
