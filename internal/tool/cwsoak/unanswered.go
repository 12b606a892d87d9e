package cwsoak

import "time"

// maxUnreadTime is how long a statement that no target got may be without an answer
// before its connection ends: the instance may have ended without reading it.
const maxUnreadTime = 200 * time.Millisecond

// unanswered is a statement whose connection ended without a complete answer.
type unanswered struct {
	id, instance string
	// took is the time from sending it to the end of the connection, and stopping is true
	// if a planned stop of the instance was in progress or had ended.
	took     time.Duration
	stopping bool
	cause    error
}

// recordUnanswered records a statement without an answer.
func (l *ledger) recordUnanswered(u unanswered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered = append(l.unanswered, u)
}

// checkUnanswered reports each statement without an answer that an instance had read: a
// target got it, or it was under way for longer than maxUnreadTime. There must have been
// no other faults than planned stops.
func (l *ledger) checkUnanswered(groups []*group) {
	reached := make(map[string]bool)
	for _, g := range groups {
		for _, c := range g.CallerCommands() {
			reached[c.ID] = true
		}
	}
	l.mu.Lock()
	all := l.unanswered
	l.mu.Unlock()
	for _, u := range all {
		if !reached[u.id] && u.took <= maxUnreadTime {
			l.crossed++
			continue
		}
		l.addViolation(StatementInterrupted, "statement %s read by %s has no answer after %v (stopping %v, reached a target %v): %v",
			u.id, u.instance, u.took, u.stopping, reached[u.id], u.cause)
	}
}
