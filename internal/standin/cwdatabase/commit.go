package cwdatabase

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// endTransaction executes COMMIT and ROLLBACK. With undo it rolls back.
func (c *session) endTransaction(undo bool) (*result, error) {
	c.tx.explicit, c.tx.failed = false, false
	if undo {
		c.discardTransaction()
		return &result{tag: "ROLLBACK"}, nil
	}
	if c.tx.writing {
		if err := c.commit(); err != nil {
			return nil, err
		}
	}
	c.tx = transaction{}
	return &result{tag: "COMMIT"}, nil
}

// commit commits the session's write transaction and reports the log position of
// its record to the client as the parameter cwtarget.PositionParameter. It returns
// errConnClosed if an injected fault closed the connection.
func (c *session) commit() error {
	drop, lose := c.member.consumeCommitFault()
	if drop {
		_ = c.conn.Close()
		return errConnClosed
	}
	tx := c.tx
	c.tx = transaction{}
	c.writing.Store(false)
	position, err := c.member.commit(tx.term, tx.stmts)
	if err != nil {
		return err
	}
	if lose {
		_ = c.conn.Close()
		return errConnClosed
	}
	c.backend.Send(&pgproto3.ParameterStatus{Name: cwtarget.PositionParameter, Value: position.String()})
	return nil
}

// consumeCommitFault decides the fault of one commit and decrements its counter:
// drop closes the connection before the commit, lose after it.
func (m *Member) consumeCommitFault() (drop, lose bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.DropBeforeCommit > 0 {
		m.faults.DropBeforeCommit--
		return true, false
	}
	if m.faults.LoseCommitAnswers > 0 {
		m.faults.LoseCommitAnswers--
		return false, true
	}
	return false, false
}

// execData runs a statement that reads or writes tables. A write opens the
// session's write transaction if there is none.
func (c *session) execData(ctx context.Context, s cwsql.Statement, args []arg) (*result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setCancelFunc(cancel)
	defer c.setCancelFunc(nil)
	query, err := toSQLiteParams(s.Text)
	if err != nil {
		return nil, err
	}
	// The write lock is acquired before the slot, so that a statement that waits
	// for the lock does not occupy a slot.
	if s.Kind != cwsql.Read && !c.tx.writing {
		term, err := c.member.begin(ctx)
		if err != nil {
			return nil, err
		}
		c.tx.writing, c.tx.term = true, term
		c.writing.Store(true)
	}
	release, err := c.server.acquireSlot(ctx)
	if err != nil {
		return nil, errCanceled
	}
	defer release()
	st := statement{SQL: query, Args: args}
	if s.Kind == cwsql.Read && !c.tx.writing {
		c.member.engine.readMu.RLock()
		defer c.member.engine.readMu.RUnlock()
		return queryAll(ctx, c.member.engine.committed, s.Text, st)
	}
	res, err := queryAll(ctx, c.member.engine.writeConn, s.Text, st)
	if err != nil {
		return nil, err
	}
	if s.Kind != cwsql.Read {
		c.tx.stmts = append(c.tx.stmts, st)
	}
	return res, nil
}
