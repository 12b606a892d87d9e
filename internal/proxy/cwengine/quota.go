package cwengine

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// quotaWaitPart is the part of the time left until the aim of an operation that it may
// wait for quota. The rest is left for running it.
const quotaWaitPart = 2

// beginsOperation reports whether a statement outside a transaction counts as the
// beginning of an operation.
func beginsOperation(v cwstatement.Verb) bool {
	return requiresAuthorisation(v) && v != cwstatement.Commit
}

// operation is the quota that a session's current operation has used.
type operation struct {
	// quota is the decision that allowed it; it has no grant if there is nothing to
	// return.
	quota cwport.QuotaDecision
	// mayHaveRun is true once a statement of it may have run at a target.
	mayHaveRun bool
}

// checkQuota counts the operation that a statement begins against the quota of its
// workspace, or refuses the statement. Later statements of a transaction do not count
// again, and statements that another instance forwarded were counted there.
func (s *session) checkQuota(st cwstatement.Statement, began time.Time) cwstatement.Response {
	if s.forwarded != nil || s.inTransaction() || !beginsOperation(st.Verb) {
		return cwstatement.Response{}
	}
	e := s.engine
	s.operation = operation{}
	if e.cfg.Meter == nil || s.workspace == "" {
		return cwstatement.Response{}
	}
	q, ok := e.Quota(s.workspace)
	if !ok || !q.Limited() {
		return cwstatement.Response{}
	}
	v := e.cfg.Meter.Take(s.quotaRequest(began))
	switch {
	case v.Allowed:
		s.operation.quota = v
		return cwstatement.Response{}
	case v.Unknown:
		e.cfg.Metrics.QuotaUnknown.Inc()
		return cwstatement.RetryLater(cwstatement.Busy, "the quota of the workspace cannot be checked at the moment", v.RetryAfter)
	}
	e.cfg.Metrics.QuotaRefused.Inc()
	return cwstatement.RetryLater(cwstatement.Busy, "the workspace is over its quota", v.RetryAfter)
}

// quotaRequest returns the request for an operation whose first statement arrived at
// began.
func (s *session) quotaRequest(began time.Time) cwport.QuotaRequest {
	r := cwport.QuotaRequest{Workspace: s.workspace}
	if entry, ok := s.resolveEntry(); ok {
		l := newLimits(entry.Contract, began)
		r.Priority = l.priority
		r.MaxWait = max(0, l.startBy.Sub(s.engine.cfg.Clock.Now())/quotaWaitPart)
	}
	return r
}

// recordExchange records whether a command of the current operation may have run. The
// beginning of a transaction alone runs nothing.
func (s *session) recordExchange(v cwstatement.Verb, r exchangeResult) {
	switch {
	case v == cwstatement.Begin || v == cwstatement.BeginRead || r.err != nil && r.notSent || r.err == nil && r.answer.Code.NotRun():
		return
	}
	s.operation.mayHaveRun = true
}

// returnQuota gives back the quota of the current operation if the operation is over and
// no statement of it has run.
func (s *session) returnQuota() {
	v := s.operation.quota
	open := s.inTransaction() && !(s.tx != nil && s.tx.failed)
	switch {
	case v.Grant == (cwport.QuotaGrant{}) || open && !s.operation.mayHaveRun:
		return
	case !s.operation.mayHaveRun:
		s.engine.cfg.Meter.Return(s.workspace, v)
	}
	s.operation.quota = cwport.QuotaDecision{}
}
