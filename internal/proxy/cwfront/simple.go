package cwfront

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwrequest"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpool"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// simpleQuery answers a message of the simple protocol.
func (s *session) simpleQuery(text string) {
	stmts, err := s.server.parsed.Parse(text)
	switch {
	case err != nil:
		s.fail(err)
	case len(stmts) == 0:
		s.send(&pgproto3.EmptyQueryResponse{})
	case len(stmts) == 1:
		s.single(stmts[0], text)
	default:
		s.several(stmts, text)
	}
}

// single answers one statement.
func (s *session) single(st cwsql.Statement, text string) {
	if s.answerLocally(st, true) {
		return
	}
	s.runUnit(s.simpleUnit(st, text))
}

func (s *session) simpleUnit(st cwsql.Statement, text string) unit {
	u := unit{
		read:   s.readsOnly(st),
		begin:  st.Kind == cwsql.Begin,
		ends:   st.Kind == cwsql.Commit,
		sync:   true,
		digest: func() string { return cwrequest.Digest([]byte(text)) },
		send: func(c *cwpool.Conn) *steps {
			c.Front.SendQuery(&pgproto3.Query{String: text})
			return nil
		},
	}
	u.done = s.afterSetting(st)
	return u
}

// readsOnly reports whether a statement may run at a replica.
func (s *session) readsOnly(st cwsql.Statement) bool {
	switch st.Kind {
	case cwsql.Read, cwsql.Show, cwsql.Set, cwsql.SetLocal, cwsql.Reset:
		return true
	case cwsql.Begin:
		return st.ReadOnly || s.defaultReadOnly() && !st.ReadWrite
	}
	return false
}

func (s *session) defaultReadOnly() bool {
	switch strings.ToLower(s.settings.m[readOnlyName]) {
	case "on", "true", "yes", "1":
		return true
	}
	return false
}

// afterSetting returns what to note once a SET or RESET succeeded at the
// target, or nil.
func (s *session) afterSetting(st cwsql.Statement) func(*cwpool.Conn, reply) {
	if st.Kind != cwsql.Set && st.Kind != cwsql.Reset {
		return nil
	}
	return func(c *cwpool.Conn, rep reply) {
		if rep.code != "" {
			return
		}
		set := s.settings
		if s.tx != nil {
			// It counts only if the transaction commits, and the connection is
			// not lent again: what it then has is not worth finding out.
			set = s.tx.pending
			s.tx.dirty = true
		}
		if st.Kind == cwsql.Reset || st.Default {
			set = set.without(st.Name)
			delete(c.Applied, st.Name)
		} else {
			set = set.with(st.Name, st.Value)
			c.Applied[st.Name] = st.Value
		}
		if s.tx != nil {
			s.tx.pending = set
			return
		}
		s.settings = set
	}
}

// answerLocally answers what needs no target. The simple flag says that rows
// are described; the extended protocol asks for that by itself.
func (s *session) answerLocally(st cwsql.Statement, simple bool) bool {
	inTx := s.tx != nil
	if inTx && (s.tx.failed || s.tx.lease == nil) {
		s.answerFailed(st)
		return true
	}
	switch st.Kind {
	case cwsql.Unsupported:
		s.fail(unsupported(st.Name))
	case cwsql.Commit, cwsql.Rollback:
		if st.Chain {
			s.fail(unsupported("AND CHAIN"))
			return true
		}
		if inTx {
			return false
		}
		s.notice("there is no transaction in progress")
		s.complete(map[bool]string{true: "COMMIT", false: "ROLLBACK"}[st.Kind == cwsql.Commit])
	case cwsql.Discard:
		s.discard(inTx)
	case cwsql.Set, cwsql.SetLocal, cwsql.Show, cwsql.Reset:
		return s.answerSetting(st, simple)
	default:
		return false
	}
	return true
}

// answerFailed answers a statement in a transaction that can only be rolled
// back.
func (s *session) answerFailed(st cwsql.Statement) {
	if st.Kind != cwsql.Commit && st.Kind != cwsql.Rollback {
		s.fail(errAborted)
		return
	}
	s.rollbackQuietly()
	s.complete("ROLLBACK")
}

// rollbackQuietly ends the transaction at the target, if it is still there.
func (s *session) rollbackQuietly() {
	tx := s.tx
	if tx.lease != nil {
		if res, err := tx.lease.Conn.Exec("ROLLBACK"); err == nil {
			tx.status = res.Status
		}
	}
	s.endTransaction(false)
	if tx.endWrite != nil {
		tx.endWrite()
	}
}

func (s *session) answerSetting(st cwsql.Statement, simple bool) bool {
	mine := strings.HasPrefix(st.Name, ownPrefix)
	switch {
	case st.Kind == cwsql.Reset && st.Name == "":
		s.settings, s.own = settings{}, own{shard: s.own.shard}
		if s.tx != nil {
			s.tx.pending = settings{}
			return false
		}
		s.complete("RESET")
		return true
	case !mine:
		if st.Kind == cwsql.Set && (len(s.settings.m) >= maxSettings || len(st.Value) > maxSettingBytes) {
			s.fail(cwrefusal.NotRun(cwrefusal.LimitExceeded, 0, "too many or too long settings in one session"))
			return true
		}
		return false
	case st.Kind == cwsql.Show:
		v, err := s.showOwn(st.Name)
		if err != nil {
			s.fail(err)
			return true
		}
		s.sendText(st.Name, v, simple)
		return true
	}
	value := st.Value
	if st.Kind == cwsql.Reset || st.Default {
		value = ""
	}
	if err := s.setOwn(st.Name, value); err != nil {
		s.fail(err)
		return true
	}
	s.complete(map[bool]string{true: "RESET", false: "SET"}[st.Kind == cwsql.Reset])
	return true
}

func (s *session) discard(inTx bool) {
	if inTx {
		s.fail(&cwrefusal.Refusal{Code: "25001", Message: "DISCARD ALL cannot run inside a transaction block", NotRun: true})
		return
	}
	s.settings, s.own = settings{}, own{shard: s.own.shard}
	s.prepared, s.portals = nil, nil
	s.complete("DISCARD ALL")
}

func unsupported(what string) error {
	return cwrefusal.NotRun(cwrefusal.FeatureNotSupported, 0, "%s is not supported through cicadawalk: it would stay behind on a shared connection", what)
}

func (s *session) complete(tag string) {
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (s *session) notice(text string) {
	s.send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25P01", Message: text})
}

func textColumn(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

func (s *session) sendText(name, value string, describe bool) {
	if describe {
		s.send(textColumn(name))
	}
	s.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	s.complete("SHOW")
}

// several answers a query of several statements. They are one implicit
// transaction, so they run at one target; settings can stand only among
// themselves.
func (s *session) several(stmts []cwsql.Statement, text string) {
	if s.tx != nil && (s.tx.failed || s.tx.lease == nil) {
		s.fail(errAborted)
		return
	}
	u := unit{read: true, sync: true, digest: func() string { return cwrequest.Digest([]byte(text)) }}
	sets := 0
	for _, st := range stmts {
		switch st.Kind {
		case cwsql.Unsupported:
			s.fail(unsupported(st.Name))
			return
		case cwsql.Set, cwsql.Reset, cwsql.Discard:
			sets++
		case cwsql.Show:
			if strings.HasPrefix(st.Name, ownPrefix) {
				sets++
			}
		case cwsql.Begin, cwsql.Commit, cwsql.Rollback:
			if st.Chain {
				s.fail(unsupported("AND CHAIN"))
				return
			}
			u.ends = true
		}
		u.read = u.read && s.readsOnly(st)
	}
	if sets > 0 {
		s.eachSetting(stmts, sets)
		return
	}
	u.read = u.read && !u.ends
	u.send = func(c *cwpool.Conn) *steps {
		c.Front.SendQuery(&pgproto3.Query{String: text})
		return nil
	}
	s.runUnit(u)
}

// eachSetting runs a query that has only settings, one by one.
func (s *session) eachSetting(stmts []cwsql.Statement, sets int) {
	if sets < len(stmts) {
		s.fail(cwrefusal.NotRun(cwrefusal.FeatureNotSupported, 0, "SET and RESET together with other statements in one query are not supported; send them apart"))
		return
	}
	for _, st := range stmts {
		start := len(s.out)
		s.single(st, st.Text)
		if hasError(s.out[start:]) {
			return
		}
	}
}

// hasError reports whether encoded messages contain an error.
func hasError(out []byte) bool {
	for len(out) >= 5 {
		if out[0] == 'E' {
			return true
		}
		n := int(out[1])<<24 | int(out[2])<<16 | int(out[3])<<8 | int(out[4])
		if n < 4 || 1+n > len(out) {
			return false
		}
		out = out[1+n:]
	}
	return false
}
