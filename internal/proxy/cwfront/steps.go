package cwfront

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/proxy/cwpool"
)

// step is one answer that a batch leads to.
type step struct {
	// kind is the message that ends the step, by the type byte of its request;
	// zero for an answer that the proxy makes itself.
	kind byte
	// swallow is true for an answer that the caller did not ask for.
	swallow bool
	// made is the encoded answer of the proxy's own.
	made []byte
	// parses is the statement that a P step prepares.
	parses string
}

// steps are the answers to a batch, in order. They keep the caller's view of
// its prepared statements apart from what the connection has.
type steps struct {
	conn  *cwpool.Conn
	queue []step
}

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
)

// send queues a message at the connection and its answer here.
func (st *steps) send(o op) {
	f := st.conn.Front
	switch o.kind {
	case 'P':
		if !st.ensure(o.prep, false) {
			st.queue = append(st.queue, step{made: parseComplete})
		}
	case 'B':
		st.ensure(o.prep, true)
		o.bind.PreparedStatement = o.prep.name
		f.SendBind(o.bind)
		st.queue = append(st.queue, step{kind: 'B'})
	case 'D':
		if o.object == 'S' {
			st.ensure(o.prep, true)
			f.SendDescribe(&pgproto3.Describe{ObjectType: 'S', Name: o.prep.name})
		} else {
			f.SendDescribe(&pgproto3.Describe{ObjectType: 'P', Name: o.portal})
		}
		st.queue = append(st.queue, step{kind: 'D'})
	case 'E':
		f.SendExecute(&pgproto3.Execute{Portal: o.portal, MaxRows: o.rows})
		st.queue = append(st.queue, step{kind: 'E'})
	case 'C':
		if o.object == 'S' {
			// The text stays prepared at the target for the next caller.
			st.queue = append(st.queue, step{made: closeComplete})
			return
		}
		f.SendClose(&pgproto3.Close{ObjectType: 'P', Name: o.portal})
		st.queue = append(st.queue, step{kind: 'C'})
	}
}

// ensure prepares a statement at the connection if it is not there yet. It
// returns false if it is.
func (st *steps) ensure(p *prepared, swallow bool) bool {
	if st.conn.HasPrepared(p.name) {
		return false
	}
	if evicted := st.conn.Remember(p.name); evicted != "" {
		st.conn.Front.SendClose(&pgproto3.Close{ObjectType: 'S', Name: evicted})
		st.queue = append(st.queue, step{kind: 'C', swallow: true})
	}
	st.conn.Front.SendParse(&pgproto3.Parse{Name: p.name, Query: p.query, ParameterOIDs: p.oids})
	st.queue = append(st.queue, step{kind: 'P', swallow: swallow, parses: p.name})
	return true
}

// synthesized appends the proxy's own answers whose turn has come.
func (st *steps) synthesized(out []byte) []byte {
	for len(st.queue) > 0 && st.queue[0].kind == 0 {
		out = append(out, st.queue[0].made...)
		st.queue = st.queue[1:]
	}
	return out
}

func (st *steps) done() bool { return len(st.queue) == 0 }

// accept takes a message of the target. It returns false if the caller is not
// to see it.
func (st *steps) accept(msg pgproto3.BackendMessage) bool {
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
	if len(st.queue) == 0 || st.queue[0].kind != kind {
		return true
	}
	swallow := st.queue[0].swallow
	st.queue = st.queue[1:]
	return !swallow
}

// fail notes that the target skips the rest of the batch: what was to be
// prepared is not there, and what was to be closed still is.
func (st *steps) fail() {
	for _, s := range st.queue {
		if s.parses != "" {
			st.conn.Forget(s.parses)
		}
		if s.kind == 'C' && s.swallow {
			st.conn.Broken = true
		}
	}
	st.queue = nil
}
