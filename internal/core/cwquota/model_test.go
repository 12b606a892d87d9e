package cwquota

import (
	"math/rand/v2"
	"slices"
	"strconv"
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

// modelIssuer is an issuer with its attempt to get a lease.
type modelIssuer struct {
	shard *Shard
	// rank is according to the issuer's list, which last changed at changedAt. It changes
	// by turn at turnAt, if that is not zero.
	rank      int
	changedAt time.Time
	turnAt    time.Time
	attempt   Attempt
	// stage is the next step of the attempt, which is due at stageAt; 0 if there is none.
	stage   int
	stageAt time.Time
	written bool
	lost    bool
	watch   Watch
	// readAt is when the rows are read after the start; zero once that is done.
	readAt time.Time
	killed bool
}

// modelGrant is an operation that runs at a time, unless it is returned.
type modelGrant struct {
	issuer   *modelIssuer
	grant    Grant
	at       time.Time
	returned bool
}

// model plays the issuers of one workspace and the store's row.
type model struct {
	*rapid.T
	rand   *rand.Rand
	now    time.Time
	params Params
	row    Record
	writes int
	// shards has the issuers of each shard: the current one, and one before it that
	// doesn't know yet that it lost the shard, until overlapUntil.
	shards       [][]*modelIssuer
	all          []*modelIssuer
	replaceAfter []time.Time
	overlapUntil []time.Time
	grants       []*modelGrant
	// pause is the longest pause between two events. The store is away until awayUntil.
	pause     time.Duration
	awayUntil time.Time
	// turns is the number of changes of the ranks; the next one comes after turnAfter.
	turns     int
	turnAfter time.Time
}

// draw returns a random number from least to most. The generators of rapid prefer small
// numbers, with which issuers hardly get to window mode, so only the seed is theirs.
func (m *model) draw(least, most int) int { return least + m.rand.IntN(most-least+1) }

func (m *model) drawTime(most time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(most)))
}

func (m *model) setRow(active bool) {
	m.writes++
	m.row = Record{Active: active, Version: strconv.Itoa(m.writes)}
}

func (m *model) add(shard int, t Tenure) *modelIssuer {
	i := &modelIssuer{rank: (shard + m.turns) % len(m.shards), changedAt: t.since}
	i.shard = NewShard(m.paramsOf(i), t)
	m.all = append(m.all, i)
	m.shards[shard] = append(m.shards[shard], i)
	return i
}

// paramsOf returns the parameters of an issuer, whose list has not changed since it
// began.
func (m *model) paramsOf(i *modelIssuer) Params {
	return m.params.ForRank(Listing{Complete: true, Rank: i.rank, ChangedAt: i.changedAt}, start, m.now)
}

// turn changes the ranks of all issuers, which learn of it within one window.
func (m *model) turn() {
	m.turns++
	m.turnAfter = m.now.Add(rule.Window)
	for _, i := range m.all {
		i.turnAt = m.now.Add(m.drawTime(rule.Window))
	}
}

// restart kills the issuer of a shard and starts another one in its place. The rows are
// read later, or never if the store is away. A write in progress may still arrive.
func (m *model) restart(shard int) {
	for _, i := range m.shards[shard] {
		i.killed = true
	}
	m.shards[shard] = nil
	i := m.add(shard, RestartTenure(m.now, rule.Window, true))
	if m.draw(0, 4) > 0 {
		i.readAt = m.now.Add(m.drawTime(2 * time.Second))
	}
	m.replaceAfter[shard] = m.now.Add(rule.Window + MaxDelay(rule.Window))
}

// move gives a shard to another instance. The previous issuer learns of it within one
// window.
func (m *model) move(shard int) {
	m.add(shard, GainedTenure(m.now, rule.Window))
	m.overlapUntil[shard] = m.now.Add(m.drawTime(rule.Window))
	m.replaceAfter[shard] = m.now.Add(2*rule.Window + MaxDelay(rule.Window))
}

// step carries out what is due at an issuer: the read of the rows, and the steps of its
// attempt.
func (m *model) step(i *modelIssuer) {
	if !i.killed && !i.readAt.IsZero() && !m.now.Before(i.readAt) {
		i.readAt = time.Time{}
		if !m.row.Active {
			i.shard.PredecessorInactive()
		}
	}
	if !i.turnAt.IsZero() && !m.now.Before(i.turnAt) {
		i.rank, i.changedAt, i.turnAt = (i.rank+1)%len(m.shards), i.turnAt, time.Time{}
	}
	for i.stage > 0 && !m.now.Before(i.stageAt) {
		m.stepAttempt(i)
	}
}

// stepAttempt carries out one step of an attempt: the read, the write, and the read
// after a write that was refused or whose answer was lost.
func (m *model) stepAttempt(i *modelIssuer) {
	next := i.stageAt.Add(m.drawTime(time.Second))
	if m.now.Before(m.awayUntil) {
		i.stage = 0
		return
	}
	switch i.stage {
	case 1:
		i.attempt.Read, i.attempt.SentAt = m.row, next
	case 2:
		i.lost = m.draw(0, 3) == 0
		i.written = m.row.Version == i.attempt.Read.Version && (!i.lost || m.draw(0, 1) == 0)
		if i.written {
			m.setRow(true)
		}
	case 3:
		if !i.killed && i.written && !i.lost {
			i.shard.Lease(i.attempt.LeaseIfWritten())
		} else if until, ok := i.attempt.LeaseIfRead(m.row); ok && !i.killed {
			i.shard.Lease(until)
		}
		i.stage = -1
	}
	i.stage, i.stageAt = i.stage+1, next
}

// clear watches the row as an issuer does, and clears it when that is permitted.
func (m *model) clear(i *modelIssuer) {
	switch {
	case i.killed || !m.row.Active || m.now.Before(m.awayUntil):
	case i.watch.Version != m.row.Version:
		i.watch = Watch{Version: m.row.Version, SeenAt: m.now}
	case !m.now.Before(i.watch.ClearAt(rule.Window, true)):
		m.setRow(false)
	}
}

// request requests up to n tokens from an issuer.
func (m *model) request(i *modelIssuer, n int) {
	wait := m.drawTime(2 * MaxDelay(rule.Window))
	priority := m.draw(0, 2)
	i.shard.SetParams(m.paramsOf(i), m.now)
	for range n {
		d := i.shard.Take(Request{Priority: priority, MaxWait: wait}, m.now)
		if !d.Allowed {
			break
		}
		if d.Delay > wait {
			m.Fatalf("delay of %v, at most %v requested", d.Delay, wait)
		}
		m.grants = append(m.grants, &modelGrant{issuer: i, grant: d.Grant, at: m.now.Add(d.Delay)})
	}
	if i.stage == 0 && i.shard.WantsLease(m.now) {
		i.attempt, i.stage, i.stageAt = Attempt{ReadAt: m.now}, 1, m.now.Add(m.drawTime(time.Second))
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
// is killed at most once per window and delay, or loses its shard to another instance
// and goes on for up to a window. Issuers use window mode under the record in the store,
// whose answers are late or lost; the store is away at some starts. Callers take tokens
// from any shard that they reach, return some, and the quota is lowered.
func TestShardsStayWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, now: start, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
		n := m.draw(1, 6)
		most := []int{20, 300}[m.draw(0, 1)]
		q := cwcatalogue.Quota{Rate: float64(m.draw(0, most)), Burst: float64(m.draw(0, most))}
		m.params, m.shards = ParamsFor(q, rule, n), make([][]*modelIssuer, n)
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
		m.now = m.now.Add(m.drawTime(2 * Lease))
	}
	for _, i := range m.all {
		m.step(i)
	}
	shard := m.draw(0, len(m.shards)-1)
	if issuers := m.shards[shard]; len(issuers) > 1 && !m.now.Before(m.overlapUntil[shard]) {
		issuers[0].killed = true
		m.shards[shard] = issuers[1:]
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
	case event == 4:
		m.awayUntil = m.now.Add(m.drawTime(2 * Lease))
	case event == 5 && m.now.After(m.turnAfter):
		m.turn()
	}
	m.clear(m.all[m.draw(0, len(m.all)-1)])
	for _, i := range m.shards[shard] {
		m.request(i, m.draw(0, 400))
	}
}
