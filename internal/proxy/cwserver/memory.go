package cwserver

import (
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
	"cicadawalk.example/cicadawalk/internal/wire/cwframe"
)

const (
	// connectionBytes is what a client's connection takes by itself, with its buffers, in bytes.
	connectionBytes = 24 << 10
	// inputBuffer is the size of the buffer before that of pgproto3, in bytes.
	inputBuffer = 512
	// messageCopies is how often a message is kept while it is handled: as received, decoded, and
	// as the message to a target.
	messageCopies = 3
	// batchCopies is how often a message of a batch is kept until the batch runs: copied, and as
	// the message to a target.
	batchCopies = 2
	// preparedCopies is how often the text of a prepared statement is kept: itself, and what was
	// parsed of it.
	preparedCopies = 2
	// entryBytes is what an entry of a map takes beside its texts, in bytes.
	entryBytes = 256
	// outputCopies is how often the output is kept, since its buffer grows by doubling.
	outputCopies = 2
	// outputStep is the growth of the output that is charged at once, in bytes.
	outputStep = 16 << 10
	// messageTimeout is the time in which a message must arrive from its header on, beside the
	// time that its length takes.
	messageTimeout = 10 * time.Second
)

// noRoomError reports a message for which there was no memory. It was read and dropped.
type noRoomError struct {
	msgType byte
	cause   error
}

func (e *noRoomError) Error() string { return "message was dropped: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *noRoomError) Unwrap() error { return e.cause }

// memoryRefusal refuses a request for which there is no memory.
func memoryRefusal(cause error) error {
	return cwrefusal.NotRun(cwrefusal.OutOfMemory, cwmemoryguard.RetryAfter, "%v", cause)
}

// gaveWayRefusal is the last message to a client whose session holds the most memory.
func gaveWayRefusal() error {
	return cwrefusal.NotRun(cwrefusal.OutOfMemory, cwmemoryguard.RetryAfter, "the session holds the most memory, which is used up; connect again")
}

// receive returns the client's next message. The error is a *noRoomError if it was dropped.
func (s *session) receive() (pgproto3.FrontendMessage, error) {
	msg, err := s.backend.Receive()
	var noRoom *noRoomError
	if errors.As(err, &noRoom) {
		if skipped := s.input.Skip(); skipped != nil {
			return nil, skipped
		}
	}
	return msg, err
}

// admitMessage charges a message of the client that is about to be read. A message that is too long
// is not charged, since the backend refuses it.
func (s *session) admitMessage(h cwframe.Header) error {
	if h.Length <= 0 || h.Length > MaxMessageSize {
		return nil
	}
	if err := s.boundMessage(h); err != nil {
		return err
	}
	if err := s.memory.Charge(cwmemory.Message, messageCopies*int64(h.Length)); err != nil {
		return &noRoomError{msgType: h.Type, cause: err}
	}
	return nil
}

// boundMessage bounds the time in which a message with a header must arrive, unless the wait for it
// is to end anyway.
func (s *session) boundMessage(h cwframe.Header) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interrupted {
		return nil
	}
	s.messageBounded = true
	return s.conn.SetReadDeadline(time.Now().Add(messageTimeout + transferTime(h.Length)))
}

// refuseMessage answers a message for which there was no memory. An error ends the session.
func (s *session) refuseMessage(e *noRoomError) error {
	refusal := memoryRefusal(e.cause)
	switch e.msgType {
	case 'Q':
		s.failStatement(refusal)
		return s.finishResponse()
	case 'P', 'B', 'D', 'E', 'C':
		if s.batch.err == nil && !s.batch.failed {
			s.batch.err = refusal
		}
		return nil
	case 'd', 'c', 'f':
		// The rest of a refused COPY.
		return nil
	}
	s.sendError("FATAL", refusal)
	_ = s.flush()
	return errTerminated
}

// giveWay ends the session if it holds more than others in a message that is being read or in
// prepared statements, as soon as it waits for its client. A statement or response ends by itself.
func (s *session) giveWay() {
	if s.memory.Held(cwmemory.Message)+s.memory.Held(cwmemory.Session) <= cwmemory.Allowance/2 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.givesWay = true
	if s.waiting {
		s.interrupt()
	}
}

// interrupt ends the wait for the client's message. The caller holds mu.
func (s *session) interrupt() {
	s.interrupted = true
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
}

// chargePrepared charges a prepared statement that is added under a name.
func (s *session) chargePrepared(name string, p *preparedStatement) error {
	p.bytes = entryBytes + int64(len(name)+4*len(p.paramOIDs)) + preparedCopies*int64(len(p.query))
	if err := s.memory.Charge(cwmemory.Session, p.bytes); err != nil {
		return memoryRefusal(err)
	}
	return nil
}

// forgetPrepared removes a prepared statement.
func (s *session) forgetPrepared(name string) {
	if p, ok := s.prepared[name]; ok {
		delete(s.prepared, name)
		s.memory.Release(cwmemory.Session, p.bytes)
	}
}

// forgetAllPrepared removes all prepared statements and portals.
func (s *session) forgetAllPrepared() {
	s.prepared, s.portals, s.portalBytes = nil, nil, 0
	s.memory.ReleaseAll(cwmemory.Session)
}

// addPortal records the statement of a portal.
func (s *session) addPortal(name string, p *preparedStatement) error {
	if _, ok := s.portals[name]; !ok {
		n := entryBytes + int64(len(name))
		if err := s.memory.Charge(cwmemory.Session, n); err != nil {
			return memoryRefusal(err)
		}
		s.portalBytes += n
	}
	if s.portals == nil {
		s.portals = make(map[string]*preparedStatement)
	}
	s.portals[name] = p
	return nil
}

// forgetPortals removes all portals, which end with their transaction.
func (s *session) forgetPortals() {
	s.memory.Release(cwmemory.Session, s.portalBytes)
	s.portals, s.portalBytes = nil, 0
}

// chargeBatch charges a message that is kept until its batch runs.
func (s *session) chargeBatch(o batchMessage) error {
	n := entryBytes + len(o.portal)
	if o.bind != nil {
		for _, p := range o.bind.Parameters {
			n += len(p) + entryBytes/4
		}
	}
	if o.msgType == 'P' {
		n += len(o.statement.query)
	}
	if err := s.memory.Charge(cwmemory.Statement, batchCopies*int64(n)); err != nil {
		return memoryRefusal(err)
	}
	return nil
}

// holdsOutput charges the output that has grown. It returns false if there is no memory for it, so
// that rows have to be sent now.
func (s *session) holdsOutput() bool {
	n := len(s.output) - s.chargedOutput
	if n < outputStep {
		return true
	}
	if s.memory.Charge(cwmemory.Answer, outputCopies*int64(n)) != nil {
		return false
	}
	s.chargedOutput = len(s.output)
	return true
}

// admitResponse charges a message of a target that is about to be read. Its memory is returned with
// that of the client's message.
func (s *session) admitResponse(h cwframe.Header) error {
	if h.Length < outputStep {
		return nil
	}
	if err := s.memory.Charge(cwmemory.Answer, outputCopies*int64(h.Length)); err != nil {
		return &responseLostError{reason: "there is no memory for the response"}
	}
	return nil
}
