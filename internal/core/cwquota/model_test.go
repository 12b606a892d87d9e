package cwquota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
)

var (
	start = time.Unix(1000, 0)
	rule  = cwcatalogue.QuotaTolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
)

// modelSteps is the number of steps of one play of the model.
const modelSteps = 400

// allowed returns the number of operations that the rule allows in one window.
func allowed(q cwcatalogue.Quota) float64 {
	return (q.Rate*rule.Window.Seconds()+q.Burst)*(1+rule.Overage) + rule.Slack
}

// modelIssuer is an issuer.
type modelIssuer struct {
	shard  *Shard
	killed bool
	// place is the last place that was given to an operation of priority placed.
	place  int64
	placed int
}

// modelGrant is an operation that runs at a time, unless it is returned.
type modelGrant struct {
	issuer   *modelIssuer
	grant    Grant
	at       time.Time
	returned bool
}

// model plays the issuers of one workspace.
type model struct {
	*rapid.T
	rand   *rand.Rand
	now    time.Time
	params Params
	// shards has the issuers of each shard: the current one, and one before it that
	// doesn't know yet that it lost the shard, until overlapUntil.
	shards [][]*modelIssuer
	// former are the last issuers that lost each shard and still run; nil if there is none.
	former       []*modelIssuer
	replaceAfter []time.Time
	overlapUntil []time.Time
	grants       []*modelGrant
	// pause is the longest pause between two events.
	pause time.Duration
}

// draw returns a random number from least to most. The generators of rapid prefer small
// numbers, with which buckets hardly become empty, so only the seed is theirs.
func (m *model) draw(least, most int) int { return least + m.rand.IntN(most-least+1) }

func (m *model) drawTime(most time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(most)))
}

func (m *model) add(shard int, t Tenure) {
	m.shards[shard] = append(m.shards[shard], &modelIssuer{shard: NewShard(m.params, t)})
}

// restart kills the issuer of a shard and starts another one in its place.
func (m *model) restart(shard int) {
	for _, i := range m.shards[shard] {
		i.killed = true
	}
	m.shards[shard], m.former[shard] = nil, nil
	m.add(shard, RestartTenure(m.now))
	m.replaceAfter[shard] = m.now.Add(rule.Window)
}

// move gives a shard to another instance, which may have kept it before. The previous issuer learns of it within one
// window.
func (m *model) move(shard int) {
	t := GainedTenure(m.now, rule.Window)
	if i := m.former[shard]; i != nil && m.draw(0, 1) == 0 {
		i.shard.Gain(t, m.now)
		m.shards[shard], m.former[shard] = append(m.shards[shard], i), nil
	} else {
		m.add(shard, t)
	}
	m.overlapUntil[shard] = m.now.Add(m.drawTime(rule.Window))
	m.replaceAfter[shard] = m.now.Add(2 * rule.Window)
}

// request requests up to n tokens from an issuer, some with the last place that it gave.
func (m *model) request(i *modelIssuer, n int) {
	wait := m.drawTime(time.Second)
	r := Request{Priority: m.draw(0, 2), MaxWait: wait}
	i.shard.SetParams(m.params, m.now)
	if m.draw(0, 1) == 0 {
		r.Priority, r.Place = i.placed, i.place
	}
	for range n {
		d := i.shard.Take(r, m.now)
		if !d.Allowed {
			if d.Place != 0 && d.RetryAfter > wait {
				m.Fatalf("place after %v, at most %v requested", d.RetryAfter, wait)
			}
			i.place, i.placed = d.Place, r.Priority
			break
		}
		m.grants = append(m.grants, &modelGrant{issuer: i, grant: d.Grant, at: m.now})
	}
}

// refund returns some of the last grants, each of them twice.
func (m *model) refund() {
	for range m.draw(0, 20) {
		if len(m.grants) == 0 {
			return
		}
		g := m.grants[len(m.grants)-1-m.draw(0, min(len(m.grants), 100)-1)]
		if g.issuer.killed {
			// The issuer's run has ended, and its successor ignores the grant.
			continue
		}
		before := g.returned
		if accepted := g.issuer.shard.Return(g.grant, m.now); accepted && before {
			m.Fatalf("a grant was returned twice")
		} else if accepted {
			g.returned = true
		}
	}
}

// greatestInWindow returns the greatest number of operations that ran in any time span of
// the window's length.
func (m *model) greatestInWindow() int {
	var ran []time.Time
	for _, g := range m.grants {
		if !g.returned {
			ran = append(ran, g.at)
		}
	}
	slices.SortFunc(ran, time.Time.Compare)
	greatest, first := 0, 0
	for i, at := range ran {
		for at.Sub(ran[first]) > rule.Window {
			first++
		}
		greatest = max(greatest, i-first+1)
	}
	return greatest
}

// Guards against a workspace that gets more than its quota in some window. Each issuer
// is killed at most once per window, or loses its shard to another instance and goes on
// for up to a window. Callers take tokens from any shard that they reach, return some,
// come back for the tokens that are kept for them, and the quota is lowered.
func TestShardsStayWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, now: start, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
		n := m.draw(1, 6)
		most := []int{20, 300}[m.draw(0, 1)]
		q := cwcatalogue.Quota{Rate: float64(m.draw(0, most)), Burst: float64(m.draw(0, most))}
		m.params, m.shards = ParamsFor(q, rule, n), make([][]*modelIssuer, n)
		m.former = make([]*modelIssuer, n)
		m.replaceAfter, m.overlapUntil = make([]time.Time, n), make([]time.Time, n)
		m.pause = []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}[m.draw(0, 1)]
		for i := range n {
			m.add(i, FirstTenure(start))
		}
		for range modelSteps {
			m.play(q)
		}
		if got, want := m.greatestInWindow(), allowed(q); float64(got) > want+1e-6 {
			t.Fatalf("%d tokens issued in one window, %.1f allowed", got, want)
		}
	})
}

// play advances the time and carries out one event at one shard.
func (m *model) play(q cwcatalogue.Quota) {
	m.now = m.now.Add(m.drawTime(m.pause))
	if m.draw(0, 99) == 0 {
		m.now = m.now.Add(m.drawTime(20 * time.Second))
	}
	shard := m.draw(0, len(m.shards)-1)
	if issuers := m.shards[shard]; len(issuers) > 1 && !m.now.Before(m.overlapUntil[shard]) {
		m.former[shard], m.shards[shard] = issuers[0], issuers[1:]
	}
	event := m.draw(0, 29)
	replaceable := m.now.After(m.replaceAfter[shard])
	switch {
	case event == 0 && replaceable:
		m.restart(shard)
	case event == 1 && replaceable:
		m.move(shard)
	case event == 2:
		m.refund()
	case event == 3:
		lower := cwcatalogue.Quota{Rate: q.Rate * float64(m.draw(0, 10)) / 10, Burst: q.Burst}
		m.params = ParamsFor(lower, rule, len(m.shards))
	}
	for _, i := range m.shards[shard] {
		m.request(i, m.draw(0, 400))
	}
}
