package cwengine

import (
	"errors"
	"os"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwoutlier"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// recordOverdue records that a member has not answered a statement sent at sentAt within
// suspectAfter.
func (t *task) recordOverdue(l *connLease, sentAt time.Time) {
	t.group.RecordOverdue(l.place.Member, sentAt)
	t.group.RecordResult(l.place.ID, cwoutlier.Result{Outcome: cwoutlier.Missing, SentAt: sentAt})
}

// recordResult records how well a member served a statement. overdue is true if
// recordOverdue was called for it.
func (t *task) recordResult(l *connLease, w work, r exchangeResult, overdue bool) {
	took := t.session.engine.cfg.Clock.Since(r.sentAt)
	result := cwoutlier.Result{SentAt: r.sentAt}
	switch {
	case r.notSent:
		return
	case r.err == nil && r.answer.Code == cwstatement.OK:
		result.Outcome, result.Took = cwoutlier.Served, measured(w, took)
		if overdue {
			result.MissingFor = max(1, took-suspectAfter)
		}
		if !w.writes && result.Took > 0 {
			result.Room = t.limits.due.Sub(r.sentAt)
		}
	case overdue:
		// Counted already.
		return
	case r.err != nil && errors.Is(r.err, os.ErrDeadlineExceeded), r.err == nil && r.answer.Code == cwstatement.TimedOut:
		result.Outcome = cwoutlier.Missing
	case r.err != nil, !w.writes && failsAtMember(r.answer.Code):
		result.Outcome = cwoutlier.Failed
	default:
		return
	}
	t.group.RecordResult(l.place.ID, result)
}

// failsAtMember reports whether a code can show a fault of the member that answers a
// read with it. Refusals of statements that did not run depend on load and on the state
// of replication; errors of writes depend on what callers write.
func failsAtMember(c cwstatement.Code) bool {
	return c == cwstatement.RunFailed || c == cwstatement.UnrecognisedCode
}

// measured returns the time of a statement; zero if its verb says nothing about how fast
// the member runs statements.
func measured(w work, took time.Duration) time.Duration {
	switch w.command.Verb {
	case cwstatement.Read, cwstatement.Write, cwstatement.Execute:
		return max(1, took)
	}
	return 0
}
