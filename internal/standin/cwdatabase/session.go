package cwdatabase

import (
	"context"
	"database/sql"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// statements caches parsed texts for all members of the process.
var statements cwsql.Cache

// session is one connection.
type session struct {
	server  *server
	member  *Member
	conn    net.Conn
	backend *pgproto3.Backend
	pid     uint32
	secret  []byte

	active atomic.Bool
	// ended is true once the member ended the session's statement.
	ended atomic.Bool
	// done is closed once the member is killed.
	done    <-chan struct{}
	writing atomic.Bool

	// sendMu keeps notifications and answers apart.
	sendMu sync.Mutex

	cancelMu sync.Mutex
	cancel   context.CancelFunc

	settings map[string]string
	tx       transaction
	prepared map[string]*prepared
	portals  map[string]*portal
	// skip is true after an error in the extended protocol, until Sync.
	skip bool
}

// transaction is what a session has open.
type transaction struct {
	// explicit is true between BEGIN and its end.
	explicit bool
	failed   bool
	// writing is true once the session holds the member's writer.
	writing bool
	term    cwgroup.Term
	stmts   []statement
}

func (c *session) init() {
	c.prepared = make(map[string]*prepared)
	c.portals = make(map[string]*portal)
}

// sqlError is an error with its SQLSTATE.
type sqlError struct{ Code, Message string }

func (e *sqlError) Error() string { return e.Message }

func (c *session) status() byte {
	switch {
	case c.tx.failed:
		return 'E'
	case c.tx.explicit:
		return 'T'
	default:
		return 'I'
	}
}

func (c *session) fatal(code, message string) {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message})
	_ = c.backend.Flush()
}

func (c *session) greet() error {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, kv := range [][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: kv[0], Value: kv[1]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.backend.Flush()
}

// run serves the connection until it ends. An open transaction ends with it.
func (c *session) run(ctx context.Context) {
	defer c.abandon()
	c.done = ctx.Done()
	if c.greet() != nil {
		return
	}
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			return
		}
		c.member.thaw(ctx)
		c.active.Store(true)
		stop := c.handle(ctx, msg)
		c.active.Store(false)
		if stop {
			return
		}
	}
}

func (c *session) abandon() {
	if c.tx.writing {
		c.member.rollback()
	}
	c.tx = transaction{}
	c.writing.Store(false)
}

func (c *session) handle(ctx context.Context, msg pgproto3.FrontendMessage) (stop bool) {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	if _, ok := msg.(*pgproto3.Terminate); ok {
		return true
	}
	if c.skip {
		if _, ok := msg.(*pgproto3.Sync); !ok {
			return false
		}
	}
	var err error
	switch m := msg.(type) {
	case *pgproto3.Query:
		err = c.simpleQuery(ctx, m.String)
	case *pgproto3.Parse:
		err = c.extended(c.parse(m))
	case *pgproto3.Bind:
		err = c.extended(c.bind(m))
	case *pgproto3.Describe:
		err = c.extended(c.describe(ctx, m))
	case *pgproto3.Execute:
		err = c.extended(c.execute(ctx, m))
	case *pgproto3.Close:
		c.closeNamed(m)
	case *pgproto3.Flush:
		err = c.flush(ctx)
	case *pgproto3.Sync:
		c.skip = false
		err = c.finish(ctx)
	default:
		c.fatal("08P01", "unexpected message")
		return true
	}
	return err != nil
}

// errGone ends a session whose connection is no longer of use.
type goneError struct{}

func (goneError) Error() string { return "the connection is closed" }

var errGone = goneError{}

func (c *session) extended(err error) error {
	if err != nil && c.over() {
		return c.terminated()
	}
	if err == nil || errors.Is(err, errGone) {
		return err
	}
	c.skip = true
	c.fail(err)
	return nil
}

// over reports whether an error came from the end of the session, or of the
// whole member, and not from the statement.
func (c *session) over() bool { return c.ended.Load() || c.stopped() }

// stopped reports whether the member was killed.
func (c *session) stopped() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// terminated says that the member ended the session, as PostgreSQL does. A
// member that was killed says nothing.
func (c *session) terminated() error {
	if c.stopped() {
		return errGone
	}
	c.fatal("57P01", "terminating connection due to administrator command")
	return errGone
}

// fail sends an error, at once as PostgreSQL does, and marks the transaction.
func (c *session) fail(err error) {
	e := toSQL(err)
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.Code, Message: e.Message})
	_ = c.backend.Flush()
	if c.tx.explicit {
		c.tx.failed = true
		return
	}
	c.abandon()
}

func (c *session) flush(ctx context.Context) error {
	c.member.thaw(ctx)
	return c.backend.Flush()
}

// finish commits the implicit transaction and says that the session is ready.
func (c *session) finish(ctx context.Context) error {
	if !c.tx.explicit && c.tx.writing {
		if err := c.commit(); err != nil {
			if errors.Is(err, errGone) {
				return err
			}
			c.fail(err)
		}
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.status()})
	return c.flush(ctx)
}

func (c *session) simpleQuery(ctx context.Context, text string) error {
	stmts, err := statements.Parse(text)
	if err != nil {
		c.fail(err)
		return c.finish(ctx)
	}
	if len(stmts) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return c.finish(ctx)
	}
	for _, s := range stmts {
		res, err := c.exec(ctx, s, nil)
		if err != nil && c.over() {
			return c.terminated()
		}
		if errors.Is(err, errGone) {
			return err
		}
		if err != nil {
			c.fail(err)
			break
		}
		if res.columns != nil {
			c.backend.Send(res.rowDescription(nil))
			if err := c.sendRows(res, nil); err != nil {
				return err
			}
		}
		c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	}
	return c.finish(ctx)
}

// flushEvery bounds what is buffered of a large answer.
const flushEvery = 256

func (c *session) sendRows(res *result, formats []int16) error {
	for i, row := range res.rows {
		msg, err := res.dataRow(row, formats)
		if err != nil {
			c.fail(err)
			return nil
		}
		c.backend.Send(msg)
		if i%flushEvery == flushEvery-1 {
			if err := c.backend.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

// exec runs one statement.
func (c *session) exec(ctx context.Context, s cwsql.Statement, args []arg) (*result, error) {
	if c.tx.failed && s.Kind != cwsql.Commit && s.Kind != cwsql.Rollback {
		return nil, &sqlError{"25P02", "current transaction is aborted, commands ignored until end of transaction block"}
	}
	switch s.Kind {
	case cwsql.Begin:
		c.tx.explicit = true
		return &result{tag: "BEGIN"}, nil
	case cwsql.Commit:
		return c.endExplicit(c.tx.failed)
	case cwsql.Rollback:
		return c.endExplicit(true)
	case cwsql.Set, cwsql.SetLocal:
		c.settings[s.Name] = s.Value
		return &result{tag: "SET"}, nil
	case cwsql.Reset:
		if s.Name == "" {
			clear(c.settings)
		}
		delete(c.settings, s.Name)
		return &result{tag: "RESET"}, nil
	case cwsql.Show:
		return textResult(s.Name, c.setting(s.Name), "SHOW"), nil
	case cwsql.Discard:
		clear(c.settings)
		return &result{tag: "DISCARD ALL"}, nil
	case cwsql.Unsupported:
		if s.Name == "LISTEN" {
			go c.loopNotify()
			return &result{tag: "LISTEN"}, nil
		}
		return nil, &sqlError{"0A000", s.Name + " is not supported by this stand-in"}
	}
	if res, ok, err := c.special(ctx, s.Text); ok {
		return res, err
	}
	return c.data(ctx, s, args)
}

func (c *session) setting(name string) string {
	if v, ok := c.settings[name]; ok {
		return v
	}
	switch name {
	case "server_version":
		return serverVersion
	case "transaction_read_only", "default_transaction_read_only":
		return "off"
	case "transaction_isolation":
		return "read committed"
	case "search_path":
		return `"$user", public`
	}
	return ""
}

var canceled = &sqlError{"57014", "canceling statement due to user request"}

func (c *session) setCancel(f context.CancelFunc) {
	c.cancelMu.Lock()
	c.cancel = f
	c.cancelMu.Unlock()
}

// cancelStatement ends the statement in progress, if there is one.
func (c *session) cancelStatement() bool {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	if c.cancel == nil {
		return false
	}
	c.cancel()
	return true
}

// querier is what both copies of the data offer.
type querier interface {
	QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
}
