package cwleadership

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// hedgeDelay is how long a read waits for an observer's answer before this instance checks
// the members as well. Reachable members answer an observer within a few milliseconds.
const hedgeDelay = 30 * time.Millisecond

// inquiry is a need for reports of members.
type inquiry struct {
	cause   CheckCause
	request cwport.MembersRequest
	// own returns the members to check if no observer has recent reports. It is called
	// with mu held.
	own func(now time.Time) []Member
	// sufficient reports whether the reports that were received meet the need. It is
	// called with mu held, with the time at which the request was sent.
	sufficient func(askedAt time.Time) bool
	// hedge is true if a caller waits for the reports.
	hedge bool
}

// obtain starts to obtain reports: from an observer of this data centre, or by own checks
// if there is no other observer. While an inquiry for the same cause is in progress, it
// begins no other one.
func (g *Group) obtain(q inquiry) {
	o, ok := g.chooseObserver()
	if !ok {
		g.checkOwn(q)
		return
	}
	g.mu.Lock()
	busy := g.inquiring[q.cause]
	g.inquiring[q.cause] = true
	g.mu.Unlock()
	switch {
	case !busy:
		go g.runInquiry(q, o)
	case q.hedge:
		g.hedgeInquiryInProgress(q)
	}
}

// hedgeInquiryInProgress checks the members after hedgeDelay unless the need is met by
// then. The inquiry in progress may have begun without a caller that waits.
func (g *Group) hedgeInquiryInProgress(q inquiry) {
	now := g.cfg.Clock.Now()
	g.cfg.Clock.AfterFunc(hedgeDelay, func() {
		g.mu.Lock()
		met := q.sufficient(now)
		g.mu.Unlock()
		if !met {
			g.checkOwn(q)
		}
	})
}

// checkOrAsk checks the given members, or asks an observer for their reports if the group
// is unsettled and another instance observes it.
func (g *Group) checkOrAsk(list []Member, cause CheckCause) {
	if len(list) == 0 {
		return
	}
	if _, ok := g.chooseObserver(); !ok || cause != CauseUnsettled {
		g.check(list, cause)
		return
	}
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	checkAll, ask := g.rounds.CheckDue(now), g.rounds.AskDue(now) && !g.inquiring[cause]
	if checkAll {
		g.rounds = g.rounds.WithCheck(now)
	} else {
		list = g.unreachableOf(list)
	}
	if ask {
		g.rounds = g.rounds.WithAsk(now, cwevidence.AskLimit(!g.heldElsewhere, g.majorityUnreachable.Load()))
	}
	g.mu.Unlock()
	g.check(list, cause)
	if ask {
		g.obtain(inquiry{
			cause: cause, own: g.withoutRecentReport,
			request:    cwport.MembersRequest{MaxAge: cwevidence.UnsettledMaxAge, Wait: cwevidence.AnswerWait},
			sufficient: func(time.Time) bool { return len(g.withoutRecentReport(g.cfg.Clock.Now())) == 0 },
		})
	}
}

// unreachableOf returns the members of the list that can't be reached. The caller holds mu.
func (g *Group) unreachableOf(list []Member) []Member {
	var out []Member
	for _, m := range list {
		if g.unreachable[m.ID] {
			out = append(out, m)
		}
	}
	return out
}

// withoutRecentReport returns the members that can be reached and have no report recent
// enough for a group without a settled primary. The caller holds mu.
func (g *Group) withoutRecentReport(now time.Time) []Member {
	var out []Member
	for id, m := range g.members {
		if !g.unreachable[id] && now.Sub(g.lastHealth[id].at) > cwevidence.UnsettledMaxAge+cwevidence.AnswerTimeout {
			out = append(out, *m)
		}
	}
	return out
}

// chooseObserver returns the observer to ask; false if this instance checks the members
// itself. The caller doesn't hold mu.
func (g *Group) chooseObserver() (cwport.Observer, bool) {
	if g.cfg.Observers == nil {
		return cwport.Observer{}, false
	}
	var near []cwport.Observer
	var candidates []cwevidence.Candidate
	for _, o := range g.cfg.Observers() {
		if !o.Remote {
			near = append(near, o)
			candidates = append(candidates, cwevidence.Candidate{Name: o.Name, Self: o.Ask == nil})
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	i, ok := g.source.Choose(candidates, g.cfg.Clock.Now())
	g.observed = ok
	if !ok {
		return cwport.Observer{}, false
	}
	return near[i], true
}

// checkOwn starts own checks for an inquiry.
func (g *Group) checkOwn(q inquiry) {
	g.mu.Lock()
	list := q.own(g.cfg.Clock.Now())
	g.mu.Unlock()
	g.check(list, q.cause)
}

// runInquiry asks observers one after the other, and checks the members itself if none has
// sufficient reports.
func (g *Group) runInquiry(q inquiry, o cwport.Observer) {
	defer g.endInquiry(q.cause)
	if q.hedge {
		t := g.cfg.Clock.AfterFunc(hedgeDelay, func() { g.checkOwn(q) })
		defer t.Stop()
	}
	for {
		outcome := g.ask(o, q)
		if outcome == cwevidence.Used {
			return
		}
		next, ok := g.chooseObserver()
		if outcome.Answered() || !ok {
			g.checkOwn(q)
			return
		}
		o = next
	}
}

func (g *Group) endInquiry(cause CheckCause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inquiring, cause)
}

// ask asks one observer and records the reports that it passes on.
func (g *Group) ask(o cwport.Observer, q inquiry) cwevidence.Outcome {
	ctx, cancel := clockwork.WithTimeout(context.Background(), g.cfg.Clock, cwevidence.AnswerTimeout)
	defer cancel()
	x := cwevidence.Exchange{RequestedAt: g.cfg.Clock.Now()}
	request := q.request
	request.Group = g.cfg.Service
	r, err := o.Ask(ctx, request)
	x.AnsweredAt, x.Held = g.cfg.Clock.Now(), r.Held
	outcome := outcomeOf(r, err)
	if outcome == cwevidence.Used {
		if err = g.recordReports(r, x); err != nil {
			outcome = cwevidence.Malformed
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if outcome == cwevidence.Used && !q.sufficient(x.RequestedAt) {
		outcome = cwevidence.TooOld
	}
	g.recordOutcome(o, outcome, err)
	return outcome
}

// recordOutcome records how a request to an observer ended. The caller holds mu.
func (g *Group) recordOutcome(o cwport.Observer, outcome cwevidence.Outcome, cause error) {
	if g.cfg.CountAnswer != nil {
		g.cfg.CountAnswer(outcome)
	}
	var changed bool
	g.source, changed = g.source.WithOutcome(o.Name, outcome, g.cfg.Clock.Now())
	switch {
	case !changed:
	case outcome.Answered():
		g.cfg.Log.Info("observerUsable", "group", g.cfg.Service, "observer", o.Name)
	default:
		g.cfg.Log.Info("observerNotUsable", "group", g.cfg.Service, "observer", o.Name, "why", outcome, "cause", cause)
	}
}

// outcomeOf returns how a request ended, before the ages of the reports are considered.
func outcomeOf(r cwport.MembersResponse, err error) cwevidence.Outcome {
	var unsupported *cwport.UnsupportedMethodError
	var invalid *cwport.InvalidAnswerError
	switch {
	case errors.As(err, &unsupported):
		return cwevidence.Unsupported
	case errors.As(err, &invalid):
		return cwevidence.Malformed
	case err != nil:
		return cwevidence.NoAnswer
	case !r.Observes:
		return cwevidence.NotObserving
	}
	return cwevidence.Used
}
