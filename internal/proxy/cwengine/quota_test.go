package cwengine

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// testMeter allows a fixed number of operations.
type testMeter struct {
	remaining atomic.Int64
	// returned has the grants that were returned, which are numbered from 1.
	returned []cwquota.Grant
	granted  cwquota.Grant
}

func (m *testMeter) Take(cwport.QuotaRequest) cwport.QuotaDecision {
	if m.remaining.Add(-1) < 0 {
		return cwport.QuotaDecision{RetryAfter: time.Second}
	}
	m.granted++
	return cwport.QuotaDecision{Allowed: true, Grant: cwport.QuotaGrant{Run: "1", Grant: m.granted}}
}

func (m *testMeter) Return(_ string, d cwport.QuotaDecision) {
	m.returned = append(m.returned, d.Grant.Grant)
}

// newMeteredCaller returns a caller of a workspace with a quota.
func newMeteredCaller(t *testing.T) (*keyedEnv, *testMeter, *testCaller) {
	env, m := newKeyedEnv(t), &testMeter{}
	m.remaining.Store(100)
	env.engine.cfg.Meter = m
	env.engine.mu.Lock()
	env.engine.access.quotas["north"] = cwcatalogue.Quota{Rate: 3}
	env.engine.mu.Unlock()
	return env, m, env.caller("n1")
}

// Checks what counts as an operation. With a quota of three operations, a transaction of
// many statements is one of them. The fourth operation is refused without having run, at
// once and with a retry delay.
func TestQuotaCountsOperations(t *testing.T) {
	env, m, s := newMeteredCaller(t)
	m.remaining.Store(3)
	assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
	for _, text := range []string{"WRITE a 1", "WRITE b 1", "WRITE c 1"} {
		assertOK(env.c, s.ask(cwstatement.Write, text))
	}
	assertOK(env.c, s.ask(cwstatement.Commit, "COMMIT"))
	assertOK(env.c, s.ask(cwstatement.Read, "READ a"))
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE a 2"))
	a := s.ask(cwstatement.Write, "WRITE a 3")
	env.c.Assert(a.Code, qt.Equals, cwstatement.Busy)
	env.c.Assert(a.Detail, qt.Matches, ".*notRun=true retryAfterMs=1000")
	env.assertNeverRan("WRITE a 3")
	assertOK(env.c, env.caller("s1").ask(cwstatement.Write, "WRITE d 1"))
}

// Guards against quota that is lost with an operation that ran nowhere, and against
// quota that is returned although the operation may have run.
func TestQuotaIsReturned(t *testing.T) {
	t.Run("transaction without statements", func(t *testing.T) {
		env, m, s := newMeteredCaller(t)
		assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
		env.c.Assert(m.returned, qt.HasLen, 0)
		assertOK(env.c, s.ask(cwstatement.Rollback, "ROLLBACK"))
		env.c.Assert(m.returned, qt.DeepEquals, []cwquota.Grant{1})
	})
	t.Run("statement without a connection", func(t *testing.T) {
		env, m, s := newMeteredCaller(t)
		other := env.caller("s1")
		assertOK(env.c, other.ask(cwstatement.Begin, "BEGIN"))
		assertOK(env.c, other.ask(cwstatement.Write, "WRITE b 1"))
		env.group.LimitConnections("a", 1)
		a := s.ask(cwstatement.Write, "WRITE a 1")
		env.c.Assert(a.Code.NoEffect(), qt.IsTrue, qt.Commentf("%v", a))
		env.assertNeverRan("WRITE a 1")
		env.c.Assert(m.returned, qt.DeepEquals, []cwquota.Grant{1})
	})
	t.Run("statement that is not prepared", func(t *testing.T) {
		env, m, s := newMeteredCaller(t)
		env.c.Assert(s.ask(cwstatement.Execute, "EXECUTE a").Code, qt.Equals, cwstatement.NotPrepared)
		env.c.Assert(m.returned, qt.DeepEquals, []cwquota.Grant{1})
	})
	t.Run("not after it ran", func(t *testing.T) {
		env, m, s := newMeteredCaller(t)
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE a 1"))
		assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE a 2"))
		assertOK(env.c, s.ask(cwstatement.Rollback, "ROLLBACK"))
		env.c.Assert(m.returned, qt.HasLen, 0)
	})
	t.Run("not after a lost answer", func(t *testing.T) {
		env, m, s := newMeteredCaller(t)
		assertOK(env.c, s.ask(cwstatement.Read, "READ a"))
		for _, id := range []cwgroup.MemberID{"a", "b", "c"} {
			env.group.LoseAnswers(id, true)
		}
		env.c.Assert(s.ask(cwstatement.Read, "READ a").Code, qt.Not(qt.Equals), cwstatement.OK)
		env.c.Assert(m.returned, qt.HasLen, 0)
	})
}

// Guards against a holder that reports a read as not run whose answer from the target
// was lost: the caller's answer alone doesn't tell the difference.
func TestHolderReportsWhatDidNotRun(t *testing.T) {
	env, _, h := newForwardingSession(t, cwcatalogue.ReadLatest)
	r := cwport.ForwardRequest{Entry: env.entry, Statement: cwstatement.Statement{Verb: cwstatement.Read, Text: "READ a"}}
	env.c.Assert(h.serve(r).NotRun, qt.IsFalse)
	for _, id := range []cwgroup.MemberID{"a", "b", "c"} {
		env.group.LoseAnswers(id, true)
	}
	v := h.serve(r)
	env.c.Assert(v.Answer.Code.NoEffect() && !v.NotRun, qt.IsTrue, qt.Commentf("%+v", v))
	h.engine.draining.Store(true)
	env.c.Assert(h.serve(r).NotRun, qt.IsTrue)
}
