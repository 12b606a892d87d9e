package cwserver

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/proxy/cwpgpool"
)

// expectedResponse is the response to one message of a batch.
type expectedResponse struct {
	// requestType is the type byte of the message that the target responds to, or
	// zero for a response that the proxy makes itself.
	requestType byte
	// hidden is true for a response to a message that the proxy added, which the
	// client must not see.
	hidden bool
	// encoded is the proxy's own response, as sent to the client.
	encoded []byte
	// statement is the target name of the statement that a Parse prepares.
	statement string
}

// responseQueue holds the expected responses to a batch, in order. It hides the
// difference between the statements that the client has prepared and those that
// are prepared on the target connection: the proxy adds a Parse or Close where
// the connection needs one and omits those that it does not need.
type responseQueue struct {
	conn     *cwpgpool.Conn
	expected []expectedResponse
}

// Encoded responses that the proxy sends in place of the target's.
var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
)

// sendMessage queues a message of the batch on the connection, and its expected
// response.
func (st *responseQueue) sendMessage(o batchMessage) {
	f := st.conn.Frontend
	switch o.msgType {
	case 'P':
		if !st.ensurePrepared(o.statement, false) {
			st.expected = append(st.expected, expectedResponse{encoded: parseComplete})
		}
	case 'B':
		st.ensurePrepared(o.statement, true)
		o.bind.PreparedStatement = o.statement.targetName
		f.SendBind(o.bind)
		st.expected = append(st.expected, expectedResponse{requestType: 'B'})
	case 'D':
		if o.objectType == 'S' {
			st.ensurePrepared(o.statement, true)
			f.SendDescribe(&pgproto3.Describe{ObjectType: 'S', Name: o.statement.targetName})
		} else {
			f.SendDescribe(&pgproto3.Describe{ObjectType: 'P', Name: o.portal})
		}
		st.expected = append(st.expected, expectedResponse{requestType: 'D'})
	case 'E':
		f.SendExecute(&pgproto3.Execute{Portal: o.portal, MaxRows: o.maxRows})
		st.expected = append(st.expected, expectedResponse{requestType: 'E'})
	case 'C':
		if o.objectType == 'S' {
			// The statement stays prepared on the connection for other clients.
			st.expected = append(st.expected, expectedResponse{encoded: closeComplete})
			return
		}
		f.SendClose(&pgproto3.Close{ObjectType: 'P', Name: o.portal})
		st.expected = append(st.expected, expectedResponse{requestType: 'C'})
	}
}

// ensurePrepared queues a Parse for a statement unless the connection has it
// already, and reports whether it did. It may also close the oldest prepared
// statement of the connection to make room.
func (st *responseQueue) ensurePrepared(p *preparedStatement, hidden bool) bool {
	if st.conn.HasPrepared(p.targetName) {
		return false
	}
	if evicted := st.conn.AddPrepared(p.targetName); evicted != "" {
		st.conn.Frontend.SendClose(&pgproto3.Close{ObjectType: 'S', Name: evicted})
		st.expected = append(st.expected, expectedResponse{requestType: 'C', hidden: true})
	}
	st.conn.Frontend.SendParse(&pgproto3.Parse{Name: p.targetName, Query: p.query, ParameterOIDs: p.paramOIDs})
	st.expected = append(st.expected, expectedResponse{requestType: 'P', hidden: hidden, statement: p.targetName})
	return true
}

// appendLocal appends to out the proxy's own responses at the head of the queue.
func (st *responseQueue) appendLocal(out []byte) []byte {
	for len(st.expected) > 0 && st.expected[0].requestType == 0 {
		out = append(out, st.expected[0].encoded...)
		st.expected = st.expected[1:]
	}
	return out
}

// empty reports whether no more responses are expected.
func (st *responseQueue) empty() bool { return len(st.expected) == 0 }

// forwards removes the expected response that a message of the target completes,
// and reports whether the message is to be sent to the client.
func (st *responseQueue) forwards(msg pgproto3.BackendMessage) bool {
	var kind byte
	switch msg.(type) {
	case *pgproto3.ParseComplete:
		kind = 'P'
	case *pgproto3.BindComplete:
		kind = 'B'
	case *pgproto3.CloseComplete:
		kind = 'C'
	case *pgproto3.RowDescription, *pgproto3.NoData:
		kind = 'D'
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		kind = 'E'
	default:
		return true
	}
	if len(st.expected) == 0 || st.expected[0].requestType != kind {
		return true
	}
	hidden := st.expected[0].hidden
	st.expected = st.expected[1:]
	return !hidden
}

// abort clears the queue after an error, when the target skips the rest of the
// batch. Statements that were still to be prepared are not, and one that was
// still to be closed remains, in which case the connection is not reused.
func (st *responseQueue) abort() {
	for _, s := range st.expected {
		if s.statement != "" {
			st.conn.RemovePrepared(s.statement)
		}
		if s.requestType == 'C' && s.hidden {
			st.conn.Broken = true
		}
	}
	st.expected = nil
}
