package cwengine

import (
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargetpool"
)

// connLease is a connection that a statement or transaction has taken from the pool.
// While a statement runs on it, it also has the statement's turn in the target's
// queue.
type connLease struct {
	place cwleadership.Placement
	conn  *cwtargetpool.Conn
	// turn is nil between two statements of a transaction.
	turn *cwtargetpool.Admission
}

// takeTurn waits in the target's queue for the turn of another statement of a
// transaction. The error is a *cwtargetpool.OverloadedError if the turn cannot come in time.
func (l *connLease) takeTurn(c cwtargetpool.Urgency) error {
	if l.turn != nil {
		return nil
	}
	turn, err := l.place.Pool.Admit(c)
	if err != nil {
		return err
	}
	l.turn = &turn
	return nil
}

// endTurn returns the turn after a statement. The duration of a refused statement, or
// of one without an answer, says nothing about the target's queue and is not
// measured.
func (l *connLease) endTurn(r exchangeResult) {
	if l.turn == nil {
		return
	}
	if r.err != nil || r.answer.Code.NotRun() {
		l.turn.DoneUnmeasured()
	} else {
		l.turn.Done()
	}
	l.turn = nil
}

// release returns the connection to the pool.
func (l *connLease) release() {
	l.dropTurn()
	l.place.Pool.Release(l.conn)
}

// discard closes the connection.
func (l *connLease) discard() {
	l.dropTurn()
	l.place.Pool.Discard(l.conn)
}

func (l *connLease) dropTurn() {
	if l.turn != nil {
		l.turn.DoneUnmeasured()
		l.turn = nil
	}
}
