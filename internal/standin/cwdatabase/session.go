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

// parseCache caches parsed statements for all members of the process.
var parseCache cwsql.Cache

// session is one client or replication connection.
type session struct {
	server  *server
	member  *Member
	conn    net.Conn
	backend *pgproto3.Backend
	pid     uint32
	secret  []byte

	// active is true while a message is handled; pg_stat_activity shows it.
	active atomic.Bool
	// canceledByDemotion is true once the demotion of the member has canceled a
	// statement of the session.
	canceledByDemotion atomic.Bool
	// memberDone is closed when the member is stopped.
	memberDone <-chan struct{}
	// writing is true while the session has a write transaction open. It mirrors
	// tx.writing for other goroutines.
	writing atomic.Bool

	// sendMu is held while a message is handled and while a notification is sent,
	// so that notifications are not sent in the middle of an answer.
	sendMu sync.Mutex

	// cancel cancels the statement in progress; nil if there is none. It is
	// guarded by cancelMu.
	cancelMu sync.Mutex
	cancel   context.CancelFunc

	// settings holds the values of SET by name.
	settings map[string]string
	tx       transaction
	// prepared and portals hold the prepared statements and portals of the extended
	// protocol by name; the empty name is the unnamed one.
	prepared map[string]*preparedStatement
	portals  map[string]*portal
	// skipToSync is true after an error in the extended protocol. All messages up
	// to the next Sync are then ignored.
	skipToSync bool
}

// transaction is the state of a session's transaction.
type transaction struct {
	// explicit is true between BEGIN and COMMIT or ROLLBACK.
	explicit bool
	// failed is true after an error in an explicit transaction.
	failed bool
	// writing is true while the session has the member's write transaction open
	// and so holds Member.writeLock.
	writing bool
	// term is the term in which the write transaction began, and stmts are the
	// writes in it.
	term  cwgroup.Term
	stmts []statement
}

// init makes the maps of the extended protocol.
func (c *session) init() {
	c.prepared = make(map[string]*preparedStatement)
	c.portals = make(map[string]*portal)
}

// sqlError is an error sent to the client, with its SQLSTATE.
type sqlError struct{ Code, Message string }

func (e *sqlError) Error() string { return e.Message }

// status returns the transaction status of the message ReadyForQuery.
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

// fatal sends an error that ends the connection.
func (c *session) fatal(code, message string) {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message})
	_ = c.backend.Flush()
}

// sendStartupMessages answers the startup message of a client.
func (c *session) sendStartupMessages() error {
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

// run serves a client connection until it ends, and then rolls back an open
// transaction.
func (c *session) run(ctx context.Context) {
	defer c.discardTransaction()
	c.memberDone = ctx.Done()
	if c.sendStartupMessages() != nil {
		return
	}
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			return
		}
		c.member.waitWhileFrozen(ctx)
		c.active.Store(true)
		stop := c.handle(ctx, msg)
		c.active.Store(false)
		if stop {
			return
		}
	}
}

// discardTransaction rolls back the session's transaction.
func (c *session) discardTransaction() {
	if c.tx.writing {
		c.member.rollback()
	}
	c.tx = transaction{}
	c.writing.Store(false)
}

// handle processes one message of the client. It returns true if the connection
// is to be closed.
func (c *session) handle(ctx context.Context, msg pgproto3.FrontendMessage) (stop bool) {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	if _, ok := msg.(*pgproto3.Terminate); ok {
		return true
	}
	if c.skipToSync {
		if _, ok := msg.(*pgproto3.Sync); !ok {
			return false
		}
	}
	var err error
	switch m := msg.(type) {
	case *pgproto3.Query:
		err = c.simpleQuery(ctx, m.String)
	case *pgproto3.Parse:
		err = c.finishExtended(c.parse(m))
	case *pgproto3.Bind:
		err = c.finishExtended(c.bind(m))
	case *pgproto3.Describe:
		err = c.finishExtended(c.describe(ctx, m))
	case *pgproto3.Execute:
		err = c.finishExtended(c.executePortal(ctx, m))
	case *pgproto3.Close:
		c.closeStatementOrPortal(m)
	case *pgproto3.Flush:
		err = c.flush(ctx)
	case *pgproto3.Sync:
		c.skipToSync = false
		err = c.finishQuery(ctx)
	default:
		c.fatal("08P01", "unexpected message")
		return true
	}
	return err != nil
}

// connClosedError reports that the session ends because its connection was closed,
// or is to be closed after a fatal error.
type connClosedError struct{}

func (connClosedError) Error() string { return "the connection is closed" }

var errConnClosed = connClosedError{}

// finishExtended handles the error of a message of the extended protocol: it sends
// the error and skips to Sync. It returns an error only if the session ends.
func (c *session) finishExtended(err error) error {
	if err != nil && c.sessionEnded() {
		return c.sendTerminated()
	}
	if err == nil || errors.Is(err, errConnClosed) {
		return err
	}
	c.skipToSync = true
	c.sendError(err)
	return nil
}

// sessionEnded reports whether the session was ended by a demotion or by the stop
// of the member, so that an error is not one of the statement.
func (c *session) sessionEnded() bool { return c.canceledByDemotion.Load() || c.memberStopped() }

// memberStopped reports whether the member was stopped.
func (c *session) memberStopped() bool {
	select {
	case <-c.memberDone:
		return true
	default:
		return false
	}
}

// sendTerminated sends the error with which PostgreSQL terminates a connection,
// and returns errConnClosed. If the member was stopped it sends nothing, because a
// killed process cannot.
func (c *session) sendTerminated() error {
	if c.memberStopped() {
		return errConnClosed
	}
	c.fatal("57P01", "terminating connection due to administrator command")
	return errConnClosed
}

// sendError sends an error and flushes it, as PostgreSQL does. An explicit
// transaction is marked as failed; an implicit one is rolled back.
func (c *session) sendError(err error) {
	e := toSQLError(err)
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.Code, Message: e.Message})
	_ = c.backend.Flush()
	if c.tx.explicit {
		c.tx.failed = true
		return
	}
	c.discardTransaction()
}

// flush sends the buffered answers. While the member is frozen it waits.
func (c *session) flush(ctx context.Context) error {
	c.member.waitWhileFrozen(ctx)
	return c.backend.Flush()
}

// finishQuery commits an implicit transaction and sends ReadyForQuery.
func (c *session) finishQuery(ctx context.Context) error {
	if !c.tx.explicit && c.tx.writing {
		if err := c.commit(); err != nil {
			if errors.Is(err, errConnClosed) {
				return err
			}
			c.sendError(err)
		}
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.status()})
	return c.flush(ctx)
}

// simpleQuery executes all statements of a message of the simple protocol.
func (c *session) simpleQuery(ctx context.Context, text string) error {
	stmts, err := parseCache.Parse(text)
	if err != nil {
		c.sendError(err)
		return c.finishQuery(ctx)
	}
	if len(stmts) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return c.finishQuery(ctx)
	}
	for _, s := range stmts {
		res, err := c.exec(ctx, s, nil)
		if err != nil && c.sessionEnded() {
			return c.sendTerminated()
		}
		if errors.Is(err, errConnClosed) {
			return err
		}
		if err != nil {
			c.sendError(err)
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
	return c.finishQuery(ctx)
}

// flushRows is the number of rows after which a large result is flushed, which
// bounds the send buffer.
const flushRows = 256

// sendRows sends the rows of a result. A row that cannot be encoded is reported to
// the client; the returned error is that of the connection.
func (c *session) sendRows(res *result, formats []int16) error {
	for i, row := range res.rows {
		msg, err := res.dataRow(row, formats)
		if err != nil {
			c.sendError(err)
			return nil
		}
		c.backend.Send(msg)
		if i%flushRows == flushRows-1 {
			if err := c.backend.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

// exec runs one statement of either protocol.
func (c *session) exec(ctx context.Context, s cwsql.Statement, args []arg) (*result, error) {
	if c.tx.failed && s.Kind != cwsql.Commit && s.Kind != cwsql.Rollback {
		return nil, &sqlError{"25P02", "current transaction is aborted, commands ignored until end of transaction block"}
	}
	switch s.Kind {
	case cwsql.Begin:
		c.tx.explicit = true
		return &result{tag: "BEGIN"}, nil
	case cwsql.Commit:
		return c.endTransaction(c.tx.failed)
	case cwsql.Rollback:
		return c.endTransaction(true)
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
			go c.notifyPosition()
			return &result{tag: "LISTEN"}, nil
		}
		return nil, &sqlError{"0A000", s.Name + " is not supported by this stand-in"}
	}
	if res, ok, err := c.execBuiltin(ctx, s.Text); ok {
		return res, err
	}
	return c.execData(ctx, s, args)
}

// setting returns the value that SHOW reports.
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

// errCanceled is the error of a statement that was canceled while it waited or
// slept.
var errCanceled = &sqlError{"57014", "canceling statement due to user request"}

// setCancelFunc sets the function that cancels the statement in progress; nil if
// none is in progress.
func (c *session) setCancelFunc(f context.CancelFunc) {
	c.cancelMu.Lock()
	c.cancel = f
	c.cancelMu.Unlock()
}

// cancelStatement cancels the statement in progress. It returns false if there is
// none.
func (c *session) cancelStatement() bool {
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	if c.cancel == nil {
		return false
	}
	c.cancel()
	return true
}

// querier runs queries on committed or on the write connection of an engine.
type querier interface {
	QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
}
