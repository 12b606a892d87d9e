package cwdatabase

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

func (c *session) endExplicit(undo bool) (*result, error) {
	c.tx.explicit, c.tx.failed = false, false
	if undo {
		c.abandon()
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

// commit commits what the session wrote, and reports where the log ends then.
func (c *session) commit() error {
	drop, lose := c.member.takeCommitFaults()
	if drop {
		_ = c.conn.Close()
		return errGone
	}
	tx := c.tx
	c.tx = transaction{}
	c.writing.Store(false)
	mark, err := c.member.commit(tx.term, tx.stmts)
	if err != nil {
		return err
	}
	if lose {
		_ = c.conn.Close()
		return errGone
	}
	c.backend.Send(&pgproto3.ParameterStatus{Name: cwtarget.PositionParameter, Value: mark.String()})
	return nil
}

// takeCommitFaults counts one commit against the faults.
func (m *Member) takeCommitFaults() (drop, lose bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.DropBeforeCommit > 0 {
		m.faults.DropBeforeCommit--
		return true, false
	}
	if m.faults.LoseCommits > 0 {
		m.faults.LoseCommits--
		return false, true
	}
	return false, false
}

// data runs a statement that reads or writes data.
func (c *session) data(ctx context.Context, s cwsql.Statement, args []arg) (*result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setCancel(cancel)
	defer c.setCancel(nil)
	query, err := toEngine(s.Text)
	if err != nil {
		return nil, err
	}
	// The lock comes before the slot: whoever waits for a lock executes nothing.
	if s.Kind != cwsql.Read && !c.tx.writing {
		term, err := c.member.begin(ctx)
		if err != nil {
			return nil, err
		}
		c.tx.writing, c.tx.term = true, term
		c.writing.Store(true)
	}
	release, err := c.server.slot(ctx)
	if err != nil {
		return nil, canceled
	}
	defer release()
	st := statement{SQL: query, Args: args}
	if s.Kind == cwsql.Read && !c.tx.writing {
		c.member.engine.readMu.RLock()
		defer c.member.engine.readMu.RUnlock()
		return query1(ctx, c.member.engine.committed, s.Text, st)
	}
	res, err := query1(ctx, c.member.engine.write, s.Text, st)
	if err != nil {
		return nil, err
	}
	if s.Kind != cwsql.Read {
		c.tx.stmts = append(c.tx.stmts, st)
	}
	return res, nil
}
