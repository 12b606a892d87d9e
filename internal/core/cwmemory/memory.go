// Package cwmemory decides who may make a process hold memory.
//
// A Budget has a limit in bytes. Each party that can make the process hold memory, for example
// the connection of a caller, has an Account in it. The account is charged before memory is taken
// for the party, and gets the bytes back once the memory is no longer referenced.
//
// An account with at most Allowance bytes is ordinary. What exceeds the allowance is its excess.
// All excesses together have half of the limit at most, so that ordinary accounts always find
// room beside large ones. These rules decide who gives way:
//
//   - A charge that keeps its account ordinary is granted while there is room below the limit.
//   - A charge that adds to an excess is granted while the excesses have room. A part of that
//     room, the headroom, is granted only to an account that would hold less than half of what
//     another one holds; the largest one has to give way then.
//   - Other charges are refused. Nothing is charged then.
//
// An account that has to give way is returned once as the victim; its owner ends what it holds.
package cwmemory

import "fmt"

// Kind is what the bytes of an account hold.
type Kind uint8

// The kinds.
const (
	// Connection is what an open connection takes by itself.
	Connection Kind = iota
	// Message is a message that is being read.
	Message
	// Session is what a session keeps until it ends: settings and prepared statements.
	Session
	// Statement is a statement in progress, in all the forms in which it is kept.
	Statement
	// Answer is an answer that has not been taken yet.
	Answer
	kindCount
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connection, Message, Session, Statement, Answer} }

// String returns the name of the kind for logs and metrics.
func (k Kind) String() string {
	return [...]string{"connection", "message", "session", "statement", "answer"}[k]
}

// Shares of a budget.
const (
	// Allowance is the number of bytes up to which an account is ordinary: an idle connection, a
	// statement of a few kilobytes in all its forms, and a few kilobytes of settings.
	Allowance = 64 << 10
	// excessDivisor is the limit divided by the greatest sum of the excesses, and
	// headroomDivisor the limit divided by the headroom.
	excessDivisor   = 2
	headroomDivisor = 8
)

// Account is what one party holds. Its fields change only through its budget. The zero value holds
// nothing.
type Account struct {
	held  [kindCount]int64
	total int64
	// givesWay is true once the account was returned as a victim.
	givesWay bool
	// fixed is true if the account never gives way.
	fixed  bool
	closed bool
}

// NewFixedAccount returns an account that never gives way, since its owner can't end what it holds.
func NewFixedAccount() *Account { return &Account{fixed: true} }

// Total returns the bytes that the account holds.
func (a *Account) Total() int64 { return a.total }

// Held returns the bytes of one kind.
func (a *Account) Held(k Kind) int64 { return a.held[k] }

func (a *Account) excess() int64 { return max(0, a.total-Allowance) }

// Budget is the memory that all parties together may hold. Make one with New.
type Budget struct {
	limit int64
	// held has the bytes of all accounts by kind, total their sum: total <= limit.
	held  [kindCount]int64
	total int64
	// excess is the sum of the excesses: excess <= limit/excessDivisor.
	excess int64
	// large has the accounts with an excess.
	large map[*Account]struct{}
}

// New returns a budget with a limit in bytes. Without a limit, zero, every charge is granted.
func New(limit int64) *Budget {
	return &Budget{limit: limit, large: make(map[*Account]struct{})}
}

// Limit returns the limit in bytes; zero if there is none.
func (b *Budget) Limit() int64 { return b.limit }

// Total returns the bytes that all accounts hold.
func (b *Budget) Total() int64 { return b.total }

// Held returns the bytes of one kind that all accounts hold.
func (b *Budget) Held(k Kind) int64 { return b.held[k] }

// ExceededError reports a charge that was refused. All figures are in bytes.
type ExceededError struct {
	Kind Kind
	// Wanted is the charge. Held is what the account held, Total what all accounts held, and
	// Limit the limit of the budget.
	Wanted, Held, Total, Limit int64
}

func (e *ExceededError) Error() string {
	return fmt.Sprintf("no memory for %d bytes beside %d of the same connection and %d of all, of at most %d", e.Wanted, e.Held, e.Total, e.Limit)
}

// Charge adds n bytes, at least 0, to an account. The error is an *ExceededError. Victim is the
// account that has to give way; nil if there is none. There can be one with and without an error.
func (b *Budget) Charge(a *Account, k Kind, n int64) (victim *Account, err error) {
	if a.closed {
		return nil, b.exceeded(a, k, n)
	}
	if victim, err = b.admit(a, k, n); err == nil {
		b.add(a, k, n)
	}
	return victim, err
}

// admit decides on a charge.
func (b *Budget) admit(a *Account, k Kind, n int64) (victim *Account, err error) {
	grow := max(0, a.total+n-Allowance) - a.excess()
	fits := b.total+n <= b.limit
	switch {
	case b.limit == 0:
		return nil, nil
	case fits && (grow == 0 || b.excess+grow <= b.limit/excessDivisor-b.limit/headroomDivisor):
		return nil, nil
	}
	victim, leaving := b.giveWay(a, n)
	if fits && leaving && b.excess+grow <= b.limit/excessDivisor {
		return victim, nil
	}
	return victim, b.exceeded(a, k, n)
}

// giveWay decides who gives way to a charge of n bytes to a. Leaving is true if accounts that hold
// more than twice what a would hold give way, and victim is the one that has to be told; nil if the
// bytes of those that were told before suffice.
func (b *Budget) giveWay(a *Account, n int64) (victim *Account, leaving bool) {
	least := 2 * (a.total + n)
	var most *Account
	var coming int64
	for o := range b.large {
		switch {
		case o == a || o.fixed || o.total <= least:
		case o.givesWay:
			coming += o.total
		case most == nil || o.total > most.total:
			most = o
		}
	}
	if coming >= n && coming > 0 || most == nil {
		return nil, coming > 0
	}
	most.givesWay = true
	return most, true
}

func (b *Budget) exceeded(a *Account, k Kind, n int64) error {
	return &ExceededError{Kind: k, Wanted: n, Held: a.total, Total: b.total, Limit: b.limit}
}

// Release returns n bytes of a kind from an account, at most those that it holds.
func (b *Budget) Release(a *Account, k Kind, n int64) { b.add(a, k, -min(n, a.held[k])) }

// Close returns all bytes of an account. Later charges to it are refused.
func (b *Budget) Close(a *Account) {
	for _, k := range Kinds() {
		b.Release(a, k, a.held[k])
	}
	a.closed = true
}

// add adds n bytes, which may be negative, to an account and to the sums.
func (b *Budget) add(a *Account, k Kind, n int64) {
	before := a.excess()
	a.held[k] += n
	a.total += n
	b.held[k] += n
	b.total += n
	b.excess += a.excess() - before
	if a.excess() > 0 {
		b.large[a] = struct{}{}
	} else {
		delete(b.large, a)
		a.givesWay = false
	}
}
