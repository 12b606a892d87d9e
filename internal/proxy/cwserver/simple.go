package cwserver

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwrequestkey"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpgpool"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// handleSimpleQuery answers a simple query, which may have several statements.
func (s *session) handleSimpleQuery(text string) {
	stmts, err := s.server.statementCache.Parse(text)
	switch {
	case err != nil:
		s.failStatement(err)
	case len(stmts) == 0:
		s.send(&pgproto3.EmptyQueryResponse{})
	case len(stmts) == 1:
		s.runStatement(stmts[0], text)
	default:
		s.runStatements(stmts, text)
	}
}

// runStatement answers a simple query of one statement.
func (s *session) runStatement(st cwsql.Statement, text string) {
	if s.answerLocally(st, true) {
		return
	}
	s.runRequest(s.simpleRequest(st, text))
}

// simpleRequest returns the request that sends a simple query of one statement to
// a target.
func (s *session) simpleRequest(st cwsql.Statement, text string) request {
	req := request{
		readOnly:  s.readsOnly(st),
		begins:    st.Kind == cwsql.Begin,
		mayCommit: st.Kind == cwsql.Commit,
		sync:      true,
		digest:    func() string { return cwrequestkey.Digest([]byte(text)) },
		send: func(c *cwpgpool.Conn) *responseQueue {
			c.Frontend.SendQuery(&pgproto3.Query{String: text})
			return nil
		},
	}
	req.onComplete = s.settingRecorder(st)
	return req
}

// readsOnly reports whether a statement may run on a replica.
func (s *session) readsOnly(st cwsql.Statement) bool {
	switch st.Kind {
	case cwsql.Read, cwsql.Show, cwsql.Set, cwsql.SetLocal, cwsql.Reset:
		return true
	case cwsql.Begin:
		return st.ReadOnly || s.defaultReadOnly() && !st.ReadWrite
	}
	return false
}

// defaultReadOnly reports whether the client has set
// default_transaction_read_only.
func (s *session) defaultReadOnly() bool {
	switch strings.Trim(strings.ToLower(s.settings.values[settingReadOnly]), "'") {
	case "on", "true", "yes", "1":
		return true
	}
	return false
}

// settingRecorder returns a function that records a SET or RESET in the session
// and on the connection, to be called with the target's response. It returns nil
// for other statements.
func (s *session) settingRecorder(st cwsql.Statement) func(*cwpgpool.Conn, responseSummary) {
	if st.Kind != cwsql.Set && st.Kind != cwsql.Reset {
		return nil
	}
	return func(c *cwpgpool.Conn, rep responseSummary) {
		if rep.errorCode != "" {
			return
		}
		set := s.settings
		if s.tx != nil {
			// The setting becomes the session's only if the transaction commits.
			// The connection is not pooled again, so that its settings after the
			// transaction need not be tracked.
			set = s.tx.pendingSettings
			s.tx.settingsChanged = true
		}
		if st.Kind == cwsql.Reset || st.Default {
			set = set.without(st.Name)
			delete(c.Settings, st.Name)
		} else {
			set = set.with(st.Name, st.Literals)
			c.Settings[st.Name] = st.Literals
		}
		if s.tx != nil {
			s.tx.pendingSettings = set
			return
		}
		s.settings = set
	}
}

// answerLocally answers a statement that needs no target, and returns false for
// any other. The simple flag adds the row description to a result; a client of
// the extended protocol requests it with a Describe.
func (s *session) answerLocally(st cwsql.Statement, simple bool) bool {
	inTx := s.tx != nil
	if inTx && (s.tx.failed || s.tx.lease == nil) {
		s.answerInFailedTransaction(st)
		return true
	}
	switch st.Kind {
	case cwsql.Unsupported:
		s.failStatement(unsupportedRefusal(st.Name))
	case cwsql.Commit, cwsql.Rollback:
		if st.Chain {
			s.failStatement(unsupportedRefusal("AND CHAIN"))
			return true
		}
		if inTx {
			return false
		}
		s.sendNotice("there is no transaction in progress")
		s.sendCommandComplete(map[bool]string{true: "COMMIT", false: "ROLLBACK"}[st.Kind == cwsql.Commit])
	case cwsql.Discard:
		s.discardAll(inTx)
	case cwsql.Set, cwsql.SetLocal, cwsql.Show, cwsql.Reset:
		return s.answerSetting(st, simple)
	default:
		return false
	}
	return true
}

// answerInFailedTransaction answers a statement in a transaction that can only
// be rolled back.
func (s *session) answerInFailedTransaction(st cwsql.Statement) {
	if st.Kind != cwsql.Commit && st.Kind != cwsql.Rollback {
		s.failStatement(errAborted)
		return
	}
	s.rollbackTransaction()
	s.sendCommandComplete("ROLLBACK")
}

// rollbackTransaction rolls back the open transaction and ends it. It sends the
// client nothing.
func (s *session) rollbackTransaction() {
	tx := s.tx
	if tx.lease != nil {
		if res, err := tx.lease.Conn.Exec("ROLLBACK"); err == nil {
			tx.txStatus = res.TxStatus
		}
	}
	s.endTransaction(false)
	if tx.endWrite != nil {
		tx.endWrite()
	}
}

// answerSetting answers statements on the proxy's own settings, and RESET ALL
// outside a transaction. It returns false if the statement must run at the target.
func (s *session) answerSetting(st cwsql.Statement, simple bool) bool {
	isProxySetting := strings.HasPrefix(st.Name, proxySettingPrefix)
	switch {
	case st.Kind == cwsql.Reset && st.Name == "":
		s.settings, s.proxySettings = settings{}, proxySettings{shard: s.proxySettings.shard}
		if s.tx != nil {
			s.tx.pendingSettings = settings{}
			return false
		}
		s.sendCommandComplete("RESET")
		return true
	case !isProxySetting:
		if st.Kind == cwsql.Set && (len(s.settings.values) >= maxSettings || len(st.Value) > maxSettingBytes) {
			s.failStatement(cwrefusal.NotRun(cwrefusal.LimitExceeded, 0, "too many or too long settings in one session"))
			return true
		}
		return false
	case st.Kind == cwsql.Show:
		v, err := s.showProxySetting(st.Name)
		if err != nil {
			s.failStatement(err)
			return true
		}
		s.sendTextRow(st.Name, v, simple)
		return true
	}
	value := st.Value
	if st.Kind == cwsql.Reset || st.Default {
		value = ""
	}
	if err := s.setProxySetting(st.Name, value); err != nil {
		s.failStatement(err)
		return true
	}
	s.sendCommandComplete(map[bool]string{true: "RESET", false: "SET"}[st.Kind == cwsql.Reset])
	return true
}

// discardAll answers DISCARD ALL. The shard, and with it the group, stays.
func (s *session) discardAll(inTx bool) {
	if inTx {
		s.failStatement(&cwrefusal.Refusal{Code: "25001", Message: "DISCARD ALL cannot run inside a transaction block", NotRun: true})
		return
	}
	s.settings, s.proxySettings = settings{}, proxySettings{shard: s.proxySettings.shard}
	s.forgetAllPrepared()
	s.sendCommandComplete("DISCARD ALL")
}

// unsupportedRefusal refuses what the proxy does not support, mostly statements
// such as LISTEN that would leave state on a target connection, which other
// clients share.
func unsupportedRefusal(what string) error {
	return cwrefusal.NotRun(cwrefusal.FeatureNotSupported, 0, "%s is not supported through cicadawalk: it would stay behind on a shared connection", what)
}

func (s *session) sendCommandComplete(tag string) {
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (s *session) sendNotice(text string) {
	s.send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25P01", Message: text})
}

// textColumn describes a row with one column of type text.
func textColumn(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// sendTextRow sends the result of a SHOW, with its row description if describe is
// set.
func (s *session) sendTextRow(name, value string, describe bool) {
	if describe {
		s.send(textColumn(name))
	}
	s.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	s.sendCommandComplete("SHOW")
}

// runStatements answers a simple query of several statements. They form one
// implicit transaction, so they are sent to one target as a whole. Statements on
// settings are refused together with others; see runSettings.
func (s *session) runStatements(stmts []cwsql.Statement, text string) {
	if s.tx != nil && (s.tx.failed || s.tx.lease == nil) {
		s.failStatement(errAborted)
		return
	}
	req := request{readOnly: true, sync: true, digest: func() string { return cwrequestkey.Digest([]byte(text)) }}
	settingCount := 0
	for _, st := range stmts {
		switch st.Kind {
		case cwsql.Unsupported:
			s.failStatement(unsupportedRefusal(st.Name))
			return
		case cwsql.Set, cwsql.Reset, cwsql.Discard:
			settingCount++
		case cwsql.Show:
			if strings.HasPrefix(st.Name, proxySettingPrefix) {
				settingCount++
			}
		case cwsql.Begin, cwsql.Commit, cwsql.Rollback:
			if st.Chain {
				s.failStatement(unsupportedRefusal("AND CHAIN"))
				return
			}
			req.mayCommit = true
		}
		req.readOnly = req.readOnly && s.readsOnly(st)
	}
	if settingCount > 0 {
		s.runSettings(stmts, settingCount)
		return
	}
	req.readOnly = req.readOnly && !req.mayCommit
	req.send = func(c *cwpgpool.Conn) *responseQueue {
		c.Frontend.SendQuery(&pgproto3.Query{String: text})
		return nil
	}
	s.runRequest(req)
}

// runSettings runs a simple query that has only statements on settings, one by
// one up to the first error. It refuses a query that has others, too.
func (s *session) runSettings(stmts []cwsql.Statement, settingCount int) {
	if settingCount < len(stmts) {
		s.failStatement(cwrefusal.NotRun(cwrefusal.FeatureNotSupported, 0, "SET and RESET together with other statements in one query are not supported; send them apart"))
		return
	}
	for _, st := range stmts {
		start := len(s.output)
		s.runStatement(st, st.Text)
		if containsError(s.output[start:]) {
			return
		}
	}
}

// containsError reports whether the encoded messages contain an ErrorResponse.
func containsError(out []byte) bool {
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
