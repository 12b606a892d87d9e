package cwdatabase

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// keepaliveInterval is the interval at which a primary sends an empty message to
// a replica that has all records. A replica that receives nothing for ten
// intervals reconnects.
const keepaliveInterval = 100 * time.Millisecond

// replicationCommand is the prefix of a replica's request. A streamRequest
// encoded as JSON follows it.
const replicationCommand = "START_REPLICATION "

// streamRequest asks a primary for its log. It has the replica's term and claim,
// the end of the replica's log, and the first index of each term in it.
type streamRequest struct {
	Member  cwgroup.MemberID
	Adopted cwgroup.Term
	Claim   cwgroup.ClaimID
	Last    cwgroup.LogIndex
	Epochs  []epoch
}

// epoch is a sequence of consecutive records of one term. It ends before the
// next epoch of the log, or at the end of the log.
type epoch struct {
	Term  cwgroup.Term
	First cwgroup.LogIndex
}

// streamMessage is a message from a primary to a replica, sent as JSON. Only the
// first one has TruncateTo set: the replica removes the records after that
// index before it appends any.
type streamMessage struct {
	TruncateTo *cwgroup.LogIndex
	Records    []record
}

// epochsOf returns the epochs of a log in order.
func epochsOf(log []record) []epoch {
	var out []epoch
	for i, r := range log {
		if len(out) == 0 || out[len(out)-1].Term != r.Term {
			out = append(out, epoch{Term: r.Term, First: cwgroup.LogIndex(i + 1)})
		}
	}
	return out
}

// commonPrefix returns the length of the common prefix of a primary's log and a
// replica's: the last index at which both have a record of the same term. Two
// logs with the same term at an index are equal up to that index, because all
// records of a term were written by one primary.
func commonPrefix(log []record, req streamRequest) cwgroup.LogIndex {
	end := req.Last
	for i := len(req.Epochs) - 1; i >= 0; i-- {
		e := req.Epochs[i]
		p := min(end, cwgroup.LogIndex(len(log)))
		for ; p >= e.First; p-- {
			if log[p-1].Term == e.Term {
				return p
			}
		}
		end = e.First - 1
	}
	return 0
}

// streamLog sends the log to a replica, starting after the common prefix, until
// the connection or the term ends. It refuses the request with an error if
// replication is disabled by a fault, if the member is not the primary, or if it
// checks terms and the replica has adopted another one.
func (c *session) streamLog(ctx context.Context, req streamRequest) error {
	m := c.member
	m.mu.Lock()
	if m.faults.NoReplication {
		m.mu.Unlock()
		return Error.New("cut off from replication")
	}
	if m.role != cwgroup.RolePrimary || m.adoptedTerm != req.Adopted && m.cfg.ChecksTerm {
		adopted := m.adoptedTerm
		m.mu.Unlock()
		return &StaleOrderError{Order: req.Adopted, Adopted: adopted}
	}
	term := m.adoptedTerm
	next := commonPrefix(m.log, req)
	m.mu.Unlock()
	if err := c.sendStreamMessage(streamMessage{TruncateTo: &next}); err != nil {
		return err
	}
	for {
		m.mu.Lock()
		changed, paused := m.changed, m.faults.Frozen || m.faults.NoReplication
		termEnded := m.role != cwgroup.RolePrimary || m.adoptedTerm != term
		records := m.log[next:len(m.log):len(m.log)]
		m.mu.Unlock()
		if termEnded {
			return nil
		}
		if !paused {
			if err := c.sendStreamMessage(streamMessage{Records: records}); err != nil {
				return err
			}
			next += cwgroup.LogIndex(len(records))
		}
		select {
		case <-changed:
		case <-time.After(keepaliveInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *session) sendStreamMessage(message streamMessage) error {
	body, err := json.Marshal(message)
	if err != nil {
		return Error.Wrap(err)
	}
	c.backend.Send(&pgproto3.CopyData{Data: body})
	return c.backend.Flush()
}

// runReplication copies the log of the primary that the member follows, while it
// is a replica. After an error it reconnects.
func (m *Member) runReplication(ctx context.Context) error {
	for ctx.Err() == nil {
		m.mu.Lock()
		addr, role, changed := m.primaryAddr, m.role, m.changed
		idle := role != cwgroup.RoleReplica || addr == "" || m.faults.NoReplication
		m.mu.Unlock()
		if idle {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		_ = m.streamFrom(ctx, addr)
		sleep(ctx, 20*time.Millisecond)
	}
	return nil
}

// streamFrom copies the log from the primary at addr over one connection, until
// that fails or the member is no longer a replica of addr in the same term.
func (m *Member) streamFrom(ctx context.Context, addr string) error {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return Error.Wrap(err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	frontend := pgproto3.NewFrontend(conn, conn)
	m.mu.Lock()
	term := m.adoptedTerm
	req := streamRequest{
		Member:  m.cfg.ID,
		Adopted: m.adoptedTerm,
		Claim:   m.adoptedClaim,
		Last:    cwgroup.LogIndex(len(m.log)),
		Epochs:  epochsOf(m.log),
	}
	m.mu.Unlock()
	body, err := json.Marshal(req)
	if err != nil {
		return Error.Wrap(err)
	}
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "replication", "database": "replication", "replication": "true"},
	})
	frontend.Send(&pgproto3.Query{String: replicationCommand + string(body)})
	if err := frontend.Flush(); err != nil {
		return Error.Wrap(err)
	}
	return m.receiveStream(ctx, conn, frontend, term, addr)
}

// receiveStream reads the primary's messages and applies them until an error.
func (m *Member) receiveStream(ctx context.Context, conn net.Conn, frontend *pgproto3.Frontend, term cwgroup.Term, addr string) error {
	for {
		if err := conn.SetReadDeadline(time.Now().Add(10 * keepaliveInterval)); err != nil {
			return Error.Wrap(err)
		}
		msg, err := frontend.Receive()
		if err != nil {
			return Error.Wrap(err)
		}
		data, ok := msg.(*pgproto3.CopyData)
		if !ok {
			if e, bad := msg.(*pgproto3.ErrorResponse); bad {
				return Error.New("primary refused: %s", e.Message)
			}
			continue
		}
		var message streamMessage
		if err := json.Unmarshal(data.Data, &message); err != nil {
			return Error.Wrap(err)
		}
		if f := m.Faults(); len(message.Records) > 0 {
			sleep(ctx, f.StreamLag)
		}
		if err := m.applyMessage(ctx, message, term, addr); err != nil {
			return err
		}
	}
}

// applyMessage truncates the log, appends the records of a message and applies
// them to the data, at once or after Faults.ApplyLag. It returns a
// *StaleOrderError if the member has since changed its term, role or primary.
func (m *Member) applyMessage(ctx context.Context, message streamMessage, term cwgroup.Term, addr string) error {
	if err := m.acquireWriteLock(ctx); err != nil {
		return err
	}
	defer func() { <-m.writeLock }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.adoptedTerm != term || m.role != cwgroup.RoleReplica || m.primaryAddr != addr {
		return &StaleOrderError{Order: term, Adopted: m.adoptedTerm}
	}
	m.lastHeard = time.Now()
	if message.TruncateTo != nil && int(*message.TruncateTo) < len(m.log) {
		if err := m.truncateLog(ctx, *message.TruncateTo); err != nil {
			return err
		}
	}
	if len(message.Records) == 0 {
		return nil
	}
	m.log = append(m.log, message.Records...)
	if m.faults.ApplyLag == 0 {
		if err := m.applyAll(ctx); err != nil {
			return err
		}
	} else {
		upTo := cwgroup.LogIndex(len(m.log))
		time.AfterFunc(m.faults.ApplyLag, func() { m.applyDelayed(ctx, term, upTo) })
	}
	m.notify()
	return nil
}

// truncateLog removes the records after index p. It rebuilds the data if any
// of them had been applied. The caller holds mu and writeLock.
func (m *Member) truncateLog(ctx context.Context, p cwgroup.LogIndex) error {
	m.log = m.log[:p:p]
	if m.applied <= p {
		return nil
	}
	return m.rebuild(ctx)
}

// applyAll applies all records of the log that are not yet in the data. The
// caller holds mu and writeLock.
func (m *Member) applyAll(ctx context.Context) error {
	for int(m.applied) < len(m.log) {
		if err := m.engine.applyRecord(ctx, m.log[m.applied].Stmts); err != nil {
			return err
		}
		m.applied++
	}
	return nil
}

// applyDelayed applies the records up to an index, unless the member has since
// changed its term or role.
func (m *Member) applyDelayed(ctx context.Context, term cwgroup.Term, upTo cwgroup.LogIndex) {
	if m.acquireWriteLock(ctx) != nil {
		return
	}
	defer func() { <-m.writeLock }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.adoptedTerm != term || m.role != cwgroup.RoleReplica {
		return
	}
	for m.applied < min(upTo, cwgroup.LogIndex(len(m.log))) {
		if m.engine.applyRecord(ctx, m.log[m.applied].Stmts) != nil {
			return
		}
		m.applied++
	}
	m.notify()
}

// serveReplication reads a replica's request and streams the log to it.
func (c *session) serveReplication(ctx context.Context) {
	msg, err := c.backend.Receive()
	if err != nil {
		return
	}
	q, ok := msg.(*pgproto3.Query)
	if !ok {
		return
	}
	body, ok := strings.CutPrefix(q.String, replicationCommand)
	var req streamRequest
	if !ok || json.Unmarshal([]byte(body), &req) != nil {
		c.fatal("08P01", "replication request expected")
		return
	}
	if err := c.streamLog(ctx, req); err != nil {
		c.fatal("55000", err.Error())
	}
}
