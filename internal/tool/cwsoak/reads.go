package cwsoak

import (
	"slices"
	"strconv"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/standin/cwreplicaset"
)

// sentRead is a read that was sent, with what it must see.
type sentRead struct {
	group    string
	instance string
	rule     cwcatalogue.ReadConsistency
	// startedAt is when the read was sent or, inside a transaction, its BEGIN.
	startedAt time.Time
	// ackedNumber is the highest number of item that was acknowledged in the read's
	// session; zero if the read need not see it.
	item        string
	ackedNumber int
}

// recordRead records a read by the id of its statement.
func (l *ledger) recordRead(id string, r sentRead) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentReads[id] = r
}

// checkReads checks the log that each read ran on. The log must have every commit of the
// group, to any item, that was acknowledged early enough before the read was sent. The
// check includes reads whose answer was lost. It ignores commits that are not in the
// newest primary's log; checkItem reports those as lost.
func (l *ledger) checkReads(groups []*group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range groups {
		l.checkGroupReads(g)
	}
}

// survivingCommit is an acknowledged commit that is in the newest primary's log.
type survivingCommit struct {
	// at is when the commit was acknowledged.
	at time.Time
	// length is the number of records that a log must have to contain this commit and
	// all that were acknowledged before it.
	length int
}

// staleReadKey groups stale reads in reports: by the instance that sent them, the member
// that ran them, and the read rule.
type staleReadKey struct {
	instance string
	member   cwgroup.MemberID
	rule     cwcatalogue.ReadConsistency
}

// checkGroupReads checks the reads of one group. The caller holds mu.
func (l *ledger) checkGroupReads(g *group) {
	log := g.Log()
	lengths := writeLengths(log)
	commits := l.survivingCommits(g.Service, lengths)
	staleCounts := make(map[staleReadKey]int)
	firstReads := make(map[staleReadKey]string)
	for _, run := range g.ReadExecutions() {
		r, ok := l.sentReads[run.ID]
		if !ok {
			continue
		}
		age := maxAge
		if r.rule == cwcatalogue.ReadLatest {
			age = 0
		}
		required := max(requiredLength(commits, r.startedAt.Add(-age)), lengths[itemWrite{r.item, r.ackedNumber}])
		if log.CommonPrefix(run.Log) >= required {
			continue
		}
		k := staleReadKey{r.instance, run.Member, r.rule}
		if staleCounts[k]++; staleCounts[k] == 1 {
			firstReads[k] = run.ID + " sent at " + r.startedAt.Format(time.RFC3339Nano) + " has " + strconv.Itoa(log.CommonPrefix(run.Log)) + " of " + strconv.Itoa(required)
		}
	}
	for k, n := range staleCounts {
		l.violations = append(l.violations, Violation{
			Guarantee: StaleRead, Detail: strconv.Itoa(n) + " " + string(k.rule) + " reads by " + k.instance + " at " + string(k.member) + ", the first " + firstReads[k],
		})
	}
}

// itemWrite identifies one write.
type itemWrite struct {
	item string
	n    int
}

// writeLengths returns, for each write, the number of records that a log must have to
// contain it.
func writeLengths(log cwreplicaset.Log) map[itemWrite]int {
	lengths := make(map[itemWrite]int)
	for i := range log.Len() {
		for name, value := range log.Writes(i) {
			if n, ok := writtenNumber(name, value); ok {
				lengths[itemWrite{name, n}] = i + 1
			}
		}
	}
	return lengths
}

// survivingCommits returns the acknowledged commits of a group that are in the log, ordered
// by the time of their acknowledgement. The caller holds mu.
func (l *ledger) survivingCommits(service string, lengths map[itemWrite]int) []survivingCommit {
	var commits []survivingCommit
	for name, i := range l.items {
		if i.group != service {
			continue
		}
		for _, a := range i.acked {
			if length, ok := lengths[itemWrite{name, a.n}]; ok {
				commits = append(commits, survivingCommit{at: a.at, length: length})
			}
		}
	}
	slices.SortFunc(commits, func(a, b survivingCommit) int { return a.at.Compare(b.at) })
	for i := 1; i < len(commits); i++ {
		commits[i].length = max(commits[i].length, commits[i-1].length)
	}
	return commits
}

// requiredLength returns the number of records that a log must have to contain every
// commit that was acknowledged before a time.
func requiredLength(commits []survivingCommit, t time.Time) int {
	i, _ := slices.BinarySearchFunc(commits, t, func(k survivingCommit, t time.Time) int { return k.at.Compare(t) })
	if i == 0 {
		return 0
	}
	return commits[i-1].length
}
