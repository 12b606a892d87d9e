package cwengine

import "cicadawalk.example/cicadawalk/internal/core/cwstatement"

// begins reports whether a statement outside a transaction begins an operation.
func begins(v cwstatement.Verb) bool { return needsKey(v) && v != cwstatement.Commit }

// meter counts the operation that a statement begins against the quota of its workspace, or refuses it.
// The statements of a transaction after the first count no more, and those that
// another instance has handed over were counted there.
func (s *session) meter(st cwstatement.Statement) cwstatement.Answer {
	e := s.engine
	if e.cfg.Meter == nil || s.given != nil || s.inTransaction() || s.workspace == "" || !begins(st.Verb) {
		return cwstatement.Answer{}
	}
	q, ok := e.Quota(s.workspace)
	if !ok || !q.Limited() {
		return cwstatement.Answer{}
	}
	v := e.cfg.Meter.Take(s.workspace)
	switch {
	case v.Allowed:
		return cwstatement.Answer{}
	case v.Unknown:
		e.cfg.Metrics.QuotaUnknown.Inc()
		return cwstatement.RetryLater(cwstatement.Busy, "the quota of the workspace cannot be checked at the moment", v.RetryAfter)
	}
	e.cfg.Metrics.QuotaRefused.Inc()
	return cwstatement.RetryLater(cwstatement.Busy, "the workspace is over its quota", v.RetryAfter)
}
