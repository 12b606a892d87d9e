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

// keepalive is how often a primary sends to a replica that is up to date.
const keepalive = 100 * time.Millisecond

// startReplication is the word that begins a replica's request.
const startReplication = "START_REPLICATION "

// streamRequest is what a replica tells its primary: its term and claim, and
// where each term of its log begins.
type streamRequest struct {
	Member  cwgroup.MemberID
	Adopted cwgroup.Term
	Claim   cwgroup.ClaimID
	Last    cwgroup.LogIndex
	Epochs  []epoch
}

// epoch is the run of records of one term.
type epoch struct {
	Term  cwgroup.Term
	First cwgroup.LogIndex
}

// streamPart is what a primary sends. The first part has TruncateTo set.
type streamPart struct {
	TruncateTo *cwgroup.LogIndex
	Records    []record
}

func epochsOf(log []record) []epoch {
	var out []epoch
	for i, r := range log {
		if len(out) == 0 || out[len(out)-1].Term != r.Term {
			out = append(out, epoch{Term: r.Term, First: cwgroup.LogIndex(i + 1)})
		}
	}
	return out
}

// commonPrefix returns how much of a replica's log is in the primary's: the
// longest prefix whose terms agree. Two logs that have the same term at a
// position are the same up to there, since one primary wrote each term.
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

// serveReplica streams the log to a replica until the connection or the term
// ends.
func (c *session) serveReplica(ctx context.Context, req streamRequest) error {
	m := c.member
	m.mu.Lock()
	if m.faults.NoReplication {
		m.mu.Unlock()
		return Error.New("cut off from replication")
	}
	if m.role != cwgroup.RolePrimary || m.adopted != req.Adopted && m.cfg.ChecksTerm {
		adopted := m.adopted
		m.mu.Unlock()
		return &StaleOrderError{Order: req.Adopted, Adopted: adopted}
	}
	term := m.adopted
	next := commonPrefix(m.log, req)
	m.mu.Unlock()
	if err := c.sendPart(streamPart{TruncateTo: &next}); err != nil {
		return err
	}
	for {
		m.mu.Lock()
		changed, frozen := m.changed, m.faults.Frozen || m.faults.NoReplication
		over := m.role != cwgroup.RolePrimary || m.adopted != term
		records := m.log[next:len(m.log):len(m.log)]
		m.mu.Unlock()
		if over {
			return nil
		}
		if !frozen {
			if err := c.sendPart(streamPart{Records: records}); err != nil {
				return err
			}
			next += cwgroup.LogIndex(len(records))
		}
		select {
		case <-changed:
		case <-time.After(keepalive):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *session) sendPart(p streamPart) error {
	body, err := json.Marshal(p)
	if err != nil {
		return Error.Wrap(err)
	}
	c.backend.Send(&pgproto3.CopyData{Data: body})
	return c.backend.Flush()
}

// loopFollow copies the log of whatever primary the member was told to follow.
func (m *Member) loopFollow(ctx context.Context) error {
	for ctx.Err() == nil {
		m.mu.Lock()
		addr, role, changed := m.follow, m.role, m.changed
		idle := role != cwgroup.RoleReplica || addr == "" || m.faults.NoReplication
		m.mu.Unlock()
		if idle {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		_ = m.followOnce(ctx, addr)
		sleep(ctx, 20*time.Millisecond)
	}
	return nil
}

// followOnce copies from one connection until it breaks or the order changes.
func (m *Member) followOnce(ctx context.Context, addr string) error {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return Error.Wrap(err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	front := pgproto3.NewFrontend(conn, conn)
	m.mu.Lock()
	term := m.adopted
	req := streamRequest{
		Member:  m.cfg.ID,
		Adopted: m.adopted,
		Claim:   m.claim,
		Last:    cwgroup.LogIndex(len(m.log)),
		Epochs:  epochsOf(m.log),
	}
	m.mu.Unlock()
	body, err := json.Marshal(req)
	if err != nil {
		return Error.Wrap(err)
	}
	front.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "replication", "database": "replication", "replication": "true"},
	})
	front.Send(&pgproto3.Query{String: startReplication + string(body)})
	if err := front.Flush(); err != nil {
		return Error.Wrap(err)
	}
	return m.receive(ctx, conn, front, term, addr)
}

func (m *Member) receive(ctx context.Context, conn net.Conn, front *pgproto3.Frontend, term cwgroup.Term, addr string) error {
	for {
		if err := conn.SetReadDeadline(time.Now().Add(10 * keepalive)); err != nil {
			return Error.Wrap(err)
		}
		msg, err := front.Receive()
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
		var part streamPart
		if err := json.Unmarshal(data.Data, &part); err != nil {
			return Error.Wrap(err)
		}
		if f := m.Faults(); len(part.Records) > 0 {
			sleep(ctx, f.StreamLag)
		}
		if err := m.takePart(ctx, part, term, addr); err != nil {
			return err
		}
	}
}

// takePart stores what came from the primary, unless the member was told
// something else in the meantime.
func (m *Member) takePart(ctx context.Context, part streamPart, term cwgroup.Term, addr string) error {
	if err := m.lockWriter(ctx); err != nil {
		return err
	}
	defer func() { <-m.writer }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.adopted != term || m.role != cwgroup.RoleReplica || m.follow != addr {
		return &StaleOrderError{Order: term, Adopted: m.adopted}
	}
	m.heard = time.Now()
	if part.TruncateTo != nil && int(*part.TruncateTo) < len(m.log) {
		if err := m.cutTail(ctx, *part.TruncateTo); err != nil {
			return err
		}
	}
	if len(part.Records) == 0 {
		return nil
	}
	m.log = append(m.log, part.Records...)
	if m.faults.ApplyLag == 0 {
		if err := m.applyAll(ctx); err != nil {
			return err
		}
	} else {
		upTo := cwgroup.LogIndex(len(m.log))
		time.AfterFunc(m.faults.ApplyLag, func() { m.applyLater(ctx, term, upTo) })
	}
	m.notify()
	return nil
}

// cutTail drops the records after p. The data is made anew if it had them.
func (m *Member) cutTail(ctx context.Context, p cwgroup.LogIndex) error {
	m.log = m.log[:p:p]
	if m.applied <= p {
		return nil
	}
	return m.rebuild(ctx)
}

func (m *Member) applyAll(ctx context.Context) error {
	for int(m.applied) < len(m.log) {
		if err := m.engine.replicate(ctx, m.log[m.applied].Stmts); err != nil {
			return err
		}
		m.applied++
	}
	return nil
}

func (m *Member) applyLater(ctx context.Context, term cwgroup.Term, upTo cwgroup.LogIndex) {
	if m.lockWriter(ctx) != nil {
		return
	}
	defer func() { <-m.writer }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.adopted != term || m.role != cwgroup.RoleReplica {
		return
	}
	for m.applied < min(upTo, cwgroup.LogIndex(len(m.log))) {
		if m.engine.replicate(ctx, m.log[m.applied].Stmts) != nil {
			return
		}
		m.applied++
	}
	m.notify()
}

// runReplication serves a replica.
func (c *session) runReplication(ctx context.Context) {
	msg, err := c.backend.Receive()
	if err != nil {
		return
	}
	q, ok := msg.(*pgproto3.Query)
	if !ok {
		return
	}
	body, ok := strings.CutPrefix(q.String, startReplication)
	var req streamRequest
	if !ok || json.Unmarshal([]byte(body), &req) != nil {
		c.fatal("08P01", "replication request expected")
		return
	}
	if err := c.serveReplica(ctx, req); err != nil {
		c.fatal("55000", err.Error())
	}
}
