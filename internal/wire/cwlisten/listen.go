// Package cwlisten accepts connections for all servers of the project.
package cwlisten

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// acceptPause is the pause after a connection could not be accepted, as when
// the process has too many files open; the listener itself is still well.
const acceptPause = 10 * time.Millisecond

// Listener hands each connection that it accepts to Handle, in a goroutine of
// its own. Set the fields before Run.
type Listener struct {
	net.Listener
	Handle func(ctx context.Context, conn net.Conn)
	// Failed, if set, is told why a connection could not be accepted.
	Failed func(error)

	handling sync.WaitGroup
}

// Run accepts connections until ctx ends, and closes the listener then. It does
// not wait for the connections; see Wait.
func (l *Listener) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			if l.Failed != nil {
				l.Failed(err)
			}
			time.Sleep(acceptPause)
			continue
		}
		l.handling.Add(1)
		go l.run(ctx, conn)
	}
}

func (l *Listener) run(ctx context.Context, conn net.Conn) {
	defer l.handling.Done()
	l.Handle(ctx, conn)
}

// Wait returns once every connection was handled to its end.
func (l *Listener) Wait() { l.handling.Wait() }
