package cwpeers

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Times of a link.
const (
	// silentAfter is how long a statement may be under way before the holder is
	// probed, and how long the probe may take. Most statements end sooner; a busy instance answers a ping within
	// some tens of milliseconds.
	silentAfter = 250 * time.Millisecond
	// redialMin and redialMax bound the pause after a connection that failed or
	// ended. The pause doubles with each failure.
	redialMin = 100 * time.Millisecond
	redialMax = 2 * time.Second
	// avoidFor is how long a holder that sent a statement elsewhere is left
	// alone: it ends, or it is cut off from the group's targets.
	avoidFor = time.Second
	// pingEvery is how often a connection that rests is tried, so that one that
	// went silent is found before a write is sent on it.
	pingEvery = 2 * time.Second
)

// link is the connection to one holder, when there is one. It implements
// cwport.Holder.
type link struct {
	to    cwholder.Instance
	dial  Dial
	clock clockwork.Clock
	log   *log.Logger

	mu      sync.Mutex
	conn    Conn
	dialing bool
	// trying is true while a probe out of turn is under way.
	trying bool
	closed bool
	// redialAt is when a connection may be tried again, redial the next pause.
	redialAt time.Time
	redial   time.Duration
	// avoidUntil is when the holder is used again after it sent statements
	// elsewhere.
	avoidUntil time.Time
	// heard is when the holder last answered.
	heard time.Time
}

// Name implements cwport.Holder.
func (l *link) Name() string { return l.to.ID }

// usable reports whether statements can be handed over now, and lets a
// connection be opened if there is none.
func (l *link) usable(now time.Time) bool {
	if !l.connected(now) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.avoidUntil)
}

// connected reports whether there is a connection, and lets one be opened if
// there is none.
func (l *link) connected(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return true
	}
	if !l.dialing && !l.closed && !now.Before(l.redialAt) {
		l.dialing = true
		go l.runDial()
	}
	return false
}

// failing reports whether the last try to connect failed, or the last connection
// was lost, and none has come about since.
func (l *link) failing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn == nil && l.redial > 0
}

// fresh reports whether the holder has answered lately, and probes it
// otherwise.
//
// The failure: an instance that is cut off from a group's targets asks others for
// help on connections that were cut with them. A write that waits there is in
// doubt, though the instance could have refused it as not run.
func (l *link) fresh(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.heard) < silentAfter {
		return true
	}
	if l.conn != nil && !l.trying {
		l.trying = true
		go l.runTry(l.conn)
	}
	return false
}

func (l *link) runTry(conn Conn) {
	l.try(conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trying = false
}

func (l *link) runDial() {
	conn, err := l.dial(context.Background(), l.to.ID, l.to.Address)
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = false
	if err != nil {
		l.pause(now)
		l.log.Debug("holderNotConnected", "holder", l.to.ID, "cause", err)
		return
	}
	if l.closed {
		_ = conn.Close()
		return
	}
	l.log.Info("holderConnected", "holder", l.to.ID, "dataCentre", l.to.DataCentre)
	l.conn, l.heard, l.redial = conn, now, 0
	go l.runConn(conn)
}

// pause sets when the next connection may be tried. The caller holds mu.
func (l *link) pause(now time.Time) {
	l.redial = min(max(2*l.redial, redialMin), redialMax)
	l.redialAt = now.Add(l.redial)
}

// runConn tries a connection from time to time until it has ended.
//
// The failure: the path has lost track of the connection; nothing is refused and
// nothing answered, and the next write that is sent on it is in doubt. The guard:
// a connection on which nothing was heard for a while is tried, and closed if it
// is silent.
func (l *link) runConn(conn Conn) {
	for {
		select {
		case <-conn.Done():
			l.lost(conn, nil)
			return
		case <-l.clock.After(pingEvery):
		}
		if l.clock.Since(l.lastHeard()) >= pingEvery {
			l.try(conn)
		}
	}
}

func (l *link) lastHeard() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard
}

func (l *link) hear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = l.clock.Now()
}

// try probes the connection and closes it if there is no answer.
func (l *link) try(conn Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), silentAfter)
	defer cancel()
	if err := conn.Ping(ctx); err != nil {
		l.lost(conn, errors.Join(errSilent, err))
		return
	}
	l.hear()
}

// lost drops a connection. Statements that are under way on it end with an
// error.
func (l *link) lost(conn Conn, cause error) {
	l.mu.Lock()
	if l.conn == conn {
		l.log.Warn("holderLost", "holder", l.to.ID, "cause", cause)
		l.conn = nil
		l.pause(l.clock.Now())
	}
	l.mu.Unlock()
	_ = conn.Close()
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// Hand implements cwport.Holder.
//
// The failure: the holder freezes, or loses power, with statements of other
// instances' callers, who wait until their time is up. A holder that is silent
// for silentAfter is probed; a statement that merely takes
// long goes on.
func (l *link) Hand(ctx context.Context, h cwport.Handover) (cwport.Handed, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return cwport.Handed{}, &cwport.LostError{Holder: l.to.ID, NotSent: true, Cause: errSilent}
	}
	overdue := l.clock.AfterFunc(silentAfter, func() { l.try(conn) })
	defer overdue.Stop()
	r, err := conn.Hand(ctx, h)
	if err != nil {
		return r, err
	}
	l.hear()
	if r.Elsewhere {
		l.avoid()
	}
	return r, nil
}

// avoid leaves the holder alone for a while.
func (l *link) avoid() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidUntil = l.clock.Now().Add(avoidFor)
}
