package cwmemory

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const testLimit = 16 << 20

// model compares a budget with what its accounts were granted.
type model struct {
	*rapid.T
	budget   *Budget
	accounts []*Account
	granted  map[*Account]map[Kind]int64
}

func (m *model) open() {
	a := &Account{}
	if rapid.Bool().Draw(m.T, "fixed") {
		a = NewFixedAccount()
	}
	m.accounts = append(m.accounts, a)
	m.granted[a] = map[Kind]int64{}
}

func (m *model) account() *Account { return rapid.SampledFrom(m.accounts).Draw(m.T, "account") }
func (m *model) kind() Kind        { return rapid.SampledFrom(Kinds()).Draw(m.T, "kind") }

// ordinary returns the sum of what the accounts hold within their allowance.
func (m *model) ordinary() int64 {
	var n int64
	for _, a := range m.accounts {
		n += min(a.Total(), Allowance)
	}
	return n
}

func (m *model) charge() {
	a, k := m.account(), m.kind()
	n := rapid.SampledFrom([]int64{0, 1, 6 << 10, Allowance, 100 << 10, 1 << 20, 5 << 20, testLimit}).Draw(m.T, "bytes")
	before, ordinary := a.Total(), m.ordinary()
	victim, err := m.budget.Charge(a, k, n)
	if victim != nil && (victim == a || victim.fixed || victim.Total() <= 2*(before+n)) {
		m.Fatalf("an account of %d bytes gives way to one of %d", victim.Total(), before+n)
	}
	if err == nil {
		m.granted[a][k] += n
		return
	}
	if a.Total() != before {
		m.Fatal("a refused charge was counted")
	}
	if !a.closed && before+n <= Allowance && ordinary+n <= testLimit/excessDivisor {
		m.Fatalf("an ordinary charge was refused beside %d ordinary bytes", ordinary)
	}
}

func (m *model) release() {
	a, k := m.account(), m.kind()
	n := rapid.Int64Range(0, 2<<20).Draw(m.T, "bytes")
	m.budget.Release(a, k, n)
	m.granted[a][k] -= min(n, m.granted[a][k])
}

func (m *model) close() {
	a := m.account()
	m.budget.Close(a)
	clear(m.granted[a])
}

func (m *model) check() {
	var total, excess int64
	for _, a := range m.accounts {
		for _, k := range Kinds() {
			if a.Held(k) != m.granted[a][k] {
				m.Fatalf("%v: %d bytes held, %d granted", k, a.Held(k), m.granted[a][k])
			}
			total += a.Held(k)
		}
		excess += a.excess()
	}
	if total != m.budget.Total() || total > testLimit || excess > testLimit/excessDivisor {
		m.Fatalf("%d bytes are held, %d by the budget, %d of them in excess", total, m.budget.Total(), excess)
	}
}

// Guards against bytes that are held beyond the limit or lost from the account, and against
// ordinary accounts that find no room beside large ones.
func TestBudgetHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, budget: New(testLimit), granted: map[*Account]map[Kind]int64{}}
		m.open()
		t.Repeat(map[string]func(*rapid.T){
			"open":    func(t *rapid.T) { m.T = t; m.open() },
			"charge":  func(t *rapid.T) { m.T = t; m.charge() },
			"release": func(t *rapid.T) { m.T = t; m.release() },
			"close":   func(t *rapid.T) { m.T = t; m.close() },
			"":        func(t *rapid.T) { m.T = t; m.check() },
		})
	})
}

// Guards against a party that keeps the room of large requests for itself.
func TestLargestAccountGivesWay(t *testing.T) {
	c := qt.New(t)
	b := New(testLimit)
	large, small := &Account{}, &Account{}
	for {
		victim, err := b.Charge(large, Session, 1<<20)
		c.Assert(victim, qt.IsNil)
		if err != nil {
			c.Assert(err, qt.ErrorAs, new(*ExceededError))
			break
		}
	}
	victim, err := b.Charge(small, Statement, 1<<20)
	c.Assert(err, qt.IsNil)
	c.Assert(victim, qt.Equals, large)
	victim, err = b.Charge(small, Statement, 1<<19)
	c.Assert(err, qt.IsNil)
	c.Assert(victim, qt.IsNil, qt.Commentf("the first one was told already"))
	b.Close(large)
	c.Assert(b.Total(), qt.Equals, small.Total())
}

// Guards against a limit of zero that refuses everything.
func TestBudgetWithoutLimit(t *testing.T) {
	_, err := New(0).Charge(&Account{}, Message, 1<<40)
	qt.Assert(t, err, qt.IsNil)
}
