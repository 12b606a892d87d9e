package cwsoak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"cicadawalk.example/cicadawalk/internal/standin/cwreplicaset"
)

// Guarantee is a guarantee that can be violated.
type Guarantee string

// The guarantees, each named after its violation.
const (
	// LostRecord is an acknowledged record that the newest primary does not have.
	LostRecord Guarantee = "lost"
	// DuplicateRecord is a record that was written more than once.
	DuplicateRecord Guarantee = "doubled"
	// StaleRead is a read that did not see a write which its read rule requires.
	StaleRead Guarantee = "stale"
	// MismatchedAnswer is an answer that belongs to another statement.
	MismatchedAnswer Guarantee = "mixed"
	// FalseNotRun is a record that was written although its caller was told that
	// the statement had no effect.
	FalseNotRun Guarantee = "falseNotRun"
	// ConflictingHolders is two holders that promoted with the same fence, or a fence
	// lower than an earlier one.
	ConflictingHolders Guarantee = "holders"
	// DesiredStateReverted is an instance that returned to an older desired state.
	DesiredStateReverted Guarantee = "reverted"
	// StatementInterrupted is a statement that was interrupted by a planned stop of an
	// instance.
	StatementInterrupted Guarantee = "cut"
	// RevokedKeyAccepted is a statement that ran more than KeyRevocationBound after its
	// key was revoked.
	RevokedKeyAccepted Guarantee = "revoked"
	// WrongWorkspace is a statement that a target ran for the wrong workspace.
	WrongWorkspace Guarantee = "misbooked"
	// QuotaExceeded is a window in which a workspace ran more operations than its quota
	// allows.
	QuotaExceeded Guarantee = "overQuota"
	// DesiredStateOutdated is an instance that does not have a desired state in force
	// within the time limit after the state was acknowledged.
	DesiredStateOutdated Guarantee = "outdated"
	// StopFailed is an instance that does not end within the grace period after SIGTERM,
	// or ends with an error.
	StopFailed Guarantee = "stopFailed"
	// MemoryExceeded is an instance that holds more memory than it may.
	MemoryExceeded Guarantee = "memoryExceeded"
	// CrowdedOut is a statement of an ordinary caller that was refused for the memory that others
	// hold.
	CrowdedOut Guarantee = "crowdedOut"
	// NotRecovered is a group that is not served after all faults were removed.
	NotRecovered Guarantee = "notRecovered"
)

// Violation is one violated guarantee, with a description of what was observed.
type Violation struct {
	Guarantee Guarantee
	Detail    string
}

// item is a row that one caller writes, with ascending numbers as its values.
type item struct {
	group string
	// acked are the acknowledged numbers with their times; notRun those whose caller
	// was told that the write had no effect.
	acked  []ack
	notRun map[int]bool
}

// ack is an acknowledged number and when the acknowledgement arrived.
type ack struct {
	at time.Time
	n  int
}

// newestAt returns the highest number that was acknowledged up to a time; zero if there
// is none.
func (i *item) newestAt(at time.Time) int {
	for k := len(i.acked) - 1; k >= 0; k-- {
		if !i.acked[k].at.After(at) {
			return i.acked[k].n
		}
	}
	return 0
}

// ledger records what callers were told, and the violations that were found.
type ledger struct {
	mu sync.Mutex
	// items are by name, itemNames has the names of the items of each group.
	items      map[string]*item
	itemNames  map[string][]string
	violations []Violation
	refused    int
	unresolved int
	reads      int
	// sentReads are the reads that were sent, by the id of the statement.
	sentReads map[string]sentRead
	// unanswered are the statements that got no answer.
	unanswered []unanswered
	crossed    int
}

func newLedger() *ledger {
	return &ledger{items: make(map[string]*item), itemNames: make(map[string][]string), sentReads: make(map[string]sentRead)}
}

// addViolation records a violation.
func (l *ledger) addViolation(k Guarantee, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, Violation{Guarantee: k, Detail: fmt.Sprintf(format, args...)})
}

// addItem adds an item of a group.
func (l *ledger) addItem(group, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items[name] = &item{group: group, notRun: make(map[int]bool)}
	l.itemNames[group] = append(l.itemNames[group], name)
}

// randomItem returns an item of a group, or false if there is none. pick returns an index
// below n.
func (l *ledger) randomItem(group string, pick func(n int) int) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := l.itemNames[group]
	if len(names) == 0 {
		return "", false
	}
	return names[pick(len(names))], true
}

// acknowledge records that the write of n to an item was acknowledged.
func (l *ledger) acknowledge(name string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := l.items[name]
	i.acked = append(i.acked, ack{at: time.Now(), n: n})
}

// recordNotRun records that the write of n to an item had no effect.
func (l *ledger) recordNotRun(name string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
	l.items[name].notRun[n] = true
}

// recordUnresolved counts a write with an unknown outcome.
func (l *ledger) recordUnresolved() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresolved++
}

// minVisible returns the lowest number of an item that a read which begins now may
// return, if it accepts data that is up to age old.
func (l *ledger) minVisible(name string, age time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return l.items[name].newestAt(time.Now().Add(-age))
}

// checkGroups compares the logs of the groups with what callers were told.
func (l *ledger) checkGroups(groups []*group) {
	for _, g := range groups {
		l.checkGroup(g.Group)
	}
}

// checkGroup checks the items and the promotions of one group.
func (l *ledger) checkGroup(g *cwreplicaset.Group) {
	seen := make(map[string]map[int]int)
	for _, writes := range g.Records() {
		for name, value := range writes {
			if strings.HasPrefix(name, pressItemPrefix) {
				continue
			}
			n, ok := writtenNumber(name, value)
			if !ok {
				l.addViolation(MismatchedAnswer, "item %q has value %q", name, value)
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
	for name := range seen {
		if items[name] == nil && name != probeItem {
			l.addViolation(MismatchedAnswer, "%s: no caller writes item %q", g.Service, name)
		}
	}
	for name, i := range items {
		if i.group == g.Service {
			l.checkItem(name, i, seen[name])
		}
	}
	l.checkPromotions(g)
}

// checkItem compares what callers were told about an item with the log. seen is how
// often each number was written.
func (l *ledger) checkItem(name string, i *item, seen map[int]int) {
	for _, a := range i.acked {
		if seen[a.n] == 0 {
			l.addViolation(LostRecord, "%s %q=%d", i.group, name, a.n)
		}
	}
	for n, times := range seen {
		if times > 1 {
			l.addViolation(DuplicateRecord, "%s %q=%d written %d times", i.group, name, n, times)
		}
		if i.notRun[n] {
			l.addViolation(FalseNotRun, "%s %q=%d", i.group, name, n)
		}
	}
}

// checkPromotions checks that each fence was used by one holder and that fences never
// decrease.
func (l *ledger) checkPromotions(g *cwreplicaset.Group) {
	holders := make(map[uint64]string)
	highest := uint64(0)
	for _, p := range g.Promotions() {
		if holder, ok := holders[p.FencingToken]; ok && holder != p.Holder {
			l.addViolation(ConflictingHolders, "%s: %s and %s promoted with fence %d", g.Service, holder, p.Holder, p.FencingToken)
		}
		if p.FencingToken < highest {
			l.addViolation(ConflictingHolders, "%s: promotion with fence %d after fence %d", g.Service, p.FencingToken, highest)
		}
		holders[p.FencingToken], highest = p.Holder, max(highest, p.FencingToken)
	}
}

// report returns the counts and violations so far.
func (l *ledger) report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{WithoutEffect: l.refused, Unresolved: l.unresolved, Reads: l.reads, Crossed: l.crossed, Violations: l.violations}
	for _, i := range l.items {
		r.Acknowledged += len(i.acked)
	}
	return r
}
