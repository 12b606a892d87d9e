package cwsimulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// simulation holds the simulated processes, the queue of events and the virtual time.
type simulation struct {
	options options
	now     time.Time
	rng     *rand.Rand
	queue   eventQueue
	seq     int
	// members holds the member in each of the group's three places, and all of them and
	// those that they have replaced.
	members []*member
	all     []*member
	proxies []*proxy
	table   *table
	// cuts is the number of active cuts of the path between two processes, in both
	// directions.
	cuts   map[[2]string]int
	ledger *ledger
	// promoted lists the members that became primary in each term.
	promoted map[cwgroup.Term][]cwgroup.MemberID
}

// options configures a simulation.
type options struct {
	// checksTerm makes members refuse commands of earlier terms. withoutTable allows
	// a failover without the claim in the table.
	checksTerm, withoutTable bool
	// ackAtPrimary acknowledges a write as soon as the primary has the record. This
	// is the rejected rule, kept to measure how many writes it loses.
	ackAtPrimary bool
	// skipDuplicateWait is a mutation of the code under test: a request whose key is
	// found is answered before a majority has its record.
	skipDuplicateWait bool
	// replicaWait is the longest time that a read waits for a replica. Zero means
	// that reads go to the primary instead.
	replicaWait time.Duration
	// synchronous makes a primary answer a write only once a replica has received it.
	synchronous bool
	// ackAtSynchronousReplica acknowledges a write when a synchronous primary answers it,
	// whichever replica has it. dropLeavingMembers counts only the members that are not
	// leaving, from dropGrace after their announcement on. These are the rejected rules.
	ackAtSynchronousReplica, dropLeavingMembers bool
	// quorumReads makes some reads take their floor from the members without the primary.
	quorumReads bool
	// lag delays the replication, and applyLag the visibility of replicated records
	// for reads.
	lag, applyLag time.Duration
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, opts options) *simulation {
	sim := &simulation{
		options:  opts,
		now:      epoch,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		cuts:     make(map[[2]string]int),
		promoted: map[cwgroup.Term][]cwgroup.MemberID{1: {"m0"}},
	}
	sim.ledger = &ledger{sim: sim, requests: make(map[int]*request)}
	sim.table = &table{sim: sim}
	for i := range 3 {
		sim.members = append(sim.members, newMember(sim, i))
	}
	sim.all = slices.Clone(sim.members)
	for i := range 3 {
		sim.proxies = append(sim.proxies, newProxy(sim, i))
	}
	return sim
}

func (sim *simulation) after(d time.Duration, fn func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), seq: sim.seq, fn: fn})
}

// every calls fn at the interval d until the end of the simulation, from a random time
// within the first interval on.
func (sim *simulation) every(d time.Duration, fn func()) {
	sim.after(time.Duration(sim.rng.Int64N(int64(d))), func() {
		fn()
		sim.repeat(d, fn)
	})
}

func (sim *simulation) repeat(d time.Duration, fn func()) {
	sim.after(d, func() {
		fn()
		sim.repeat(d, fn)
	})
}

func (sim *simulation) run(d time.Duration) {
	until := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(until) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.fn()
	}
	sim.now = until
}

// messageDelay returns the delay of one message: 1 to 2 ms, and for one message in 500 up
// to 1 s.
func (sim *simulation) messageDelay() time.Duration {
	if sim.rng.IntN(500) == 0 {
		return time.Duration(sim.rng.Int64N(int64(time.Second)))
	}
	return time.Millisecond + time.Duration(sim.rng.Int64N(int64(time.Millisecond)))
}

func pathBetween(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (sim *simulation) cutPath(a, b string, d time.Duration) {
	sim.cuts[pathBetween(a, b)]++
	sim.after(d, func() { sim.cuts[pathBetween(a, b)]-- })
}

// send delivers a message after a delay. It drops the message if the path is cut when it
// is sent or when it arrives.
func (sim *simulation) send(from, to string, fn func()) {
	if sim.cuts[pathBetween(from, to)] > 0 {
		return
	}
	sim.after(sim.messageDelay(), func() {
		if sim.cuts[pathBetween(from, to)] == 0 {
			fn()
		}
	})
}

// process is a simulated process that can be down or paused. A paused process handles its
// events after the pause, in order.
type process struct {
	sim        *simulation
	name       string
	down       bool
	pausedTill time.Time
}

// do runs fn in the process, after its pause if it is paused. If the process is down, fn
// is dropped.
func (p *process) do(fn func()) {
	if p.down {
		return
	}
	if p.sim.now.Before(p.pausedTill) {
		p.sim.after(p.pausedTill.Sub(p.sim.now), func() { p.do(fn) })
		return
	}
	fn()
}

func (p *process) pause(d time.Duration) { p.pausedTill = p.sim.now.Add(d) }

// table is the platform's table. It has only the row of the simulated group.
type table struct {
	sim     *simulation
	row     tableRow
	version int
	down    bool
	// slow is added to the time of each access.
	slow time.Duration
	// lostResponses is the number of further writes whose response is lost.
	lostResponses int
	writes        int
}

type tableRow struct {
	term  cwgroup.Term
	claim cwgroup.ClaimID
	owner string
	done  bool
}

// logRecord is a record of a log. A record with id zero starts a term. A tombstone
// prevents an abandoned request from being run later.
type logRecord struct {
	term      cwgroup.Term
	id        int
	tombstone bool
}

// member is a fake database.
type member struct {
	process
	// place is the member's place in the group, and its data centre.
	place int
	log   []logRecord
	// receivedAt holds the time at which each record was added to the log.
	receivedAt  []time.Time
	adopted     cwgroup.Term
	claim       cwgroup.ClaimID
	role        cwgroup.Role
	follow      *member
	lastFetched time.Time
	lag         time.Duration
	// fetchSeq is the number of fetches so far. It identifies outdated answers.
	fetchSeq int
	// deafUntil is the time until which the member receives no records.
	deafUntil time.Time
	// leaving is true once the member has announced that it leaves, and ended once it has
	// exited for good.
	leaving, ended bool
	// awaiting holds the answers of a synchronous primary that wait for a replica.
	awaiting []syncAnswer
}

// syncAnswer is the answer to a write that waits until a replica has the record.
type syncAnswer struct {
	length int
	answer func()
}

func newMember(sim *simulation, i int) *member {
	m := &member{process: process{sim: sim, name: fmt.Sprintf("m%d", i)}, place: i, adopted: 1, lastFetched: sim.now, lag: sim.options.lag}
	m.log, m.receivedAt = []logRecord{{term: 1}}, []time.Time{epoch}
	if i == 0 {
		m.role = cwgroup.RolePrimary
	} else {
		m.follow = sim.members[0]
	}
	sim.every(20*time.Millisecond, m.fetch)
	return m
}

func (m *member) id() cwgroup.MemberID { return cwgroup.MemberID(m.name) }

func (m *member) last() cwgroup.LogPosition {
	if len(m.log) == 0 {
		return cwgroup.LogPosition{}
	}
	return cwgroup.LogPosition{Term: m.log[len(m.log)-1].term, Index: cwgroup.LogIndex(len(m.log))}
}

// answerSynchronous sends the answers that wait for a replica with a log of this length.
func (m *member) answerSynchronous(length int) {
	waiting := m.awaiting
	m.awaiting = nil
	for _, a := range waiting {
		if a.length <= length && m.role == cwgroup.RolePrimary {
			a.answer()
		} else {
			m.awaiting = append(m.awaiting, a)
		}
	}
}

// applied returns the number of records that are visible to reads.
func (m *member) applied() int {
	n := len(m.log)
	if m.role == cwgroup.RolePrimary {
		return n
	}
	for n > 0 && m.sim.now.Sub(m.receivedAt[n-1]) < m.sim.options.applyLag {
		n--
	}
	return n
}

// append adds a record to the log.
func (m *member) append(r logRecord) {
	m.log = append(m.log, r)
	m.receivedAt = append(m.receivedAt, m.sim.now)
}

func (m *member) status() cwgroup.Status {
	s := cwgroup.Status{Member: m.id(), Role: m.role, AdoptedTerm: m.adopted, Claim: m.claim, Durable: m.last()}
	if n := m.applied(); n > 0 {
		s.Applied = cwgroup.LogPosition{Term: m.log[n-1].term, Index: cwgroup.LogIndex(n)}
	}
	if m.role != cwgroup.RolePrimary {
		s.UpstreamAge = m.sim.now.Sub(m.lastFetched)
	}
	return s
}

func (m *member) following() cwgroup.MemberID {
	if m.follow == nil {
		return ""
	}
	return m.follow.id()
}

func (m *member) acceptsCommand(t cwgroup.Term, c cwgroup.ClaimID) bool {
	return !m.sim.options.checksTerm || t > m.adopted || t == m.adopted && c == m.claim
}

func (m *member) adopt(t cwgroup.Term, c cwgroup.ClaimID) bool {
	if !m.acceptsCommand(t, c) {
		return false
	}
	if t != m.adopted || c != m.claim {
		m.adopted, m.claim, m.role, m.follow = t, c, cwgroup.RoleFenced, nil
	}
	m.pushStatus()
	return true
}

func (m *member) promote(t cwgroup.Term, c cwgroup.ClaimID) bool {
	if m.sim.options.checksTerm && (t != m.adopted || c != m.claim) {
		return false
	}
	if m.role != cwgroup.RolePrimary || m.adopted != t {
		m.adopted, m.claim, m.role, m.follow = t, c, cwgroup.RolePrimary, nil
		m.append(logRecord{term: t})
		m.sim.promoted[t] = append(m.sim.promoted[t], m.id())
	}
	m.pushStatus()
	return true
}

func (m *member) followPrimary(t cwgroup.Term, c cwgroup.ClaimID, p *member) bool {
	if !m.acceptsCommand(t, c) || m.role == cwgroup.RolePrimary && m.adopted == t && m.sim.options.checksTerm {
		return false
	}
	m.adopted, m.claim, m.role, m.follow = t, c, cwgroup.RoleReplica, p
	m.pushStatus()
	return true
}

// pushStatus sends the status to every proxy, as a feed does after each change.
func (m *member) pushStatus() {
	for _, p := range m.sim.proxies {
		p.receiveStatus(m)
	}
}

// fetch replicates from the primary that the member follows.
func (m *member) fetch() {
	m.do(func() {
		p := m.follow
		if m.role != cwgroup.RoleReplica || p == nil || m.sim.now.Before(m.deafUntil) {
			return
		}
		m.fetchSeq++
		n, term := m.fetchSeq, m.adopted
		mine := slices.Clone(m.log)
		m.sim.send(m.name, p.name, func() {
			p.do(func() {
				if p.role != cwgroup.RolePrimary || m.sim.options.checksTerm && p.adopted != term {
					return
				}
				keep := commonLength(p.log, mine)
				p.answerSynchronous(keep)
				more := slices.Clone(p.log[keep:])
				m.sim.send(p.name, m.name, func() {
					m.sim.after(m.lag, func() { m.do(func() { m.applyFetched(n, term, p, keep, more) }) })
				})
			})
		})
	})
}

func (m *member) applyFetched(n int, term cwgroup.Term, p *member, keep int, more []logRecord) {
	if m.role != cwgroup.RoleReplica || m.adopted != term || m.follow != p || m.sim.now.Before(m.deafUntil) || n < m.fetchSeq-int(m.lag/(20*time.Millisecond))-2 {
		return
	}
	m.lastFetched = m.sim.now
	if keep > len(m.log) || keep+len(more) < len(m.log) && commonLength(m.log, m.log[:keep]) == keep && n != m.fetchSeq {
		return // the answer to an earlier fetch
	}
	next := append(slices.Clone(m.log[:keep]), more...)
	if slices.Equal(next, m.log) {
		return
	}
	same := commonLength(next, m.log)
	m.log, m.receivedAt = next, m.receivedAt[:same:same]
	for len(m.receivedAt) < len(next) {
		m.receivedAt = append(m.receivedAt, m.sim.now)
	}
	m.pushStatus()
	if m.sim.options.applyLag > 0 {
		m.sim.after(m.sim.options.applyLag, func() { m.do(m.pushStatus) })
	}
}

// commonLength returns the length of the common prefix of two logs. It compares terms from
// the end of the shorter log backwards, as the stand-in database does.
func commonLength(a, b []logRecord) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].term != b[n-1].term {
		n--
	}
	return n
}

// has reports whether the log contains a request, and whether it is a tombstone.
func (m *member) has(id int) (found, tombstone bool) { return findRecord(m.log, id) }

func findRecord(log []logRecord, id int) (found, tombstone bool) {
	for _, r := range log {
		if r.id == id {
			return true, r.tombstone
		}
	}
	return false, false
}
