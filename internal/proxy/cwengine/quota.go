package cwengine

import "cicadawalk.example/cicadawalk/internal/core/cwstatement"

// beginsOperation reports whether a statement outside a transaction counts as the
// beginning of an operation.
func beginsOperation(v cwstatement.Verb) bool {
	return requiresAuthorisation(v) && v != cwstatement.Commit
}

// checkQuota counts the operation that a statement begins against the quota of its
// workspace, or refuses the statement. Later statements of a transaction do not count
// again, and statements that another instance forwarded were counted there.
func (s *session) checkQuota(st cwstatement.Statement) cwstatement.Response {
	e := s.engine
	if e.cfg.Meter == nil || s.forwarded != nil || s.inTransaction() || s.workspace == "" || !beginsOperation(st.Verb) {
		return cwstatement.Response{}
	}
	q, ok := e.Quota(s.workspace)
	if !ok || !q.Limited() {
		return cwstatement.Response{}
	}
	v := e.cfg.Meter.Take(s.workspace)
	switch {
	case v.Allowed:
		return cwstatement.Response{}
	case v.Unknown:
		e.cfg.Metrics.QuotaUnknown.Inc()
		return cwstatement.RetryLater(cwstatement.Busy, "the quota of the workspace cannot be checked at the moment", v.RetryAfter)
	}
	e.cfg.Metrics.QuotaRefused.Inc()
	return cwstatement.RetryLater(cwstatement.Busy, "the workspace is over its quota", v.RetryAfter)
}
