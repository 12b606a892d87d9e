package cwengine

import (
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Limits of a session.
const (
	// startupTimeout limits the wait for a caller's first message.
	startupTimeout = 5 * time.Second
	// catalogueWait is how long a startup waits for the first catalogue. The store
	// delivers it within some hundredths of a second, or some tenths when it is
	// slow; callers give up after two seconds.
	catalogueWait = time.Second
	// catalogueRetryAfter is the retry delay for callers that came before the first
	// catalogue: instances try to reach an unavailable store twice a second.
	catalogueRetryAfter = 500 * time.Millisecond
)

// session is the state of one caller's connection, or of the statements that another
// instance has forwarded.
type session struct {
	engine *Engine
	caller cwport.CallerConn

	// database and key are what the caller sent at startup; workspace is the
	// workspace of the key at the latest statement.
	database  string
	key       cwcatalogue.KeyDigest
	workspace string
	// operation is the operation that the latest statement belongs to.
	operation operation
	// forwarded is set for a session that runs statements for another instance.
	forwarded *forwardedContext
	// memory is charged for what the session and its statement make the instance hold. holder
	// is the account of a caller's session; nil if the session runs statements for another
	// instance, which are charged one by one.
	memory cwport.Memory
	holder *cwmemoryguard.Holder
	sessionState
	// lastWrites has the log position of the session's last write in each group.
	lastWrites map[string]cwgroup.LogPosition
	tx         *transaction
	// open is the statement in progress; nil if there is none.
	open *openStatement
	// givenUp is true if a shutdown has answered that statement. It closes the session then,
	// after the answer.
	givenUp bool
	// remote is the open transaction if it runs at a holder; tx is nil then.
	remote *remoteTransaction

	// mu guards the fields below and the writes to database and key. Shutdown and
	// the revocation of keys read them from other goroutines.
	mu                sync.Mutex
	idle              bool
	idleInTransaction bool
	// idleSince is when the session began to wait for its caller.
	idleSince time.Time
	// closing is what the caller is told when the session ends; nil if it goes on.
	closing *cwstatement.Response
}

// newSession returns the session of a caller.
func (e *Engine) newSession(c cwport.CallerConn) *session {
	s := &session{engine: e, caller: c}
	s.holder = e.cfg.Memory.Open(s.giveWay)
	s.memory = s.holder
	c.SetMemory(s.memory)
	return s
}

// serve handles the session until it ends.
func (s *session) serve() {
	defer s.close()
	if !s.start() {
		return
	}
	for {
		st, err := s.next()
		noRoom := asNoRoom(err)
		if err != nil && noRoom == nil {
			s.refuseMalformed(err)
			s.handleEnd(err)
			return
		}
		if noRoom != nil {
			st = noRoom.Statement
		}
		if !s.serveStatement(st, noRoom) {
			return
		}
	}
}

// serveStatement answers a statement, which is refused if there was no memory for its message. It
// returns false if the session has ended.
func (s *session) serveStatement(st cwstatement.Statement, noRoom *cwport.NoRoomError) bool {
	defer s.holder.ReleaseAll(cwmemory.Statement, cwmemory.Answer)
	began := s.engine.cfg.Clock.Now()
	s.beginStatement(st, began)
	var a cwstatement.Response
	if noRoom != nil {
		a = s.refuseNoRoom(st.Verb, noRoom.Cause)
	} else {
		a = s.handle(st, began)
	}
	s.returnQuota()
	if !s.engine.open.claim(s.open) {
		s.givenUp = true
		return false
	}
	s.recordStatement(st, a, s.engine.cfg.Clock.Since(began))
	err := s.caller.Reply(a)
	s.engine.open.end(s.open)
	if err != nil {
		s.handleEnd(err)
		return false
	}
	return true
}

// recordStatement counts a statement that took a time, and logs it if it failed.
func (s *session) recordStatement(st cwstatement.Statement, a cwstatement.Response, took time.Duration) {
	s.engine.cfg.Metrics.countStatement(st.Verb, a.Code)
	s.engine.cfg.Metrics.Statement.Update(took.Seconds())
	if a.Code != cwstatement.OK {
		s.engine.cfg.Log.Info("statementFailed", "id", st.ID, "verb", st.Verb, "database", s.database,
			"group", s.engine.groupName(s.database), "workspace", s.workspace, "revision", s.engine.Revision(),
			"code", a.Code, "why", a.Detail, "tookMs", took.Milliseconds())
	}
}

// close closes the caller's connection, unless a shutdown does that.
func (s *session) close() {
	defer s.holder.Close()
	if s.givenUp {
		return
	}
	_ = s.caller.Close()
	s.engine.removeSession(s)
}

// start reads the caller's startup message and accepts or refuses the session. It
// returns false if the session has ended.
func (s *session) start() bool {
	if err := s.memory.Charge(cwmemory.Connection, cwmemoryguard.ConnectionBytes); err != nil {
		// The session ends in any case, so a write error is ignored.
		_ = s.caller.Refuse(cwstatement.RetryLater(cwstatement.TooManyConnections, err.Error(), cwmemoryguard.RetryAfter))
		return false
	}
	st, err := s.receiveStartup()
	if err != nil {
		s.refuseMalformed(err)
		s.refuseDropped(err)
		s.engine.cfg.Log.Debug("startupFailed", "cause", err)
		return false
	}
	a := shutdownAnswer()
	if !s.engine.refusing.Load() {
		a = s.engine.admit(st)
	}
	if a.Code != cwstatement.OK {
		s.engine.cfg.Log.Info("sessionRefused", "database", s.database, "code", a.Code, "why", a.Detail)
		// The session ends in any case, so a write error is ignored.
		_ = s.caller.Refuse(a)
		return false
	}
	return s.caller.Accept() == nil
}

// receiveStartup waits for the caller's startup message. If the session is ended meanwhile,
// it tells the caller why.
func (s *session) receiveStartup() (cwport.Startup, error) {
	if !s.beginIdle(startupTimeout) {
		return cwport.Startup{}, io.EOF
	}
	st, err := s.caller.Startup()
	closing := s.endIdle()
	if closing != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		s.sayEnd(*closing)
	}
	if err != nil {
		return st, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.database, s.key = st.Database, st.KeyDigest
	return st, nil
}

// beginStatement tracks a statement that was read.
func (s *session) beginStatement(st cwstatement.Statement, began time.Time) {
	s.open = &openStatement{
		id: st.ID, verb: st.Verb, from: fromCaller, readAt: began, requester: s,
		mayCommit: s.mayCommit(st), inTransaction: s.stateAfter(st.Verb) != cwstatement.Idle,
	}
	s.engine.open.begin(s.open)
}

// mayCommit reports whether a statement can commit a write.
func (s *session) mayCommit(st cwstatement.Statement) bool {
	switch st.Verb {
	case cwstatement.Write:
		return !s.inTransaction()
	case cwstatement.Execute:
		return !s.inTransaction() && s.prepared[st.Name].writes
	case cwstatement.Commit:
		return s.tx != nil && s.tx.mayHaveWritten || s.remote != nil && s.remote.mayHaveWritten
	}
	return false
}

func noDatabase(name string) cwstatement.Response {
	return cwstatement.Failure(cwstatement.NoDatabase, "no entry is named "+name)
}

// refuseMalformed tells the caller that its message breaks the protocol. It has no effect if
// err is another error.
func (s *session) refuseMalformed(err error) {
	var malformed *cwport.MalformedMessageError
	if errors.As(err, &malformed) {
		// The session ends in any case, so a write error is ignored.
		_ = s.caller.Refuse(cwstatement.Failure(cwstatement.Malformed, malformed.Error()))
	}
}

// handleEnd rolls back the open transaction after the caller's connection has ended.
func (s *session) handleEnd(err error) {
	s.failTransaction("the caller is gone")
	s.returnQuota()
	if !errors.Is(err, io.EOF) {
		s.engine.cfg.Log.Debug("sessionEnded", "database", s.database, "cause", err)
	}
}
