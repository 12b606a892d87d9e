package cwserver

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// preparedStatement is a statement that the client prepared. The session keeps
// it and prepares it on a target connection when it is needed there, under a
// name derived from its content.
type preparedStatement struct {
	query     string
	paramOIDs []uint32
	// parsed is the parsed statement; empty is true if the query has none.
	parsed cwsql.Statement
	empty  bool
	// targetName is the statement's name on target connections.
	targetName string
	// bytes is what is charged for it.
	bytes int64
}

// maxPreparedPerSession limits the prepared statements that the proxy keeps for
// one client.
const maxPreparedPerSession = 1000

func noStatementRefusal(name string) error {
	return &cwrefusal.Refusal{Code: "26000", Message: "prepared statement " + strconv.Quote(name) + " does not exist", NotRun: true}
}

// prepareStatement parses and records a statement for a Parse message. Nothing is
// sent to a target yet.
func (s *session) prepareStatement(m *pgproto3.Parse) (*preparedStatement, error) {
	stmts, err := s.server.statementCache.Parse(m.Query)
	if err != nil {
		return nil, err
	}
	if len(stmts) > 1 {
		return nil, &cwrefusal.Refusal{Code: "42601", Message: "cannot insert multiple commands into a prepared statement", NotRun: true}
	}
	if _, ok := s.prepared[m.Name]; ok && m.Name != "" {
		return nil, &cwrefusal.Refusal{Code: "42P05", Message: "prepared statement " + strconv.Quote(m.Name) + " already exists", NotRun: true}
	}
	if len(s.prepared) >= maxPreparedPerSession {
		return nil, cwrefusal.NotRun(cwrefusal.LimitExceeded, 0, "more than %d prepared statements in one session", maxPreparedPerSession)
	}
	p := &preparedStatement{query: m.Query, paramOIDs: append([]uint32(nil), m.ParameterOIDs...), empty: len(stmts) == 0}
	if !p.empty {
		p.parsed = stmts[0]
	} else {
		p.parsed.Kind = cwsql.Read
	}
	if p.parsed.Kind == cwsql.Unsupported {
		return nil, unsupportedRefusal(p.parsed.Name)
	}
	p.targetName = targetStatementName(p.query, p.paramOIDs)
	if err := s.chargePrepared(m.Name, p); err != nil {
		return nil, err
	}
	s.forgetPrepared(m.Name)
	if s.prepared == nil {
		s.prepared = make(map[string]*preparedStatement)
	}
	s.prepared[m.Name] = p
	return p, nil
}

// targetStatementName returns the name of a prepared statement on target
// connections. It is a hash of the content, so that clients that prepare the
// same text share the statement. The hash must be collision-resistant even
// against an attacker: a collision would run one client's query for another.
func targetStatementName(query string, oids []uint32) string {
	h := sha256.New()
	for _, o := range oids {
		h.Write([]byte{byte(o), byte(o >> 8), byte(o >> 16), byte(o >> 24)})
	}
	h.Write([]byte{0})
	h.Write([]byte(query))
	return "cw_" + hex.EncodeToString(h.Sum(nil)[:20])
}
