package cwengine

import (
	"errors"
	"io"
	"maps"
	"os"
	"sync"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
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
	// maxSettings and maxPrepared limit the settings and prepared statements of a
	// session, so that one caller cannot use up the memory of all.
	maxSettings = 256
	maxPrepared = 256
)

// preparedStatement is a statement that the session has prepared.
type preparedStatement struct {
	// name is the name under which targets know it. It is derived from the content,
	// since callers use the same names for different statements.
	name string
	// text is the statement as it was prepared.
	text   string
	writes bool
}

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
	// settings is replaced as a whole, never modified, when the caller sets one.
	settings map[string]string
	prepared map[string]preparedStatement
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

// serve handles the session until it ends.
func (s *session) serve() {
	defer s.close()
	if !s.start() {
		return
	}
	for {
		st, err := s.next()
		if err != nil {
			s.refuseMalformed(err)
			s.handleEnd(err)
			return
		}
		began := s.engine.cfg.Clock.Now()
		s.beginStatement(st, began)
		a := s.handle(st, began)
		s.returnQuota()
		if !s.engine.open.claim(s.open) {
			s.givenUp = true
			return
		}
		took := s.engine.cfg.Clock.Since(began)
		s.engine.cfg.Metrics.countStatement(st.Verb, a.Code)
		s.engine.cfg.Metrics.Statement.Update(took.Seconds())
		if a.Code != cwstatement.OK {
			s.engine.cfg.Log.Info("statementFailed", "id", st.ID, "verb", st.Verb, "database", s.database,
				"group", s.engine.groupName(s.database), "workspace", s.workspace, "revision", s.engine.Revision(),
				"code", a.Code, "why", a.Detail, "tookMs", took.Milliseconds())
		}
		err = s.caller.Reply(a)
		s.engine.open.end(s.open)
		if err != nil {
			s.handleEnd(err)
			return
		}
	}
}

// close closes the caller's connection, unless a shutdown does that.
func (s *session) close() {
	if s.givenUp {
		return
	}
	_ = s.caller.Close()
	s.engine.removeSession(s)
}

// start reads the caller's startup message and accepts or refuses the session. It
// returns false if the session has ended.
func (s *session) start() bool {
	st, err := s.receiveStartup()
	if err != nil {
		s.refuseMalformed(err)
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

// next waits for the next statement. A transaction that is idle for too long is rolled
// back without a message to the caller, which learns of it with the answer to its next
// statement.
func (s *session) next() (cwstatement.Statement, error) {
	for {
		timeout := time.Duration(0)
		switch {
		case s.tx != nil && s.tx.lease != nil:
			timeout = s.tx.entry.Contract.IdleTransaction
		case s.remote != nil && s.remote.holder != nil:
			timeout = s.remote.entry.Contract.IdleTransaction
		}
		if !s.beginIdle(timeout) {
			s.sayEnd(*s.closing)
			return cwstatement.Statement{}, io.EOF
		}
		st, err := s.caller.Next()
		closing := s.endIdle()
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return st, err
		case closing != nil:
			s.sayEnd(*closing)
			return st, err
		case !s.inTransaction():
			return st, err
		}
		s.failTransaction("the transaction rested for too long")
	}
}

// beginIdle marks the session as waiting for its caller, for at most timeout if that is
// not zero. It returns false if the session is to end instead.
func (s *session) beginIdle(timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing != nil {
		return false
	}
	s.idle, s.idleInTransaction, s.idleSince = true, s.inTransaction(), s.engine.cfg.Clock.Now()
	return s.caller.SetReadTimeout(timeout) == nil
}

// endIdle marks the session as no longer waiting. It returns what the caller is to be told if
// the session is to end, else nil.
func (s *session) endIdle() *cwstatement.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = false
	return s.closing
}

// closeIfIdle ends the session if it waits for its caller, and tells the caller why. Inside
// a transaction, and after less than minIdle, it does so only if all is true. It does not
// interrupt a statement in progress.
func (s *session) closeIfIdle(all bool, why cwstatement.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.idle || s.closing != nil || !all && (s.idleInTransaction || s.engine.cfg.Clock.Since(s.idleSince) < minIdle) {
		return
	}
	s.closing = &why
	// The expired timeout wakes the reader. If setting it fails, the reader fails as
	// well.
	_ = s.caller.SetReadTimeout(time.Nanosecond)
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

// inTransaction reports whether a transaction is open, on this instance or at a holder.
func (s *session) inTransaction() bool { return s.tx != nil || s.remote != nil }

// failTransaction rolls back the open transaction, if there is one, and marks it as
// failed. The caller still has to end it.
func (s *session) failTransaction(reason string) {
	switch {
	case s.tx != nil:
		s.tx.fail(reason)
	case s.remote != nil:
		s.failRemote(reason)
	}
}

// resolveEntry returns the catalogue entry that the session uses.
func (s *session) resolveEntry() (cwcatalogue.Entry, bool) {
	if s.forwarded != nil {
		return s.forwarded.entry, true
	}
	return s.engine.findEntry(s.database)
}

// localGroup returns the group of an entry for a statement that runs on this instance,
// and starts the group if necessary. An instance that only forwards statements does not
// need their groups, and callers use far more groups than run on one instance.
func (s *session) localGroup(entry cwcatalogue.Entry) (*cwleadership.Group, bool) {
	if s.forwarded != nil {
		return s.forwarded.group, true
	}
	return s.engine.groupForStatement(entry.Groups[0].Name)
}

// handle runs one statement, which arrived at began, and returns its answer.
func (s *session) handle(st cwstatement.Statement, began time.Time) cwstatement.Response {
	if a, refused := s.refuseShuttingDown(st); refused {
		return a
	}
	if a := s.authorise(st, began); a.Code != cwstatement.OK {
		return a
	}
	if a := s.checkQuota(st, began); a.Code != cwstatement.OK {
		return a
	}
	if s.tx != nil {
		return s.handleInTransaction(st, began)
	}
	if s.remote != nil {
		return s.handleInRemoteTransaction(st, began)
	}
	switch st.Verb {
	case cwstatement.Begin, cwstatement.BeginRead:
		return s.begin(st)
	case cwstatement.Set, cwstatement.Prepare, cwstatement.Deallocate:
		return s.updateSession(st)
	case cwstatement.Read, cwstatement.Write, cwstatement.Execute:
		return s.runSingle(st, began)
	case cwstatement.Rollback:
		return cwstatement.Response{}
	}
	return cwstatement.Failure(cwstatement.Malformed, "the statement has no place here")
}

// updateSession answers a statement that only changes the session's settings or
// prepared statements.
func (s *session) updateSession(st cwstatement.Statement) cwstatement.Response {
	switch st.Verb {
	case cwstatement.Set:
		return s.set(st)
	case cwstatement.Prepare:
		return s.prepare(st)
	}
	if _, ok := s.prepared[st.Name]; !ok {
		return cwstatement.Failure(cwstatement.NotPrepared, "no statement is named "+st.Name)
	}
	delete(s.prepared, st.Name)
	return cwstatement.Response{}
}

func (s *session) set(st cwstatement.Statement) cwstatement.Response {
	if _, ok := s.settings[st.Name]; !ok && len(s.settings) >= maxSettings {
		return cwstatement.Failure(cwstatement.Malformed, "too many settings")
	}
	settings := maps.Clone(s.settings)
	if settings == nil {
		settings = make(map[string]string, 1)
	}
	settings[st.Name] = st.Args
	s.settings = settings
	return cwstatement.Response{}
}

func (s *session) prepare(st cwstatement.Statement) cwstatement.Response {
	if _, ok := s.prepared[st.Name]; !ok && len(s.prepared) >= maxPrepared {
		return cwstatement.Failure(cwstatement.Malformed, "too many prepared statements")
	}
	if s.prepared == nil {
		s.prepared = make(map[string]preparedStatement, 1)
	}
	s.prepared[st.Name] = preparedStatement{name: preparedName(st.Writes, st.Args), text: st.Args, writes: st.Writes}
	return cwstatement.Response{}
}

// work is a statement in the form in which a target gets it.
type work struct {
	command cwstatement.Command
	// prepare is the statement that command executes; nil for other commands.
	prepare *preparedStatement
	writes  bool
}

// newWork converts a read, write or execute to the form in which a target gets it.
func (s *session) newWork(st cwstatement.Statement) (work, cwstatement.Response) {
	w := work{command: cwstatement.Command{ID: st.ID, Verb: st.Verb, Text: st.Text}, writes: st.Verb == cwstatement.Write}
	if st.Verb != cwstatement.Execute {
		return w, cwstatement.Response{}
	}
	p, ok := s.prepared[st.Name]
	if !ok {
		return work{}, cwstatement.Failure(cwstatement.NotPrepared, "no statement is named "+st.Name)
	}
	w.prepare, w.writes = &p, p.writes
	w.command.Name, w.command.Args = p.name, st.Args
	return w, cwstatement.Response{}
}

// readRequirement returns how new the data must be that a read of the session sees.
func (s *session) readRequirement(e cwcatalogue.Entry, began time.Time) cwleadership.Read {
	if e.Contract.Reads == cwcatalogue.ReadLatest {
		return cwleadership.Read{ArrivedAt: began}
	}
	rd := cwleadership.Read{ArrivedAt: began, MaxAge: e.Contract.MaxAge}
	if e.Contract.Reads == cwcatalogue.ReadYourWrites {
		rd.LastWrite = s.lastWrites[e.Groups[0].Name]
	}
	return rd
}

func (s *session) recordWrite(group string, m cwgroup.LogPosition) {
	if s.lastWrites == nil {
		s.lastWrites = make(map[string]cwgroup.LogPosition, 1)
	}
	s.lastWrites[group] = m
}
