package cwfront

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwrequest"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpool"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// op is one message of a batch.
type op struct {
	// kind is the message's type byte: P, B, D, E or C.
	kind byte
	// object is S or P for Describe and Close.
	object byte
	portal string
	prep   *prepared
	bind   *pgproto3.Bind
	rows   uint32
}

// batch is what the caller sent of the extended protocol since the last Sync.
type batch struct {
	ops []op
	// err is the first fault found by the proxy itself. Nothing of the batch
	// runs then, as in PostgreSQL, where a batch is one implicit transaction.
	err error
	// lease is held after a Flush, until the Sync.
	lease    *cwpool.Lease
	route    route
	endWrite func()
	// failed is true after an error that was passed on before the Sync.
	failed bool
	// unsynced is true if a part of the batch was flushed inside a transaction.
	unsynced bool
	// parses are the names that are being prepared, in order, since the last answer.
	parses []string
}

func (b *batch) active() bool { return len(b.ops) > 0 || b.lease != nil || b.unsynced }

// hold keeps the connection of a batch that was flushed.
func (b *batch) hold(r route, endWrite func(), rep reply) {
	b.lease, b.route, b.endWrite, b.failed = r.lease, r, endWrite, rep.code != ""
}

// collect adds a message to the batch. The message is copied: its memory is
// used again for the next one.
func (s *session) collect(msg pgproto3.FrontendMessage) error {
	b := &s.batch
	if b.err != nil || b.failed {
		return nil
	}
	if len(b.ops) >= maxBatch {
		b.err = cwrefusal.NotRun(cwrefusal.LimitExceeded, 0, "more than %d messages before a Sync", maxBatch)
		return nil
	}
	o, err := s.toOp(msg)
	if err != nil {
		b.err = err
		return nil
	}
	b.ops = append(b.ops, o)
	return nil
}

func (s *session) toOp(msg pgproto3.FrontendMessage) (op, error) {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		p, err := s.prepare(m)
		if err == nil {
			s.batch.parses = append(s.batch.parses, m.Name)
		}
		return op{kind: 'P', prep: p}, err
	case *pgproto3.Bind:
		p, ok := s.prepared[m.PreparedStatement]
		if !ok {
			return op{}, noStatement(m.PreparedStatement)
		}
		if s.portals == nil {
			s.portals = make(map[string]*prepared)
		}
		s.portals[m.DestinationPortal] = p
		return op{kind: 'B', prep: p, bind: copyBind(m)}, nil
	case *pgproto3.Describe:
		if m.ObjectType == 'P' {
			return op{kind: 'D', object: 'P', portal: m.Name, prep: s.portals[m.Name]}, nil
		}
		p, ok := s.prepared[m.Name]
		if !ok {
			return op{}, noStatement(m.Name)
		}
		return op{kind: 'D', object: 'S', prep: p}, nil
	case *pgproto3.Execute:
		p, ok := s.portals[m.Portal]
		if !ok {
			return op{}, &cwrefusal.Refusal{Code: "34000", Message: "portal " + strconv.Quote(m.Portal) + " does not exist", NotRun: true}
		}
		return op{kind: 'E', portal: m.Portal, prep: p, rows: m.MaxRows}, nil
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		return op{kind: 'C', object: m.ObjectType, portal: m.Name}, nil
	}
	return op{}, cwrefusal.NotRun(cwrefusal.ProtocolViolation, 0, "unexpected message in a batch")
}

func copyBind(m *pgproto3.Bind) *pgproto3.Bind {
	size := 0
	for _, p := range m.Parameters {
		size += len(p)
	}
	mem := make([]byte, 0, size)
	c := &pgproto3.Bind{
		DestinationPortal:    m.DestinationPortal,
		ParameterFormatCodes: append([]int16(nil), m.ParameterFormatCodes...),
		ResultFormatCodes:    append([]int16(nil), m.ResultFormatCodes...),
		Parameters:           make([][]byte, len(m.Parameters)),
	}
	for i, p := range m.Parameters {
		if p == nil {
			continue
		}
		start := len(mem)
		mem = append(mem, p...)
		c.Parameters[i] = mem[start:len(mem):len(mem)]
	}
	return c
}

// runBatch runs what was collected. With sync set the batch is over after.
//
// The failure: a batch is refused as not run, the caller tries it again, and is told
// that the statement it prepares is there already; so it goes on for good. What was
// not answered as prepared is not.
func (s *session) runBatch(sync bool) {
	parses := s.batch.parses
	s.batch.parses = nil
	start, flushes := len(s.out), s.flushes
	s.runCollected(sync)
	if s.flushes != flushes {
		// Large answers go out in parts; the first part has these answers.
		return
	}
	for _, name := range parses[min(len(parses), parseCompletes(s.out[start:])):] {
		delete(s.prepared, name)
	}
}

func (s *session) runCollected(sync bool) {
	b := &s.batch
	ops := b.ops
	b.ops = nil
	err := b.err
	b.err = nil
	if b.unsynced && s.tx != nil {
		s.continueInTransaction(ops, err, sync)
		return
	}
	if b.failed {
		if sync {
			s.finishFlushed(nil)
		}
		return
	}
	if err != nil {
		s.fail(err)
		if !sync {
			b.failed = true
		} else if b.lease != nil {
			s.finishFlushed(nil)
		}
		return
	}
	if b.lease != nil {
		s.continueFlushed(ops, sync)
		return
	}
	if len(ops) == 0 {
		return
	}
	if s.answerOps(ops) {
		return
	}
	s.runUnit(s.batchUnit(ops, sync))
}

// batchUnit makes the unit of a batch.
func (s *session) batchUnit(ops []op, sync bool) unit {
	u := unit{read: true, sync: sync}
	for _, o := range ops {
		if o.kind != 'E' {
			continue
		}
		u.read = u.read && s.readsOnly(o.prep.stmt)
		u.begin = u.begin || o.prep.stmt.Kind == cwsql.Begin
		u.ends = u.ends || o.prep.stmt.Kind == cwsql.Commit
		if f := s.afterSetting(o.prep.stmt); f != nil {
			u.done = f
		}
	}
	u.digest = func() string { return digestOps(ops) }
	u.send = func(c *cwpool.Conn) *steps {
		st := &steps{conn: c}
		for _, o := range ops {
			st.send(o)
		}
		if sync {
			c.Front.SendSync(&pgproto3.Sync{})
		} else {
			c.Front.Send(&pgproto3.Flush{})
		}
		return st
	}
	return u
}

// digestOps identifies a batch for its request key: statements, arguments, and
// the shape of the answer.
func digestOps(ops []op) string {
	var parts [][]byte
	for _, o := range ops {
		parts = append(parts, []byte{o.kind, o.object})
		if o.kind != 'B' {
			continue
		}
		parts = append(parts, []byte(o.prep.query))
		parts = append(parts, o.bind.Parameters...)
		for _, f := range o.bind.ResultFormatCodes {
			parts = append(parts, []byte{byte(f)})
		}
	}
	return cwrequest.Digest(parts...)
}

// answerOps answers a batch that needs no target: it concerns only the
// system's own settings, or the end of a transaction that has failed.
func (s *session) answerOps(ops []op) bool {
	local := false
	for _, o := range ops {
		if o.prep != nil {
			local = local || s.isLocal(o.prep.stmt)
		}
	}
	if !local {
		return s.closesOnly(ops)
	}
	for _, o := range ops {
		if o.prep != nil && !s.isLocal(o.prep.stmt) {
			s.fail(cwrefusal.NotRun(cwrefusal.FeatureNotSupported, 0, "cicadawalk settings together with other statements in one batch are not supported"))
			return true
		}
	}
	for _, o := range ops {
		if !s.answerOp(o) {
			return true
		}
	}
	return true
}

func (s *session) isLocal(st cwsql.Statement) bool {
	if s.tx != nil && (s.tx.failed || s.tx.lease == nil) {
		return true
	}
	switch st.Kind {
	case cwsql.Set, cwsql.SetLocal, cwsql.Show:
		return strings.HasPrefix(st.Name, ownPrefix)
	case cwsql.Reset:
		return st.Name == "" && s.tx == nil || strings.HasPrefix(st.Name, ownPrefix)
	case cwsql.Discard:
		return true
	case cwsql.Commit, cwsql.Rollback:
		return s.tx == nil || st.Chain
	}
	return false
}

// answerOp answers one message of a local batch. It returns false after an
// error.
func (s *session) answerOp(o op) bool {
	switch o.kind {
	case 'P':
		s.send(&pgproto3.ParseComplete{})
	case 'B':
		s.send(&pgproto3.BindComplete{})
	case 'C':
		s.send(&pgproto3.CloseComplete{})
	case 'D':
		if o.object == 'S' {
			s.send(&pgproto3.ParameterDescription{})
		}
		if o.prep != nil && o.prep.stmt.Kind == cwsql.Show {
			s.send(textColumn(o.prep.stmt.Name))
		} else {
			s.send(&pgproto3.NoData{})
		}
	case 'E':
		start := len(s.out)
		s.answerLocally(o.prep.stmt, false)
		return !hasError(s.out[start:])
	}
	return true
}

// closesOnly answers a batch that only closes prepared statements.
func (s *session) closesOnly(ops []op) bool {
	for _, o := range ops {
		if o.kind != 'C' || o.object != 'S' {
			return false
		}
	}
	for range ops {
		s.send(&pgproto3.CloseComplete{})
	}
	return true
}

// continueInTransaction runs more of a batch that was flushed inside a
// transaction. The target hears of the batch's end whatever became of it:
// after an error it ignores everything up to the Sync.
func (s *session) continueInTransaction(ops []op, err error, sync bool) {
	b := &s.batch
	if err != nil && !b.failed {
		s.fail(err)
		b.failed = true
	}
	if b.failed {
		ops = nil
	}
	if !sync && len(ops) == 0 {
		return
	}
	u := s.batchUnit(ops, sync)
	u.resync = sync
	if sync {
		b.unsynced, b.failed = false, false
	}
	s.runInTransaction(u)
}

// continueFlushed runs more of a batch that was flushed before.
func (s *session) continueFlushed(ops []op, sync bool) {
	u := s.batchUnit(ops, sync)
	if !sync && len(ops) == 0 {
		return
	}
	s.finishFlushed(&u)
}

// finishFlushed sends the rest of a flushed batch, or only its Sync, over the
// connection that is held for it.
func (s *session) finishFlushed(u *unit) {
	b := &s.batch
	r, endWrite := b.route, b.endWrite
	if b.lease == nil {
		s.batch = batch{}
		return
	}
	if u == nil {
		u = &unit{sync: true, read: !r.primary, send: func(c *cwpool.Conn) *steps {
			c.Front.SendSync(&pgproto3.Sync{})
			return nil
		}}
	}
	start := len(s.out)
	rep, flushed, err := s.exchangeInTransaction(r, *u)
	if err != nil {
		s.batch = batch{}
		s.setLease(nil)
		r.lease.Discard()
		endWrite()
		s.undo(start, flushed)
		s.fail(lost(err, r.primary))
		return
	}
	if !u.sync {
		b.failed = rep.code != ""
		return
	}
	s.batch = batch{}
	if err := s.settle(r, *u, rep, endWrite, start, flushed); err != nil {
		s.fail(err)
	}
}
