package cwengine

import (
	"cicadawalk.example/cicadawalk/internal/proxy/cwlead"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargets"
)

// loan is a connection that a statement or transaction has borrowed, with its
// turn while a statement is in progress on it.
type loan struct {
	place cwlead.Place
	conn  *cwtargets.Conn
	// turn is nil between the statements of a transaction.
	turn *cwtargets.Turn
}

// takeTurn waits for the turn of one more statement of a transaction.
func (l *loan) takeTurn(c cwtargets.Claim) error {
	if l.turn != nil {
		return nil
	}
	turn, err := l.place.Pool.Enter(c)
	if err != nil {
		return err
	}
	l.turn = &turn
	return nil
}

// endTurn gives the turn back. How long a refused or lost statement took says
// nothing about the target's queue.
func (l *loan) endTurn(r sent) {
	if l.turn == nil {
		return
	}
	if r.err != nil || r.answer.Code.NotRun() {
		l.turn.Drop()
	} else {
		l.turn.Done()
	}
	l.turn = nil
}

// release gives the connection back for others.
func (l *loan) release() {
	l.dropTurn()
	l.place.Pool.Release(l.conn)
}

// discard closes the connection.
func (l *loan) discard() {
	l.dropTurn()
	l.place.Pool.Discard(l.conn)
}

func (l *loan) dropTurn() {
	if l.turn != nil {
		l.turn.Drop()
		l.turn = nil
	}
}
