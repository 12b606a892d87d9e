package cwlisten

import (
	"net"
	"sync/atomic"
	"time"
)

// LimitedConn is a connection with an idle timeout and a size limit for messages. Reads
// fail if the client sends nothing for too long, or sends more than MaxMessage bytes
// without an answer in between. Every request has an answer, so a client never needs to
// send more. Set MaxMessage and IdleTimeout before use.
type LimitedConn struct {
	net.Conn
	// MaxMessage is the largest message, in bytes.
	MaxMessage int64
	// IdleTimeout is the timeout of a read.
	IdleTimeout time.Duration
	// unanswered is the number of bytes read since the last write.
	unanswered atomic.Int64
}

// MessageTooLongError reports that the other side has exceeded
// LimitedConn.MaxMessage.
type MessageTooLongError struct{}

func (*MessageTooLongError) Error() string { return "message is too long" }

// Read implements net.Conn. It returns a *MessageTooLongError if the message is too long.
func (c *LimitedConn) Read(b []byte) (int, error) {
	if c.unanswered.Load() > c.MaxMessage {
		return 0, &MessageTooLongError{}
	}
	if err := c.SetReadDeadline(time.Now().Add(c.IdleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.unanswered.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *LimitedConn) Write(b []byte) (int, error) {
	c.unanswered.Store(0)
	return c.Conn.Write(b)
}
