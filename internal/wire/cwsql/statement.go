// Package cwsql tells what a statement is, by PostgreSQL's own parser.
//
// A proxy must know whether a statement only reads, whether it begins or ends a
// transaction, and whether it would leave something behind on a pooled
// connection. Text is split and classified by libpg_query; no pattern is ever
// matched against SQL. Whatever is not known to be a read is a write.
//
// Parsing costs tens of microseconds, so a Cache keeps the result by text.
package cwsql

import (
	"errors"
	"strings"
	"sync"

	pgquery "github.com/pganalyze/pg_query_go/v6"
	"github.com/pganalyze/pg_query_go/v6/parser"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Kind says what a statement does to the session and the data.
type Kind uint8

// The kinds of statement.
const (
	// Write may change data. It is the default.
	Write Kind = iota
	// Read changes nothing and may run on a replica.
	Read
	// Begin starts a transaction.
	Begin
	// Commit ends a transaction.
	Commit
	// Rollback ends a transaction without effect.
	Rollback
	// Savepoint concerns part of a transaction.
	Savepoint
	// Set changes a setting of the session.
	Set
	// SetLocal changes a setting until the transaction ends.
	SetLocal
	// Show reads a setting.
	Show
	// Reset returns a setting, or all of them, to the default.
	Reset
	// Discard drops session state.
	Discard
	// Unsupported leaves something behind on a connection that a pool cannot
	// keep apart. Statement.Name says what.
	Unsupported
)

// Statement is one statement of a query. It is immutable.
type Statement struct {
	Kind Kind
	// Text is the statement without its semicolon.
	Text string
	// Name and Value are the setting's for Set, Show and Reset. Name is empty
	// for RESET ALL.
	Name, Value string
	// Default is true for SET name TO DEFAULT.
	Default bool
	// ReadOnly is true for BEGIN READ ONLY and its like.
	ReadOnly bool
	// ReadWrite is true for an explicit BEGIN READ WRITE.
	ReadWrite bool
	// Chain is true for COMMIT AND CHAIN.
	Chain bool
}

// SyntaxError is what the parser said about a text.
type SyntaxError struct {
	Message string
	// Position is the place of the error, counted in characters from 1; zero if
	// it is not known.
	Position int
}

func (e *SyntaxError) Error() string { return e.Message }

// Parse splits a text into its statements and classifies them.
func Parse(text string) ([]Statement, error) {
	tree, err := pgquery.Parse(text)
	if err != nil {
		var pe *parser.Error
		if errors.As(err, &pe) {
			return nil, &SyntaxError{Message: pe.Message, Position: pe.Cursorpos}
		}
		return nil, &SyntaxError{Message: err.Error()}
	}
	out := make([]Statement, 0, len(tree.Stmts))
	for _, raw := range tree.Stmts {
		s := classify(raw.Stmt)
		s.Text = slice(text, int(raw.StmtLocation), int(raw.StmtLen))
		out = append(out, s)
	}
	return out, nil
}

func slice(text string, at, n int) string {
	if n == 0 {
		n = len(text) - at
	}
	return strings.TrimSpace(text[at : at+n])
}

func classify(n *pgquery.Node) Statement {
	switch s := n.Node.(type) {
	case *pgquery.Node_TransactionStmt:
		return transaction(s.TransactionStmt)
	case *pgquery.Node_VariableSetStmt:
		return variableSet(s.VariableSetStmt)
	case *pgquery.Node_VariableShowStmt:
		return Statement{Kind: Show, Name: strings.ToLower(s.VariableShowStmt.Name)}
	case *pgquery.Node_DiscardStmt:
		return Statement{Kind: Discard}
	case *pgquery.Node_CopyStmt:
		return Statement{Kind: Unsupported, Name: "COPY"}
	case *pgquery.Node_ListenStmt, *pgquery.Node_UnlistenStmt:
		return Statement{Kind: Unsupported, Name: "LISTEN"}
	case *pgquery.Node_PrepareStmt, *pgquery.Node_ExecuteStmt, *pgquery.Node_DeallocateStmt:
		return Statement{Kind: Unsupported, Name: "PREPARE in SQL"}
	case *pgquery.Node_LoadStmt:
		return Statement{Kind: Unsupported, Name: "LOAD"}
	case *pgquery.Node_DeclareCursorStmt:
		return Statement{Kind: Unsupported, Name: "DECLARE CURSOR"}
	case *pgquery.Node_SelectStmt:
		return classifyTree(n)
	case *pgquery.Node_ExplainStmt:
		return classifyTree(n)
	default:
		if what := leavesBehind(n); what != "" {
			return Statement{Kind: Unsupported, Name: what}
		}
		return Statement{Kind: Write}
	}
}

func transaction(t *pgquery.TransactionStmt) Statement {
	switch t.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		s := Statement{Kind: Begin}
		s.ReadOnly, s.ReadWrite = accessMode(t.Options)
		return s
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return Statement{Kind: Commit, Chain: t.Chain}
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return Statement{Kind: Rollback, Chain: t.Chain}
	case pgquery.TransactionStmtKind_TRANS_STMT_PREPARE,
		pgquery.TransactionStmtKind_TRANS_STMT_COMMIT_PREPARED,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_PREPARED:
		return Statement{Kind: Unsupported, Name: "two-phase commit"}
	default:
		return Statement{Kind: Savepoint}
	}
}

func accessMode(options []*pgquery.Node) (readOnly, readWrite bool) {
	for _, o := range options {
		d := o.GetDefElem()
		if d == nil || d.Defname != "transaction_read_only" {
			continue
		}
		on := d.Arg.GetAConst().GetIval().GetIval() != 0
		return on, !on
	}
	return false, false
}

func variableSet(v *pgquery.VariableSetStmt) Statement {
	name := strings.ToLower(v.Name)
	switch v.Kind {
	case pgquery.VariableSetKind_VAR_RESET:
		return Statement{Kind: Reset, Name: name}
	case pgquery.VariableSetKind_VAR_RESET_ALL:
		return Statement{Kind: Reset}
	case pgquery.VariableSetKind_VAR_SET_MULTI:
		// SET TRANSACTION and SET SESSION CHARACTERISTICS.
		if name == "transaction" {
			return Statement{Kind: SetLocal, Name: name}
		}
		ro, rw := accessMode(v.Args)
		if !ro && !rw {
			return Statement{Kind: Unsupported, Name: "SET SESSION CHARACTERISTICS"}
		}
		value := "off"
		if ro {
			value = "on"
		}
		return Statement{Kind: Set, Name: "default_transaction_read_only", Value: value}
	}
	kind := Set
	if v.IsLocal {
		kind = SetLocal
	}
	return Statement{
		Kind:    kind,
		Name:    name,
		Value:   setValue(v.Args),
		Default: v.Kind == pgquery.VariableSetKind_VAR_SET_DEFAULT,
	}
}

func setValue(args []*pgquery.Node) string {
	parts := make([]string, 0, len(args))
	for _, a := range args {
		c := a.GetAConst()
		switch {
		case c == nil:
		case c.GetSval() != nil:
			parts = append(parts, c.GetSval().Sval)
		case c.GetFval() != nil:
			parts = append(parts, c.GetFval().Fval)
		case c.GetBoolval() != nil:
			parts = append(parts, map[bool]string{true: "on", false: "off"}[c.GetBoolval().Boolval])
		default:
			parts = append(parts, itoa(c.GetIval().GetIval()))
		}
	}
	return strings.Join(parts, ", ")
}

// classifyTree tells whether a SELECT or EXPLAIN changes anything.
func classifyTree(n *pgquery.Node) Statement {
	w := walker{}
	w.message(n.ProtoReflect())
	if w.leavesBehind != "" {
		return Statement{Kind: Unsupported, Name: w.leavesBehind}
	}
	if w.writes {
		return Statement{Kind: Write}
	}
	return Statement{Kind: Read}
}

func leavesBehind(n *pgquery.Node) string {
	w := walker{}
	w.message(n.ProtoReflect())
	return w.leavesBehind
}

// walker looks at every node of a parse tree.
type walker struct {
	writes       bool
	leavesBehind string
}

func (w *walker) message(m protoreflect.Message) {
	w.node(m.Interface())
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case fd.Kind() != protoreflect.MessageKind:
		case fd.IsList():
			for i := range v.List().Len() {
				w.message(v.List().Get(i).Message())
			}
		default:
			w.message(v.Message())
		}
		return true
	})
}

func (w *walker) node(n any) {
	switch s := n.(type) {
	case *pgquery.FuncCall:
		w.function(s)
	case *pgquery.LockingClause, *pgquery.IntoClause, *pgquery.InsertStmt,
		*pgquery.UpdateStmt, *pgquery.DeleteStmt, *pgquery.MergeStmt:
		w.writes = true
	case *pgquery.RangeVar:
		if s.Relpersistence == "t" {
			w.leavesBehind = "a temporary table"
		}
	}
}

func (w *walker) function(f *pgquery.FuncCall) {
	if len(f.Funcname) == 0 {
		return
	}
	name := strings.ToLower(f.Funcname[len(f.Funcname)-1].GetString_().GetSval())
	switch {
	case isSessionLock(name):
		w.leavesBehind = "a session advisory lock"
	case name == "set_config":
		w.leavesBehind = "set_config (use SET)"
	case name == "currval" || name == "lastval":
		w.leavesBehind = name + " (use RETURNING)"
	}
	if !readFunctions[name] {
		w.writes = true
	}
}

// isSessionLock reports whether the function takes or frees a lock that lasts
// as long as the connection.
func isSessionLock(name string) bool {
	if !strings.Contains(name, "advisory") {
		return false
	}
	return !strings.Contains(name, "xact")
}

// Cache keeps what Parse returned, by text. The zero Cache is ready.
//
// It is cut into shards, each under its own lock, since every statement of
// every caller looks in here.
type Cache struct {
	shards [cacheShards]cacheShard
}

// Bounds of the cache.
const (
	cacheShards     = 16
	cachePerShard   = 512
	maxCachedLength = 8 << 10
)

type cacheShard struct {
	mu sync.RWMutex
	m  map[string][]Statement
}

// Parse returns the statements of the text.
func (c *Cache) Parse(text string) ([]Statement, error) {
	if len(text) > maxCachedLength {
		return Parse(text)
	}
	sh := &c.shards[shardOf(text)]
	sh.mu.RLock()
	out, ok := sh.m[text]
	sh.mu.RUnlock()
	if ok {
		return out, nil
	}
	out, err := Parse(text)
	if err != nil {
		return nil, err
	}
	sh.put(text, out)
	return out, nil
}

func (s *cacheShard) put(text string, out []Statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = make(map[string][]Statement)
	}
	if len(s.m) >= cachePerShard {
		// Any entry will do: the iteration order is random.
		for k := range s.m {
			delete(s.m, k)
			break
		}
	}
	s.m[strings.Clone(text)] = out
}
