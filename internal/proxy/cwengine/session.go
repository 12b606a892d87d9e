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
	"cicadawalk.example/cicadawalk/internal/proxy/cwlead"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Bounds of what a session may keep here.
const (
	// startupTimeout bounds the wait for a caller's first message.
	startupTimeout = 5 * time.Second
	// catalogueWait is how long a startup waits for the first catalogue. The
	// store gives it within some hundredths of a second, or some tenths when
	// it is slow; callers give up after two seconds.
	catalogueWait = time.Second
	// catalogueRetry is what callers are told who came too early: instances look
	// for a store that is away twice a second.
	catalogueRetry = 500 * time.Millisecond
	// maxValues and maxPrepared bound a session's settings and prepared
	// statements, so that one caller cannot use up the memory of all.
	maxValues   = 256
	maxPrepared = 256
)

// prepared is a statement that the session has named.
type prepared struct {
	// target is the name that targets know it by. It is worked out from the
	// content, since callers choose the same names for different statements.
	target string
	shape  string
	writes bool
}

// session is one caller's connection.
type session struct {
	engine *Engine
	caller cwport.Caller

	// database and key are what the caller said of itself; workspace is what the
	// key stood for at the latest statement.
	database  string
	key       cwcatalogue.KeyDigest
	workspace string
	// given is set for a session that another instance has handed over.
	given *given
	// values is replaced, not changed, when the caller sets one.
	values   map[string]string
	prepared map[string]prepared
	// wrote is the last mark that the session wrote, by group.
	wrote map[string]cwgroup.Mark
	tx    *transaction
	// away is the open transaction if a holder runs it; then tx is nil.
	away *away

	// mu guards where the session rests; a shutdown looks at it.
	mu      sync.Mutex
	resting bool
	inTx    bool
	leaving bool
}

// run serves the session to its end.
func (s *session) run() {
	defer s.engine.forget(s)
	defer func() { _ = s.caller.Close() }()
	if !s.start() {
		return
	}
	for {
		st, err := s.next()
		if err != nil {
			s.ended(err)
			return
		}
		began := s.engine.cfg.Clock.Now()
		a := s.handle(st, began)
		took := s.engine.cfg.Clock.Since(began)
		s.engine.cfg.Metrics.answered(st.Verb, a.Code)
		s.engine.cfg.Metrics.Statement.Update(took.Seconds())
		if a.Code != cwstatement.OK {
			s.engine.cfg.Log.Info("statementFailed", "id", st.ID, "verb", st.Verb, "database", s.database,
				"group", s.engine.groupName(s.database), "workspace", s.workspace, "revision", s.engine.Revision(),
				"code", a.Code, "why", a.Detail, "tookMs", took.Milliseconds())
		}
		if err := s.caller.Reply(a); err != nil {
			s.ended(err)
			return
		}
	}
}

func (s *session) start() bool {
	if err := s.caller.SetReadTimeout(startupTimeout); err != nil {
		return false
	}
	st, err := s.caller.Startup()
	if err != nil {
		s.engine.cfg.Log.Debug("startupFailed", "cause", err)
		return false
	}
	s.mu.Lock()
	s.database, s.key = st.Database, st.Key
	s.mu.Unlock()
	if a := s.engine.admit(st); a.Code != cwstatement.OK {
		s.engine.cfg.Log.Info("sessionRefused", "database", s.database, "code", a.Code, "why", a.Detail)
		// The answer ends the session; whether it arrives changes nothing.
		_ = s.caller.Refuse(a)
		return false
	}
	return s.caller.Accept() == nil
}

func noDatabase(name string) cwstatement.Answer {
	return cwstatement.Failure(cwstatement.NoDatabase, "no entry is named "+name)
}

// next waits for the next statement. A transaction that rests for too long is
// ended quietly; the caller learns it with its next statement.
func (s *session) next() (cwstatement.Statement, error) {
	for {
		idle := time.Duration(0)
		switch {
		case s.tx != nil && s.tx.loan != nil:
			idle = s.tx.entry.Contract.IdleTransaction
		case s.away != nil && s.away.holder != nil:
			idle = s.away.entry.Contract.IdleTransaction
		}
		if !s.rest(idle) {
			return cwstatement.Statement{}, io.EOF
		}
		st, err := s.caller.Next()
		s.mu.Lock()
		s.resting = false
		leaving := s.leaving
		s.mu.Unlock()
		if errors.Is(err, os.ErrDeadlineExceeded) && !leaving && s.inTransaction() {
			s.failOpen("the transaction rested for too long")
			continue
		}
		return st, err
	}
}

// rest notes that the session waits for its caller. It returns false if the
// session is to end instead.
func (s *session) rest(idle time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.resting, s.inTx = true, s.inTransaction()
	return s.caller.SetReadTimeout(idle) == nil
}

// sendAway ends the session if it rests outside a transaction, or anywhere if
// transactions is true. A statement that is being served is left in peace.
func (s *session) sendAway(transactions bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.resting || s.leaving || s.inTx && !transactions {
		return
	}
	s.leaving = true
	// Waking the reader is enough; what fails here fails there, too.
	_ = s.caller.SetReadTimeout(time.Nanosecond)
}

func (s *session) ended(err error) {
	s.failOpen("the caller is gone")
	if !errors.Is(err, io.EOF) {
		s.engine.cfg.Log.Debug("sessionEnded", "database", s.database, "cause", err)
	}
}

// inTransaction reports whether a transaction is open, here or at a holder.
func (s *session) inTransaction() bool { return s.tx != nil || s.away != nil }

// failOpen ends the open transaction, if there is one; the caller has yet to
// end it.
func (s *session) failOpen(why string) {
	switch {
	case s.tx != nil:
		s.tx.fail(why)
	case s.away != nil:
		s.failAway(why)
	}
}

// lookup returns the entry that the session uses.
func (s *session) lookup() (cwcatalogue.Entry, bool) {
	if s.given != nil {
		return s.given.entry, true
	}
	return s.engine.entryNamed(s.database)
}

// groupHere returns the group of an entry for a statement that runs here. Callers
// come for far more groups than run here, and one that only hands their statements
// over needs none.
func (s *session) groupHere(entry cwcatalogue.Entry) (*cwlead.Group, bool) {
	if s.given != nil {
		return s.given.group, true
	}
	return s.engine.use(entry.Groups[0].Name)
}

// handle serves one statement that came at began.
func (s *session) handle(st cwstatement.Statement, began time.Time) cwstatement.Answer {
	if a := s.authorise(st, began); a.Code != cwstatement.OK {
		return a
	}
	if a := s.meter(st); a.Code != cwstatement.OK {
		return a
	}
	if s.tx != nil {
		return s.handleInTransaction(st, began)
	}
	if s.away != nil {
		return s.handleAway(st, began)
	}
	switch st.Verb {
	case cwstatement.Begin, cwstatement.BeginRead:
		return s.begin(st)
	case cwstatement.Set, cwstatement.Prepare, cwstatement.Deallocate:
		return s.keep(st)
	case cwstatement.Read, cwstatement.Write, cwstatement.Execute:
		return s.runAlone(st, began)
	case cwstatement.Rollback:
		return cwstatement.Answer{}
	}
	return cwstatement.Failure(cwstatement.Malformed, "the statement has no place here")
}

// keep answers a statement that only changes the session.
func (s *session) keep(st cwstatement.Statement) cwstatement.Answer {
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
	return cwstatement.Answer{}
}

func (s *session) set(st cwstatement.Statement) cwstatement.Answer {
	if _, ok := s.values[st.Name]; !ok && len(s.values) >= maxValues {
		return cwstatement.Failure(cwstatement.Malformed, "too many settings")
	}
	values := maps.Clone(s.values)
	if values == nil {
		values = make(map[string]string, 1)
	}
	values[st.Name] = st.Rest
	s.values = values
	return cwstatement.Answer{}
}

func (s *session) prepare(st cwstatement.Statement) cwstatement.Answer {
	if _, ok := s.prepared[st.Name]; !ok && len(s.prepared) >= maxPrepared {
		return cwstatement.Failure(cwstatement.Malformed, "too many prepared statements")
	}
	if s.prepared == nil {
		s.prepared = make(map[string]prepared, 1)
	}
	s.prepared[st.Name] = prepared{target: targetName(st.Writes, st.Rest), shape: st.Rest, writes: st.Writes}
	return cwstatement.Answer{}
}

// work is a statement made ready for a target.
type work struct {
	command cwstatement.Command
	// prepare is what the command needs prepared; nil for others.
	prepare *prepared
	writes  bool
}

// workOf makes a read, write or execute ready for a target.
func (s *session) workOf(st cwstatement.Statement) (work, cwstatement.Answer) {
	w := work{command: cwstatement.Command{ID: st.ID, Verb: st.Verb, Text: st.Text}, writes: st.Verb == cwstatement.Write}
	if st.Verb != cwstatement.Execute {
		return w, cwstatement.Answer{}
	}
	p, ok := s.prepared[st.Name]
	if !ok {
		return work{}, cwstatement.Failure(cwstatement.NotPrepared, "no statement is named "+st.Name)
	}
	w.prepare, w.writes = &p, p.writes
	w.command.Name, w.command.Rest = p.target, st.Rest
	return w, cwstatement.Answer{}
}

// read returns what a read of the session needs.
func (s *session) read(e cwcatalogue.Entry, began time.Time) cwlead.Read {
	if e.Contract.Reads == cwcatalogue.ReadNewest {
		return cwlead.Read{Came: began}
	}
	rd := cwlead.Read{Came: began, MaxAge: e.Contract.MaxAge}
	if e.Contract.Reads == cwcatalogue.ReadOwnWrites {
		rd.Seen = s.wrote[e.Groups[0].Name]
	}
	return rd
}

func (s *session) sawWrite(group string, m cwgroup.Mark) {
	if s.wrote == nil {
		s.wrote = make(map[string]cwgroup.Mark, 1)
	}
	s.wrote[group] = m
}
