// Package cwlisten has the accept loop that all servers of cicadawalk use, and a
// connection with an idle timeout and a size limit for messages.
package cwlisten

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// acceptRetryDelay is the delay after a connection could not be accepted, for example
// because the process has too many open files. The listener stays usable in that case.
const acceptRetryDelay = 10 * time.Millisecond

// Listener accepts connections and handles each in its own goroutine. Set the exported
// fields before Run.
type Listener struct {
	net.Listener
	// Handle handles a connection. It must close it.
	Handle func(ctx context.Context, conn net.Conn)
	// AcceptFailed, if set, is called with the error when a connection could not be
	// accepted.
	AcceptFailed func(error)

	connections sync.WaitGroup
}

// Run accepts connections until ctx ends, and then closes the listener. It does not wait
// for the connections to end; see Wait. It returns nil.
func (l *Listener) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			if l.AcceptFailed != nil {
				l.AcceptFailed(err)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.connections.Add(1)
		go l.handleConn(ctx, conn)
	}
}

func (l *Listener) handleConn(ctx context.Context, conn net.Conn) {
	defer l.connections.Done()
	l.Handle(ctx, conn)
}

// Wait waits until Handle has returned for every connection.
func (l *Listener) Wait() { l.connections.Wait() }
