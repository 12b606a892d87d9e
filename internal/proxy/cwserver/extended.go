package cwserver

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwrequestkey"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpgpool"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// batchMessage is a buffered message of a batch.
type batchMessage struct {
	// msgType is the protocol's type byte: P (Parse), B (Bind), D (Describe),
	// E (Execute) or C (Close).
	msgType byte
	// objectType is what a Describe or Close is for: S (statement) or P (portal).
	objectType byte
	portal     string
	statement  *preparedStatement
	bind       *pgproto3.Bind
	maxRows    uint32
}

// batch holds the extended-protocol messages that the client sent since the last
// Sync, and the state of a batch that was flushed in part.
type batch struct {
	messages []batchMessage
	// err is the first error that the proxy itself found in the buffered messages.
	// None of them is then run, as in PostgreSQL, where a batch is one implicit
	// transaction.
	err error
	// lease is the connection held from a Flush outside a transaction until the
	// Sync; route and endWrite belong to it.
	lease    *cwpgpool.Lease
	route    route
	endWrite func()
	// failed is true after an error that was sent to the client before the Sync.
	failed bool
	// awaitingSync is true if a part of the batch was flushed inside a transaction
	// and the target has not received the Sync yet.
	awaitingSync bool
	// pendingParses holds the statement names of the buffered Parse messages, in
	// order.
	pendingParses []string
}

// active reports whether a batch was begun and not yet ended by a Sync.
func (b *batch) active() bool { return len(b.messages) > 0 || b.lease != nil || b.awaitingSync }

// holdConnection keeps the connection of a flushed batch for its remainder.
func (b *batch) holdConnection(r route, endWrite func(), rep responseSummary) {
	b.lease, b.route, b.endWrite, b.failed = r.lease, r, endWrite, rep.errorCode != ""
}

// addToBatch adds a message to the batch. What is kept of the message is copied,
// because its memory is reused for the next one. After an error the rest of the
// batch is ignored.
func (s *session) addToBatch(msg pgproto3.FrontendMessage) error {
	b := &s.batch
	if b.err != nil || b.failed {
		return nil
	}
	if len(b.messages) >= maxBatchMessages {
		b.err = cwrefusal.NotRun(cwrefusal.LimitExceeded, 0, "more than %d messages before a Sync", maxBatchMessages)
		return nil
	}
	o, err := s.newBatchMessage(msg)
	if err == nil {
		err = s.chargeBatch(o)
	}
	if err != nil {
		b.err = err
		return nil
	}
	b.messages = append(b.messages, o)
	return nil
}

// newBatchMessage converts a protocol message and updates the session's prepared
// statements and portals accordingly.
func (s *session) newBatchMessage(msg pgproto3.FrontendMessage) (batchMessage, error) {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		p, err := s.prepareStatement(m)
		if err == nil {
			s.batch.pendingParses = append(s.batch.pendingParses, m.Name)
		}
		return batchMessage{msgType: 'P', statement: p}, err
	case *pgproto3.Bind:
		p, ok := s.prepared[m.PreparedStatement]
		if !ok {
			return batchMessage{}, noStatementRefusal(m.PreparedStatement)
		}
		if err := s.addPortal(m.DestinationPortal, p); err != nil {
			return batchMessage{}, err
		}
		return batchMessage{msgType: 'B', statement: p, bind: copyBind(m)}, nil
	case *pgproto3.Describe:
		if m.ObjectType == 'P' {
			return batchMessage{msgType: 'D', objectType: 'P', portal: m.Name, statement: s.portals[m.Name]}, nil
		}
		p, ok := s.prepared[m.Name]
		if !ok {
			return batchMessage{}, noStatementRefusal(m.Name)
		}
		return batchMessage{msgType: 'D', objectType: 'S', statement: p}, nil
	case *pgproto3.Execute:
		p, ok := s.portals[m.Portal]
		if !ok {
			return batchMessage{}, &cwrefusal.Refusal{Code: "34000", Message: "portal " + strconv.Quote(m.Portal) + " does not exist", NotRun: true}
		}
		return batchMessage{msgType: 'E', portal: m.Portal, statement: p, maxRows: m.MaxRows}, nil
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			s.forgetPrepared(m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		return batchMessage{msgType: 'C', objectType: m.ObjectType, portal: m.Name}, nil
	}
	return batchMessage{}, cwrefusal.NotRun(cwrefusal.ProtocolViolation, 0, "unexpected message in a batch")
}

// copyBind copies a Bind message, with all parameters in one allocation. The
// statement name is left out, because each target connection has its own.
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

// runBatch runs the buffered messages. If sync is set, it also ends the batch.
//
// Statements that were not answered with a ParseComplete are forgotten.
// Otherwise, when a batch is refused as not run and the client retries it, the
// retry fails because its statement already exists, and so does every further
// one.
func (s *session) runBatch(sync bool) {
	pendingParses := s.batch.pendingParses
	s.batch.pendingParses = nil
	start, flushCount := len(s.output), s.flushCount
	s.executeBatch(sync)
	s.memory.ReleaseAll(cwmemory.Statement)
	if s.flushCount != flushCount {
		// A large response is sent in parts, and the first part contains every
		// ParseComplete.
		return
	}
	for _, name := range pendingParses[min(len(pendingParses), countParseCompletes(s.output[start:])):] {
		s.forgetPrepared(name)
	}
}

// executeBatch runs the buffered messages inside the open transaction, on the
// connection held since a Flush, without a target, or as a new request.
func (s *session) executeBatch(sync bool) {
	b := &s.batch
	messages := b.messages
	b.messages = nil
	err := b.err
	b.err = nil
	if b.awaitingSync && s.tx != nil {
		s.continueInTransaction(messages, err, sync)
		return
	}
	if b.failed {
		if sync {
			s.finishFlushedBatch(nil)
		}
		return
	}
	if err != nil {
		s.failStatement(err)
		if !sync {
			b.failed = true
		} else if b.lease != nil {
			s.finishFlushedBatch(nil)
		}
		return
	}
	if b.lease != nil {
		s.continueFlushedBatch(messages, sync)
		return
	}
	if len(messages) == 0 {
		return
	}
	if s.answerBatchLocally(messages) {
		return
	}
	s.runRequest(s.batchRequest(messages, sync))
}

// batchRequest returns the request that sends the messages to a target, followed
// by a Sync or a Flush.
func (s *session) batchRequest(messages []batchMessage, sync bool) request {
	req := request{readOnly: true, sync: sync}
	for _, o := range messages {
		if o.msgType != 'E' {
			continue
		}
		req.readOnly = req.readOnly && s.readsOnly(o.statement.parsed)
		req.begins = req.begins || o.statement.parsed.Kind == cwsql.Begin
		req.mayCommit = req.mayCommit || o.statement.parsed.Kind == cwsql.Commit
		if f := s.settingRecorder(o.statement.parsed); f != nil {
			req.onComplete = f
		}
	}
	req.digest = func() string { return digestBatch(messages) }
	req.send = func(c *cwpgpool.Conn) *responseQueue {
		st := &responseQueue{conn: c}
		for _, o := range messages {
			st.sendMessage(o)
		}
		if sync {
			c.Frontend.SendSync(&pgproto3.Sync{})
		} else {
			c.Frontend.Send(&pgproto3.Flush{})
		}
		return st
	}
	return req
}

// digestBatch returns the digest that ties a batch to its request key. It covers
// message types, queries, parameters and result formats.
func digestBatch(messages []batchMessage) string {
	var parts [][]byte
	for _, o := range messages {
		parts = append(parts, []byte{o.msgType, o.objectType})
		if o.msgType != 'B' {
			continue
		}
		parts = append(parts, []byte(o.statement.query))
		parts = append(parts, o.bind.Parameters...)
		for _, f := range o.bind.ResultFormatCodes {
			parts = append(parts, []byte{byte(f)})
		}
	}
	return cwrequestkey.Digest(parts...)
}

// answerBatchLocally answers a batch that needs no target: one that only
// concerns the proxy's own settings, ends a failed transaction, or closes
// prepared statements. It returns false if the batch must go to a target.
func (s *session) answerBatchLocally(messages []batchMessage) bool {
	local := false
	for _, o := range messages {
		if o.statement != nil {
			local = local || s.isLocal(o.statement.parsed)
		}
	}
	if !local {
		return s.answerStatementCloses(messages)
	}
	for _, o := range messages {
		if o.statement != nil && !s.isLocal(o.statement.parsed) {
			s.failStatement(cwrefusal.NotRun(cwrefusal.FeatureNotSupported, 0, "cicadawalk settings together with other statements in one batch are not supported"))
			return true
		}
	}
	for _, o := range messages {
		if !s.answerMessageLocally(o) {
			return true
		}
	}
	return true
}

// isLocal reports whether a statement of a batch is answered without a target.
func (s *session) isLocal(st cwsql.Statement) bool {
	if s.tx != nil && (s.tx.failed || s.tx.lease == nil) {
		return true
	}
	switch st.Kind {
	case cwsql.Set, cwsql.SetLocal, cwsql.Show:
		return strings.HasPrefix(st.Name, proxySettingPrefix)
	case cwsql.Reset:
		return st.Name == "" && s.tx == nil || strings.HasPrefix(st.Name, proxySettingPrefix)
	case cwsql.Discard:
		return true
	case cwsql.Commit, cwsql.Rollback:
		return s.tx == nil || st.Chain
	}
	return false
}

// answerMessageLocally answers one message of a batch that needs no target. It
// returns false after an error.
func (s *session) answerMessageLocally(o batchMessage) bool {
	switch o.msgType {
	case 'P':
		s.send(&pgproto3.ParseComplete{})
	case 'B':
		s.send(&pgproto3.BindComplete{})
	case 'C':
		s.send(&pgproto3.CloseComplete{})
	case 'D':
		if o.objectType == 'S' {
			s.send(&pgproto3.ParameterDescription{})
		}
		if o.statement != nil && o.statement.parsed.Kind == cwsql.Show {
			s.send(textColumn(o.statement.parsed.Name))
		} else {
			s.send(&pgproto3.NoData{})
		}
	case 'E':
		start := len(s.output)
		s.answerLocally(o.statement.parsed, false)
		return !containsError(s.output[start:])
	}
	return true
}

// answerStatementCloses answers a batch that only closes prepared statements, and
// returns false for any other batch.
func (s *session) answerStatementCloses(messages []batchMessage) bool {
	for _, o := range messages {
		if o.msgType != 'C' || o.objectType != 'S' {
			return false
		}
	}
	for range messages {
		s.send(&pgproto3.CloseComplete{})
	}
	return true
}

// continueInTransaction runs the next part of a batch that was flushed inside a
// transaction. The Sync is sent to the target even after an error, because the
// target ignores all messages until it arrives.
func (s *session) continueInTransaction(messages []batchMessage, err error, sync bool) {
	b := &s.batch
	if err != nil && !b.failed {
		s.failStatement(err)
		b.failed = true
	}
	if b.failed {
		messages = nil
	}
	if !sync && len(messages) == 0 {
		return
	}
	req := s.batchRequest(messages, sync)
	req.endsFlushedBatch = sync
	if sync {
		b.awaitingSync, b.failed = false, false
	}
	s.runInTransaction(req)
}

// continueFlushedBatch runs the next part of a batch that was flushed outside a
// transaction.
func (s *session) continueFlushedBatch(messages []batchMessage, sync bool) {
	req := s.batchRequest(messages, sync)
	if !sync && len(messages) == 0 {
		return
	}
	s.finishFlushedBatch(&req)
}

// finishFlushedBatch sends the next part of a flushed batch over the connection
// held for it; if req is nil, it sends only the Sync. After a Sync the batch is
// over.
func (s *session) finishFlushedBatch(req *request) {
	b := &s.batch
	r, endWrite := b.route, b.endWrite
	if b.lease == nil {
		s.batch = batch{}
		return
	}
	if req == nil {
		req = &request{sync: true, readOnly: !r.primary, send: func(c *cwpgpool.Conn) *responseQueue {
			c.Frontend.SendSync(&pgproto3.Sync{})
			return nil
		}}
	}
	start := len(s.output)
	rep, flushed, err := s.sendAndRelay(r, *req)
	if err != nil {
		s.batch = batch{}
		s.setActiveLease(nil)
		r.lease.Discard()
		endWrite()
		s.discardOutput(start, flushed)
		s.failStatement(lostRefusal(err, r.primary))
		return
	}
	if !req.sync {
		b.failed = rep.errorCode != ""
		return
	}
	s.batch = batch{}
	if err := s.finishRequest(r, *req, rep, endWrite, start, flushed); err != nil {
		s.failStatement(err)
	}
}
