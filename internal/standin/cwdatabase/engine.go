package cwdatabase

import (
	"context"
	"database/sql"
	"database/sql/driver"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"modernc.org/sqlite" // registers the engine, and serves functions below.
)

// statement is one statement of a record, with its arguments.
type statement struct {
	SQL  string
	Args []arg
}

// arg is an argument as it travels in a record: text, bytes or, with neither,
// NULL.
type arg struct {
	Text  *string
	Bytes []byte
}

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

// engine keeps the data in two copies in memory. Readers see committed.
// The one open write transaction works on working, so that readers never wait
// for it; at commit its statements run on committed too, which is also what a
// replica does with a record.
type engine struct {
	// readMu is held for reading by each read, for writing by apply.
	readMu    sync.RWMutex
	committed *sql.DB
	working   *sql.DB
	// write is the only connection to working.
	write *sql.Conn
}

var engineSeq atomic.Uint64

func init() {
	sqlite.MustRegisterScalarFunction("now", 0, func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) {
		return time.Now().UTC().Format(time.RFC3339Nano), nil
	})
	sqlite.MustRegisterDeterministicScalarFunction("version", 0, func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) {
		return "PostgreSQL " + serverVersion + " (cicadawalk stand-in)", nil
	})
}

func newEngine() (*engine, error) {
	n := engineSeq.Add(1)
	committed, err := sql.Open("sqlite", fmt.Sprintf("file:/committed%d?vfs=memdb", n))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// The data lives as long as one connection is open.
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
	return &engine{committed: committed, working: working, write: write}, nil
}

// apply runs a record's statements on committed. Statements ran once already,
// on the primary, so an error means that the copies differ.
func (e *engine) apply(ctx context.Context, stmts []statement) error {
	e.readMu.Lock()
	defer e.readMu.Unlock()
	return run(ctx, e.committed, stmts)
}

// replicate runs a record on both copies.
func (e *engine) replicate(ctx context.Context, stmts []statement) error {
	if len(stmts) == 0 {
		return nil
	}
	if _, err := e.write.ExecContext(ctx, "BEGIN"); err != nil {
		return Error.Wrap(err)
	}
	for _, s := range stmts {
		if _, err := e.write.ExecContext(ctx, s.SQL, s.values()...); err != nil {
			_, _ = e.write.ExecContext(ctx, "ROLLBACK")
			return Error.Wrap(err)
		}
	}
	if _, err := e.write.ExecContext(ctx, "COMMIT"); err != nil {
		return Error.Wrap(err)
	}
	return e.apply(ctx, stmts)
}

func run(ctx context.Context, db *sql.DB, stmts []statement) error {
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
