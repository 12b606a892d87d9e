package cwdatabase

import (
	"context"
	"database/sql"
	"database/sql/driver"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"modernc.org/sqlite" // registers the "sqlite" driver
)

// statement is one SQL statement of a log record, with its arguments.
type statement struct {
	SQL  string
	Args []arg
}

// arg is an argument of a statement as it is encoded in a log record. It holds
// text or bytes; it is NULL if neither is set.
type arg struct {
	Text  *string
	Bytes []byte
}

// values returns the arguments in the form that database/sql takes.
func (s statement) values() []any {
	out := make([]any, len(s.Args))
	for i, a := range s.Args {
		switch {
		case a.Text != nil:
			out[i] = *a.Text
		case a.Bytes != nil:
			out[i] = a.Bytes
		}
	}
	return out
}

// engine stores the data in two in-memory SQLite databases with the same
// content. Reads outside of a write transaction use committed. The single open
// write transaction uses working, so that such reads never wait for it. At
// commit its statements run on committed as well. A replica runs each record of
// the log on both databases.
type engine struct {
	// readMu is read-locked by each query on committed and write-locked by
	// applyCommitted.
	readMu    sync.RWMutex
	committed *sql.DB
	working   *sql.DB
	// writeConn is the only connection to working. It is used only while
	// Member.writeLock is held.
	writeConn *sql.Conn
}

// engineSeq numbers the engines of the process, so that each has in-memory
// databases of its own.
var engineSeq atomic.Uint64

func init() {
	sqlite.MustRegisterScalarFunction("now", 0, func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) {
		return time.Now().UTC().Format(time.RFC3339Nano), nil
	})
	sqlite.MustRegisterDeterministicScalarFunction("version", 0, func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) {
		return "PostgreSQL " + serverVersion + " (cicadawalk stand-in)", nil
	})
}

// newEngine returns an engine with two empty databases.
func newEngine() (*engine, error) {
	n := engineSeq.Add(1)
	committed, err := sql.Open("sqlite", fmt.Sprintf("file:/committed%d?vfs=memdb", n))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// SQLite drops an in-memory database when its last connection closes, so
	// idle connections are kept without a limit on their lifetime.
	committed.SetMaxIdleConns(64)
	committed.SetConnMaxLifetime(0)
	if err := committed.Ping(); err != nil {
		return nil, Error.Wrap(err)
	}
	working, err := sql.Open("sqlite", fmt.Sprintf("file:/working%d?vfs=memdb", n))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	write, err := working.Conn(context.Background())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &engine{committed: committed, working: working, writeConn: write}, nil
}

// applyCommitted runs a record's statements on committed. They have already run
// on working, so an error means that the two databases differ.
func (e *engine) applyCommitted(ctx context.Context, stmts []statement) error {
	e.readMu.Lock()
	defer e.readMu.Unlock()
	return execInTransaction(ctx, e.committed, stmts)
}

// applyRecord runs a record's statements on working and then on committed. The
// caller holds Member.writeLock.
func (e *engine) applyRecord(ctx context.Context, stmts []statement) error {
	if len(stmts) == 0 {
		return nil
	}
	if _, err := e.writeConn.ExecContext(ctx, "BEGIN"); err != nil {
		return Error.Wrap(err)
	}
	for _, s := range stmts {
		if _, err := e.writeConn.ExecContext(ctx, s.SQL, s.values()...); err != nil {
			_, _ = e.writeConn.ExecContext(ctx, "ROLLBACK")
			return Error.Wrap(err)
		}
	}
	if _, err := e.writeConn.ExecContext(ctx, "COMMIT"); err != nil {
		return Error.Wrap(err)
	}
	return e.applyCommitted(ctx, stmts)
}

// execInTransaction runs the statements on db in one transaction.
func execInTransaction(ctx context.Context, db *sql.DB, stmts []statement) error {
	if len(stmts) == 0 {
		return nil
	}
	tx, err := db.BeginTx(ctx, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, s := range stmts {
		if _, err := tx.ExecContext(ctx, s.SQL, s.values()...); err != nil {
			_ = tx.Rollback()
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(tx.Commit())
}
