package cwsoak

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"cicadawalk.example/cicadawalk/internal/standin/cwreplica"
)

// Kind is a promise that was broken.
type Kind string

// The promises.
const (
	// Lost is an acknowledged record that the newest primary lacks.
	Lost Kind = "lost"
	// Doubled is a record that was written twice.
	Doubled Kind = "doubled"
	// Stale is a read that missed what it had to see.
	Stale Kind = "stale"
	// Mixed is an answer that belongs to another statement.
	Mixed Kind = "mixed"
	// FalseNotRun is a record that was written though its caller was promised
	// that nothing is kept.
	FalseNotRun Kind = "falseNotRun"
	// Holders is two holders that promoted under one fence.
	Holders Kind = "holders"
	// Reverted is an instance that went back to an older desired state.
	Reverted Kind = "reverted"
	// Cut is a caller cut off in the middle of a statement by a planned stop.
	Cut Kind = "cut"
	// Revoked is a statement that ran too long after its key was taken away.
	Revoked Kind = "revoked"
	// Misbooked is a statement that a target ran for another workspace.
	Misbooked Kind = "misbooked"
	// OverQuota is a window with more operations of a workspace than allowed.
	OverQuota Kind = "overQuota"
	// Outdated is an instance without a desired state that was acknowledged long
	// enough before.
	Outdated Kind = "outdated"
	// NotRecovered is a database that is not served after all faults.
	NotRecovered Kind = "notRecovered"
)

// Violation is one promise that was broken.
type Violation struct {
	Kind Kind
	What string
}

// item is what one writer writes, in ascending numbers.
type item struct {
	group string
	// acked are the acknowledged numbers with their times; denied those of
	// which the writer was promised that nothing is kept.
	acked  []ack
	denied map[int]bool
}

type ack struct {
	at time.Time
	n  int
}

// newest returns the highest number that was acknowledged by a time.
func (i *item) newest(at time.Time) int {
	for k := len(i.acked) - 1; k >= 0; k-- {
		if !i.acked[k].at.After(at) {
			return i.acked[k].n
		}
	}
	return 0
}

// ledger keeps what callers were told.
type ledger struct {
	mu         sync.Mutex
	items      map[string]*item
	names      map[string][]string
	violations []Violation
	refused    int
	unresolved int
	reads      int
	// sent are the reads that were sent, by the id of the statement.
	sent map[string]sentRead
}

func newLedger() *ledger {
	return &ledger{items: make(map[string]*item), names: make(map[string][]string), sent: make(map[string]sentRead)}
}

func (l *ledger) fail(k Kind, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, Violation{Kind: k, What: fmt.Sprintf(format, args...)})
}

// open begins an item of a group.
func (l *ledger) open(group, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items[name] = &item{group: group, denied: make(map[int]bool)}
	l.names[group] = append(l.names[group], name)
}

// any returns some item of a group.
func (l *ledger) any(group string, pick func(n int) int) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := l.names[group]
	if len(names) == 0 {
		return "", false
	}
	return names[pick(len(names))], true
}

func (l *ledger) ack(name string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := l.items[name]
	i.acked = append(i.acked, ack{at: time.Now(), n: n})
}

func (l *ledger) deny(name string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
	l.items[name].denied[n] = true
}

func (l *ledger) doubt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresolved++
}

// floor returns what a read that begins now must see at least, if it accepts
// data of an age.
func (l *ledger) floor(name string, age time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return l.items[name].newest(time.Now().Add(-age))
}

// settle checks the logs of the groups against what callers were told.
func (l *ledger) settle(groups []*group) {
	for _, g := range groups {
		l.settleGroup(g.Group)
	}
}

func (l *ledger) settleGroup(g *cwreplica.Group) {
	seen := make(map[string]map[int]int)
	for _, writes := range g.Records() {
		for name, value := range writes {
			n, err := strconv.Atoi(value)
			if err != nil {
				l.fail(Mixed, "%s has %q", name, value)
				continue
			}
			if seen[name] == nil {
				seen[name] = make(map[int]int)
			}
			seen[name][n]++
		}
	}
	l.mu.Lock()
	items := l.items
	l.mu.Unlock()
	for name, i := range items {
		if i.group == g.Service {
			l.settleItem(name, i, seen[name])
		}
	}
	l.settleFences(g)
}

func (l *ledger) settleItem(name string, i *item, seen map[int]int) {
	for _, a := range i.acked {
		if seen[a.n] == 0 {
			l.fail(Lost, "%s %s=%d", i.group, name, a.n)
		}
	}
	for n, times := range seen {
		if times > 1 {
			l.fail(Doubled, "%s %s=%d %d times", i.group, name, n, times)
		}
		if i.denied[n] {
			l.fail(FalseNotRun, "%s %s=%d", i.group, name, n)
		}
	}
}

func (l *ledger) settleFences(g *cwreplica.Group) {
	holders := make(map[uint64]string)
	highest := uint64(0)
	for _, p := range g.Promotions() {
		if holder, ok := holders[p.Fence]; ok && holder != p.Holder {
			l.fail(Holders, "%s: %s and %s under fence %d", g.Service, holder, p.Holder, p.Fence)
		}
		if p.Fence < highest {
			l.fail(Holders, "%s: fence %d after %d", g.Service, p.Fence, highest)
		}
		holders[p.Fence], highest = p.Holder, max(highest, p.Fence)
	}
}

func (l *ledger) report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Refused: l.refused, Unresolved: l.unresolved, Reads: l.reads, Violations: l.violations}
	for _, i := range l.items {
		r.Acked += len(i.acked)
	}
	return r
}
