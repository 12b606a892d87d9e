package cwfront

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// prepared is a statement that the caller prepared. The session keeps it; the
// targets learn it when it is needed there, under a name made of its content.
type prepared struct {
	query string
	oids  []uint32
	// stmt is the statement; empty is true for a text without one.
	stmt  cwsql.Statement
	empty bool
	// name is what the statement is called at the targets.
	name string
}

// maxPreparedPerSession bounds what one caller can make the proxy keep.
const maxPreparedPerSession = 1000

func noStatement(name string) error {
	return &cwrefusal.Refusal{Code: "26000", Message: "prepared statement " + strconv.Quote(name) + " does not exist", NotRun: true}
}

func (s *session) prepare(m *pgproto3.Parse) (*prepared, error) {
	stmts, err := s.server.parsed.Parse(m.Query)
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
	p := &prepared{query: m.Query, oids: append([]uint32(nil), m.ParameterOIDs...), empty: len(stmts) == 0}
	if !p.empty {
		p.stmt = stmts[0]
	} else {
		p.stmt.Kind = cwsql.Read
	}
	if p.stmt.Kind == cwsql.Unsupported {
		return nil, unsupported(p.stmt.Name)
	}
	p.name = digestName(p.query, p.oids)
	if s.prepared == nil {
		s.prepared = make(map[string]*prepared)
	}
	s.prepared[m.Name] = p
	return p, nil
}

// digestName names a prepared statement at the targets by its content, so that
// callers who prepare the same text share it. The hash must not collide, not
// even on purpose: a collision would run one caller's text for another.
func digestName(query string, oids []uint32) string {
	h := sha256.New()
	for _, o := range oids {
		h.Write([]byte{byte(o), byte(o >> 8), byte(o >> 16), byte(o >> 24)})
	}
	h.Write([]byte{0})
	h.Write([]byte(query))
	return "cw_" + hex.EncodeToString(h.Sum(nil)[:20])
}
