package cwfront

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/proxy/cwpool"
)

// expectedResponse is one answer that a batch leads to.
type expectedResponse struct {
	// requestType is the message that ends the step, by the type byte of its request;
	// zero for an answer that the proxy makes itself.
	requestType byte
	// hidden is true for an answer that the caller did not ask for.
	hidden bool
	// encoded is the encoded answer of the proxy's own.
	encoded []byte
	// statement is the statement that a P step prepares.
	statement string
}

// responseQueue are the answers to a batch, in order. They keep the caller's view of
// its prepared statements apart from what the connection has.
type responseQueue struct {
	conn     *cwpool.Conn
	expected []expectedResponse
}

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
)

// sendMessage queues a message at the connection and its answer here.
func (st *responseQueue) sendMessage(o batchMessage) {
	f := st.conn.Front
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
			// The text stays prepared at the target for the next caller.
			st.expected = append(st.expected, expectedResponse{encoded: closeComplete})
			return
		}
		f.SendClose(&pgproto3.Close{ObjectType: 'P', Name: o.portal})
		st.expected = append(st.expected, expectedResponse{requestType: 'C'})
	}
}

// ensurePrepared prepares a statement at the connection if it is not there yet. It
// returns false if it is.
func (st *responseQueue) ensurePrepared(p *preparedStatement, hidden bool) bool {
	if st.conn.HasPrepared(p.targetName) {
		return false
	}
	if evicted := st.conn.Remember(p.targetName); evicted != "" {
		st.conn.Front.SendClose(&pgproto3.Close{ObjectType: 'S', Name: evicted})
		st.expected = append(st.expected, expectedResponse{requestType: 'C', hidden: true})
	}
	st.conn.Front.SendParse(&pgproto3.Parse{Name: p.targetName, Query: p.query, ParameterOIDs: p.paramOIDs})
	st.expected = append(st.expected, expectedResponse{requestType: 'P', hidden: hidden, statement: p.targetName})
	return true
}

// appendLocal appends the proxy's own answers whose turn has come.
func (st *responseQueue) appendLocal(out []byte) []byte {
	for len(st.expected) > 0 && st.expected[0].requestType == 0 {
		out = append(out, st.expected[0].encoded...)
		st.expected = st.expected[1:]
	}
	return out
}

func (st *responseQueue) empty() bool { return len(st.expected) == 0 }

// forwards takes a message of the target. It returns false if the caller is not
// to see it.
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

// abort notes that the target skips the rest of the batch: what was to be
// prepared is not there, and what was to be closed still is.
func (st *responseQueue) abort() {
	for _, s := range st.expected {
		if s.statement != "" {
			st.conn.Forget(s.statement)
		}
		if s.requestType == 'C' && s.hidden {
			st.conn.Broken = true
		}
	}
	st.expected = nil
}
