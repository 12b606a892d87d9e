package cwsoak

import (
	"slices"
	"strconv"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/standin/cwreplica"
)

// sentRead is what a read must see.
type sentRead struct {
	group    string
	instance string
	rule     cwcatalogue.ReadRule
	// began is when it was sent, or its transaction.
	began time.Time
	// wrote is the highest number of item that its session had acknowledged; zero
	// if that need not be seen.
	item  string
	wrote int
}

func (l *ledger) noteRead(id string, r sentRead) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = r
}

// checkReads checks the log that each read ran on: it must have every commit of the
// group, whatever its item, that was acknowledged early enough before the read was
// sent. Whether its answer arrived is all the same. Commits that were rolled back do
// not count; that they are lost shows elsewhere.
func (l *ledger) checkReads(groups []*group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range groups {
		l.checkReadsOf(g)
	}
}

// kept is a commit that was acknowledged and is in the log.
type kept struct {
	at time.Time
	// length is how long a log must be to have it and all acknowledged before it.
	length int
}

// lackingReads counts the reads that lacked something, by where they ran.
type lackingReads struct {
	instance string
	member   cwgroup.MemberID
	rule     cwcatalogue.ReadRule
}

func (l *ledger) checkReadsOf(g *group) {
	log := g.Log()
	places := placesOf(log)
	all := l.keptOf(g.Service, places)
	lacking := make(map[lackingReads]int)
	first := make(map[lackingReads]string)
	for _, run := range g.Reads() {
		r, ok := l.sent[run.ID]
		if !ok {
			continue
		}
		age := maxAge
		if r.rule == cwcatalogue.ReadNewest {
			age = 0
		}
		needs := max(lengthBefore(all, r.began.Add(-age)), places[itemNumber{r.item, r.wrote}])
		if log.Common(run.Log) >= needs {
			continue
		}
		k := lackingReads{r.instance, run.Member, r.rule}
		if lacking[k]++; lacking[k] == 1 {
			first[k] = run.ID + " sent at " + r.began.Format(time.RFC3339Nano) + " has " + strconv.Itoa(log.Common(run.Log)) + " of " + strconv.Itoa(needs)
		}
	}
	for k, n := range lacking {
		l.violations = append(l.violations, Violation{
			Kind: Stale, What: strconv.Itoa(n) + " " + string(k.rule) + " reads by " + k.instance + " at " + string(k.member) + ", the first " + first[k],
		})
	}
}

// itemNumber is one write.
type itemNumber struct {
	item string
	n    int
}

// placesOf returns how long a log must be to have each write.
func placesOf(log cwreplica.Log) map[itemNumber]int {
	places := make(map[itemNumber]int)
	for i := range log.Len() {
		for name, value := range log.Writes(i) {
			if n, err := strconv.Atoi(value); err == nil {
				places[itemNumber{name, n}] = i + 1
			}
		}
	}
	return places
}

// keptOf returns the commits of a group that were acknowledged and are in the log, by
// the time of that. The caller holds mu.
func (l *ledger) keptOf(service string, places map[itemNumber]int) []kept {
	var all []kept
	for name, i := range l.items {
		if i.group != service {
			continue
		}
		for _, a := range i.acked {
			if length, ok := places[itemNumber{name, a.n}]; ok {
				all = append(all, kept{at: a.at, length: length})
			}
		}
	}
	slices.SortFunc(all, func(a, b kept) int { return a.at.Compare(b.at) })
	for i := 1; i < len(all); i++ {
		all[i].length = max(all[i].length, all[i-1].length)
	}
	return all
}

// lengthBefore returns how long a log must be to have all that was acknowledged before
// a time.
func lengthBefore(all []kept, t time.Time) int {
	i, _ := slices.BinarySearchFunc(all, t, func(k kept, t time.Time) int { return k.at.Compare(t) })
	if i == 0 {
		return 0
	}
	return all[i-1].length
}
