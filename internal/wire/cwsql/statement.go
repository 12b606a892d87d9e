// Package cwsql classifies SQL statements with PostgreSQL's own parser.
//
// A proxy needs to know whether a statement only reads, whether it begins or ends a
// transaction, and whether it would create session state, such as a lock, that stays
// on a pooled connection. The text is split and parsed by libpg_query and classified by
// its parse tree, never by pattern matching. A statement that is not known to be a read
// is a write.
//
// Parsing takes tens of microseconds, so a Cache keeps the results by text.
package cwsql

import (
	"errors"
	"slices"
	"strings"
	"sync"

	pgquery "github.com/pganalyze/pg_query_go/v6"
	"github.com/pganalyze/pg_query_go/v6/parser"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Kind is the effect of a statement on the session and the data.
type Kind uint8

// Kinds of statements.
const (
	// Write may change data. It is the default.
	Write Kind = iota
	// Read changes nothing and may run on a replica.
	Read
	// Begin starts a transaction.
	Begin
	// Commit ends a transaction.
	Commit
	// Rollback ends a transaction and discards its changes.
	Rollback
	// Savepoint creates, releases or rolls back to a savepoint in a transaction.
	Savepoint
	// Set changes a setting of the session.
	Set
	// SetLocal changes a setting until the transaction ends.
	SetLocal
	// Show reads a setting.
	Show
	// Reset resets a setting, or all settings, to the default.
	Reset
	// Discard drops session state.
	Discard
	// Unsupported uses connection state that sessions cannot share in a pool.
	// Statement.Name describes it.
	Unsupported
)

// Statement is one statement of a query. It is immutable.
type Statement struct {
	Kind Kind
	// Text is the statement without its semicolon.
	Text string
	// Name is the name of the setting for Set, SetLocal, Show and Reset, in lower
	// case, and empty for RESET ALL. For Unsupported it describes the unsupported
	// feature. Value is the new value of the setting, and Literals the same as SQL string
	// literals: those of a list, separated by commas.
	Name, Value, Literals string
	// Default is true for SET name TO DEFAULT.
	Default bool
	// ReadOnly is true for BEGIN READ ONLY and START TRANSACTION READ ONLY.
	ReadOnly bool
	// ReadWrite is true for an explicit BEGIN READ WRITE.
	ReadWrite bool
	// Chain is true for COMMIT AND CHAIN.
	Chain bool
}

// SyntaxError is an error of the parser.
type SyntaxError struct {
	Message string
	// Position is the position of the error in characters, counted from 1; zero if
	// it is unknown.
	Position int
}

func (e *SyntaxError) Error() string { return e.Message }

// Parse splits a text into its statements and classifies them. Errors are of type
// *SyntaxError.
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
		s.Text = statementText(text, int(raw.StmtLocation), int(raw.StmtLen))
		out = append(out, s)
	}
	return out, nil
}

func statementText(text string, at, n int) string {
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
		if what := sessionStateOf(n); what != "" {
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
		return Statement{Kind: Set, Name: "default_transaction_read_only", Value: value, Literals: QuoteLiteral(value)}
	}
	s := Statement{Kind: Set, Name: name, Default: v.Kind == pgquery.VariableSetKind_VAR_SET_DEFAULT}
	if v.IsLocal {
		s.Kind = SetLocal
	}
	values := setValues(v.Args)
	s.Value, s.Literals = strings.Join(values, ", "), QuoteLiterals(values...)
	if !s.Default && !AllowedValue(name, s.Value) {
		return Statement{Kind: Unsupported, Name: "SET " + name + " = " + s.Value}
	}
	return s
}

// AllowedValue reports whether a session may have a value of a setting. The settings that decide
// how the target reads the text of a statement keep the values with which it is parsed here:
// otherwise a part of a string would be a statement to the target, or the other way round.
func AllowedValue(name, value string) bool {
	switch name {
	case "client_encoding":
		return slices.Contains([]string{"utf8", "utf-8", "unicode"}, strings.ToLower(value))
	case "standard_conforming_strings":
		return slices.Contains([]string{"on", "true", "yes", "1"}, strings.ToLower(value))
	}
	return true
}

// QuoteLiterals returns string literals with the values, separated by commas.
func QuoteLiterals(values ...string) string {
	out := make([]string, 0, len(values))
	for _, v := range values {
		out = append(out, QuoteLiteral(v))
	}
	return strings.Join(out, ", ")
}

// QuoteLiteral returns a string literal with the value, for which it does not matter how the target
// reads backslashes in literals.
func QuoteLiteral(value string) string {
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"
	if !strings.Contains(value, `\`) {
		return quoted
	}
	return "E" + strings.ReplaceAll(quoted, `\`, `\\`)
}

func setValues(args []*pgquery.Node) []string {
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
	return parts
}

// classifyTree classifies a SELECT or EXPLAIN by all nodes of its parse tree.
func classifyTree(n *pgquery.Node) Statement {
	w := treeWalker{}
	w.message(n.ProtoReflect())
	if w.sessionState != "" {
		return Statement{Kind: Unsupported, Name: w.sessionState}
	}
	if w.writes {
		return Statement{Kind: Write}
	}
	return Statement{Kind: Read}
}

func sessionStateOf(n *pgquery.Node) string {
	w := treeWalker{}
	w.message(n.ProtoReflect())
	return w.sessionState
}

// treeWalker visits every node of a parse tree. It records whether the statement may
// write, and which session state it would create.
type treeWalker struct {
	writes       bool
	sessionState string
}

func (w *treeWalker) message(m protoreflect.Message) {
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

func (w *treeWalker) node(n any) {
	switch s := n.(type) {
	case *pgquery.FuncCall:
		w.function(s)
	case *pgquery.LockingClause, *pgquery.IntoClause, *pgquery.InsertStmt,
		*pgquery.UpdateStmt, *pgquery.DeleteStmt, *pgquery.MergeStmt:
		w.writes = true
	case *pgquery.RangeVar:
		if s.Relpersistence == "t" {
			w.sessionState = "a temporary table"
		}
	}
}

func (w *treeWalker) function(f *pgquery.FuncCall) {
	if len(f.Funcname) == 0 {
		return
	}
	name := strings.ToLower(f.Funcname[len(f.Funcname)-1].GetString_().GetSval())
	switch {
	case isSessionLock(name):
		w.sessionState = "a session advisory lock"
	case name == "set_config":
		w.sessionState = "set_config (use SET)"
	case name == "currval" || name == "lastval":
		w.sessionState = name + " (use RETURNING)"
	}
	if !readFunctions[name] {
		w.writes = true
	}
}

// isSessionLock reports whether the function acquires or releases an advisory lock of
// the session, which is held until the connection ends.
func isSessionLock(name string) bool {
	if !strings.Contains(name, "advisory") {
		return false
	}
	return !strings.Contains(name, "xact")
}

// Cache caches the results of Parse by text. The zero value is ready to use.
//
// It is divided into shards with a lock each, because every statement of every caller
// is looked up in it.
type Cache struct {
	shards [cacheShards]cacheShard
}

// Limits of the cache.
const (
	cacheShards   = 16
	cachePerShard = 512 // entries
	// maxCachedLength is the length of the longest cached text, in bytes.
	maxCachedLength = 8 << 10
)

type cacheShard struct {
	mu sync.RWMutex
	m  map[string][]Statement
}

// Parse is like the function Parse but caches its result. Errors are not cached. Callers
// must not modify the slice.
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
		// Evicts an arbitrary entry. The iteration order of maps is random.
		for k := range s.m {
			delete(s.m, k)
			break
		}
	}
	s.m[strings.Clone(text)] = out
}
