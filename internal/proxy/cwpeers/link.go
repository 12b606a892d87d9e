package cwpeers

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwpath"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Times of a link.
const (
	// answerTimeout is how long a statement may run before the holder is probed, and how
	// long the probe may take. Most statements end sooner; a busy instance answers a ping
	// within some tens of milliseconds.
	answerTimeout = 250 * time.Millisecond
	// minDialBackoff and maxDialBackoff bound the pause after a connection attempt
	// failed or a connection was lost. The pause doubles with each failure.
	minDialBackoff = 100 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	// avoidFor is how long no statements are sent to a holder that returned one to be
	// run elsewhere: it is shutting down or cut off from the group's targets.
	avoidFor = time.Second
	// pingInterval is the time without an answer after which a connection is probed, so
	// that a dead one is found before a write is sent on it.
	pingInterval = 2 * time.Second
	// idleTimeout is how long a connection that was opened on demand may be unused
	// before it is closed. An idle transaction at a holder is rolled back sooner.
	idleTimeout = 35 * time.Second
)

// link manages the connection to another instance: it dials with backoff, probes and
// closes the connection. It implements cwport.Instance.
type link struct {
	remote cwholder.Instance
	dial   Dial
	clock  clockwork.Clock
	log    *log.Logger
	// onDialEnded is called after each connection attempt; it may be nil.
	onDialEnded func()
	// onContended is called with the group of a statement if others waited for the group's
	// members at the remote instance; it may be nil.
	onContended func(group string)
	// path records answers and missing answers; nil if the remote instance is in this
	// data centre.
	path PathMonitor

	mu sync.Mutex
	// conn is the open connection; nil if there is none.
	conn Conn
	// dialing is true while a connection is being opened; dialSince is when that began.
	dialing   bool
	dialSince time.Time
	// dialEnded is closed when the latest connection attempt has ended, successfully or
	// not.
	dialEnded chan struct{}
	// keptOpen is true if the connection is not closed when idle.
	keptOpen bool
	// activeCalls counts the calls in progress on the connection; lastUsedAt is when the
	// last one ended or the connection was opened.
	activeCalls int
	lastUsedAt  time.Time
	// probing is true while a probe that answeredRecently started is in progress.
	probing bool
	closed  bool
	// nextDialAt is the earliest time of the next connection attempt. dialBackoff is the
	// last pause; zero after a successful attempt and before the first.
	nextDialAt  time.Time
	dialBackoff time.Duration
	// leaving is true once the remote instance has said on conn that it is shutting down.
	leaving bool
	// avoidUntil is when statements are sent to the holder again after it returned one
	// to be run elsewhere.
	avoidUntil time.Time
	// demandPausedUntil is when demand is exchanged again with an instance that does not
	// have the method.
	demandPausedUntil time.Time
	// lastAnswerAt is when the remote instance last answered or was connected.
	lastAnswerAt time.Time
}

// Name implements cwport.Instance.
func (l *link) Name() string { return l.remote.ID }

// ensureUsable reports whether statements can be forwarded now. It starts to connect
// if there is no connection.
func (l *link) ensureUsable(now time.Time) bool {
	if !l.ensureConnected(now) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.avoided(now)
}

// avoided reports whether no statements are sent to the holder. The caller holds mu.
func (l *link) avoided(now time.Time) bool { return l.leaving || now.Before(l.avoidUntil) }

// ensureConnected reports whether there is a connection, and starts to connect if
// there is none.
func (l *link) ensureConnected(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return true
	}
	l.startDial(now)
	return false
}

// startDial starts a connection attempt unless one is in progress, the backoff has not
// passed or the link is closed. The caller holds mu.
func (l *link) startDial(now time.Time) {
	if l.dialing || l.closed || now.Before(l.nextDialAt) {
		return
	}
	l.dialing, l.dialSince, l.dialEnded = true, now, make(chan struct{})
	go l.runDial()
}

// state returns the state of the connection, without opening one.
func (l *link) state(now time.Time) cwholder.ConnectionState {
	l.mu.Lock()
	defer l.mu.Unlock()
	avoided := l.avoided(now)
	out := cwholder.ConnectionState{Ready: l.conn != nil && !avoided, Failed: avoided || l.conn == nil && l.dialBackoff > 0, Connecting: -1}
	if l.dialing {
		out.Connecting = now.Sub(l.dialSince)
	}
	return out
}

// awaitDial waits until the connection attempt in progress, if any, or ctx ends.
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

// keepOpen exempts the connection from closing when idle.
func (l *link) keepOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keptOpen = true
}

// acquire counts a call and returns the connection for it, nil if there is none. Call
// release afterwards in both cases.
func (l *link) acquire() Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activeCalls++
	return l.conn
}

func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activeCalls--
	l.lastUsedAt = l.clock.Now()
	l.closeUnused()
}

// closeIdle closes a connection that has been unused for idleTimeout, and reports
// whether it did.
//
// With hundreds of instances and a thousand groups, each instance eventually forwards
// a statement of every group and would otherwise stay connected to all the others.
func (l *link) closeIdle(conn Conn) bool {
	l.mu.Lock()
	idle := !l.keptOpen && l.activeCalls == 0 && l.conn == conn && l.clock.Since(l.lastUsedAt) >= idleTimeout
	if idle {
		l.conn = nil
	}
	l.mu.Unlock()
	if idle {
		_ = conn.Close()
	}
	return idle
}

// unreachable reports whether the last connection attempt failed or the last
// connection was lost, with no successful attempt since.
func (l *link) unreachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn == nil && l.dialBackoff > 0
}

// answeredRecently reports whether the holder answered within answerTimeout, and
// starts a probe if it did not.
//
// An instance that is cut off from a group's targets may ask others for help on
// connections that the same network failure has cut. The outcome of a write sent
// there is unknown, though the instance could have refused it as not run.
func (l *link) answeredRecently(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastAnswerAt) < answerTimeout {
		return true
	}
	if l.conn != nil && !l.probing {
		l.probing = true
		go l.runProbe(l.conn)
	}
	return false
}

func (l *link) runProbe(conn Conn) {
	l.probe(conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
}

func (l *link) runDial() {
	conn, err := l.dial(context.Background(), l.remote.ID, l.remote.Address)
	l.finishDial(conn, err)
	if l.onDialEnded != nil {
		l.onDialEnded()
	}
}

// finishDial records the result of a connection attempt.
func (l *link) finishDial(conn Conn, err error) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = false
	close(l.dialEnded)
	if err != nil {
		l.backOff(now)
		l.log.Debug("holderNotConnected", "holder", l.remote.ID, "cause", err)
		return
	}
	if l.closed {
		_ = conn.Close()
		return
	}
	l.log.Info("holderConnected", "holder", l.remote.ID, "dataCentre", l.remote.DataCentre)
	l.conn, l.lastAnswerAt, l.lastUsedAt, l.dialBackoff, l.leaving = conn, now, now, 0, false
	if l.path != nil {
		// The remote instance has answered a ping.
		l.path.RecordAnswer(now)
	}
	go l.runConn(conn)
}

// backOff doubles the pause and sets when the next connection attempt is allowed. The
// caller holds mu.
func (l *link) backOff(now time.Time) {
	l.dialBackoff = min(max(2*l.dialBackoff, minDialBackoff), maxDialBackoff)
	l.nextDialAt = now.Add(l.dialBackoff)
}

// runConn watches a connection until it has ended. It closes it when idle and probes
// it when nothing has arrived on it for pingInterval.
//
// A network device on the path can drop the state of a connection, so that packets
// are neither refused nor answered, and the outcome of the next write sent on it is
// unknown. The probe finds and closes such a connection.
func (l *link) runConn(conn Conn) {
	for {
		select {
		case <-conn.Done():
			l.dropConn(conn, nil)
			return
		case <-l.clock.After(pingInterval):
		}
		if l.closeIdle(conn) {
			return
		}
		if l.clock.Since(l.lastAnswer()) >= pingInterval {
			l.probe(conn)
		}
	}
}

func (l *link) lastAnswer() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastAnswerAt
}

func (l *link) recordAnswer() {
	now := l.clock.Now()
	l.mu.Lock()
	l.lastAnswerAt = now
	l.mu.Unlock()
	if l.path != nil {
		l.path.RecordAnswer(now)
	}
}

// recordOverdue reports to the path monitor that a message sent at the given time has no
// answer.
func (l *link) recordOverdue(sent time.Time) {
	if l.path != nil {
		l.path.RecordOverdue(sent)
	}
}

// probe pings the remote instance and closes the connection if no answer arrives
// within answerTimeout. A ping that fails sooner is not overdue: the connection was closed
// or reset, for example by an instance that restarts.
func (l *link) probe(conn Conn) {
	sent := l.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	if err := conn.Ping(ctx); err != nil {
		if l.clock.Since(sent) >= cwpath.MinOverdue {
			l.recordOverdue(sent)
		}
		l.dropConn(conn, errors.Join(errNoAnswer, err))
		return
	}
	l.recordAnswer()
}

// dropConn closes a connection that failed and backs off. Calls in progress on it
// return an error.
func (l *link) dropConn(conn Conn, cause error) {
	l.mu.Lock()
	if l.conn == conn {
		l.log.Warn("holderLost", "holder", l.remote.ID, "cause", cause)
		l.conn, l.leaving = nil, false
		l.backOff(l.clock.Now())
	}
	l.mu.Unlock()
	_ = conn.Close()
}

// close makes the link open no more connections, and closes the present one once no call is
// in progress on it. A call without an answer is bounded by its own timeout, and the
// connection by its probes.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeUnused()
}

// closeUnused closes the connection of a closed link if no call is in progress on it. The
// caller holds mu.
func (l *link) closeUnused() {
	if !l.closed || l.activeCalls > 0 || l.conn == nil {
		return
	}
	_ = l.conn.Close()
	l.conn = nil
}

// Forward implements cwport.Instance.
//
// If the holder freezes or loses power, callers of other instances would wait for
// its answers until their statements time out. So the holder is probed when a
// statement has had no answer for answerTimeout; a statement that is merely slow
// goes on.
func (l *link) Forward(ctx context.Context, h cwport.ForwardRequest) (cwport.ForwardResponse, error) {
	conn := l.acquire()
	defer l.release()
	if conn == nil {
		return cwport.ForwardResponse{}, &cwport.NoResponseError{Instance: l.remote.ID, NotSent: true, Cause: errNoAnswer}
	}
	sent := l.clock.Now()
	overdue := l.clock.AfterFunc(answerTimeout, func() {
		l.recordOverdue(sent)
		l.probe(conn)
	})
	defer overdue.Stop()
	resp, err := conn.Forward(ctx, h)
	if err != nil {
		return resp, err
	}
	l.recordAnswer()
	if resp.Contended && l.onContended != nil {
		l.onContended(h.Entry.Groups[0].Name)
	}
	if resp.TryOtherHolder {
		l.avoid()
	}
	if resp.Leaving {
		l.recordLeaving(conn)
	}
	return resp, nil
}

// recordLeaving stops statements to a holder that is shutting down, until there is another
// connection.
//
// A statement that reaches a holder right before its connection closes gets no answer, and
// the outcome of a write is unknown then.
func (l *link) recordLeaving(conn Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.leaving = true
	}
}

// avoid stops statements to the holder for avoidFor.
func (l *link) avoid() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidUntil = l.clock.Now().Add(avoidFor)
}
