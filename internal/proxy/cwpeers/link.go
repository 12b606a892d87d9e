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
	// idleAfter is how long a connection that was opened on demand may serve nothing
	// before it is closed. A transaction that rests at a holder is rolled back sooner.
	idleAfter = 35 * time.Second
)

// link is the connection to one holder, when there is one. It implements
// cwport.Holder.
type link struct {
	to    cwholder.Instance
	dial  Dial
	clock clockwork.Clock
	log   *log.Logger
	// dialled is called after each try to connect; it may be nil.
	dialled func()
	// path takes what the link tells of the way to other data centres; nil if the holder
	// is in this one.
	path Path

	mu   sync.Mutex
	conn Conn
	// dialing is true while a connection is being opened, since dialSince.
	dialing   bool
	dialSince time.Time
	// dialEnded is closed when it has been, or could not be.
	dialEnded chan struct{}
	// kept is true if the connection stays also while it serves nothing.
	kept bool
	// busy counts what is under way on the connection, usedAt is when something last was.
	busy   int
	usedAt time.Time
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
	l.startDial(now)
	return false
}

// startDial opens a connection unless one is being opened, or one failed a moment ago.
// The caller holds mu.
func (l *link) startDial(now time.Time) {
	if l.dialing || l.closed || now.Before(l.redialAt) {
		return
	}
	l.dialing, l.dialSince, l.dialEnded = true, now, make(chan struct{})
	go l.runDial()
}

// state returns where the connection stands. It opens none.
func (l *link) state(now time.Time) cwholder.LinkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	avoided := now.Before(l.avoidUntil)
	out := cwholder.LinkState{Ready: l.conn != nil && !avoided, Failed: avoided || l.conn == nil && l.redial > 0, Connecting: -1}
	if l.dialing {
		out.Connecting = now.Sub(l.dialSince)
	}
	return out
}

// awaitDial waits for the end of the try to connect that is under way, if one is.
func (l *link) awaitDial(ctx context.Context) {
	l.mu.Lock()
	dialing, ended := l.dialing, l.dialEnded
	l.mu.Unlock()
	if !dialing {
		return
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// keep lets the connection stay also while it serves nothing.
func (l *link) keep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept = true
}

// begin returns the connection for something that is to run on it, nil if there is
// none. Call end afterwards.
func (l *link) begin() Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy++
	return l.conn
}

func (l *link) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy--
	l.usedAt = l.clock.Now()
}

// dropIdle closes a connection that has served nothing for long, and reports whether it
// did.
//
// The load it answers: hundreds of instances before a thousand groups. In time an
// instance hands a statement of each group over, and would be connected to all others
// for good.
func (l *link) dropIdle(conn Conn) bool {
	l.mu.Lock()
	idle := !l.kept && l.busy == 0 && l.conn == conn && l.clock.Since(l.usedAt) >= idleAfter
	if idle {
		l.conn = nil
	}
	l.mu.Unlock()
	if idle {
		_ = conn.Close()
	}
	return idle
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
	l.takeDialled(conn, err)
	if l.dialled != nil {
		l.dialled()
	}
}

// takeDialled takes what became of a try to connect.
func (l *link) takeDialled(conn Conn, err error) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = false
	close(l.dialEnded)
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
	l.conn, l.heard, l.usedAt, l.redial = conn, now, now, 0
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
		if l.dropIdle(conn) {
			return
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
	now := l.clock.Now()
	l.mu.Lock()
	l.heard = now
	l.mu.Unlock()
	if l.path != nil {
		l.path.RecordAnswer(now)
	}
}

// overdue records that something that was sent at a time has had no answer for long.
func (l *link) overdue(sent time.Time) {
	if l.path != nil {
		l.path.RecordOverdue(sent)
	}
}

// try probes the connection and closes it if there is no answer.
func (l *link) try(conn Conn) {
	sent := l.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), silentAfter)
	defer cancel()
	if err := conn.Ping(ctx); err != nil {
		l.overdue(sent)
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
	conn := l.begin()
	defer l.end()
	if conn == nil {
		return cwport.Handed{}, &cwport.LostError{Holder: l.to.ID, NotSent: true, Cause: errSilent}
	}
	sent := l.clock.Now()
	overdue := l.clock.AfterFunc(silentAfter, func() {
		l.overdue(sent)
		l.try(conn)
	})
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
