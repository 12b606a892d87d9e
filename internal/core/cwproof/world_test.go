package cwproof

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// world is the fakes and the time that passes for them.
type world struct {
	opts    options
	now     time.Time
	rng     *rand.Rand
	queue   events
	seq     int
	members []*member
	proxies []*proxy
	table   *table
	// cuts counts the cuts between two names, in both directions.
	cuts   map[[2]string]int
	ledger *ledger
	// promoted holds who led each term.
	promoted map[cwgroup.Term][]cwgroup.MemberID
}

// options vary a world.
type options struct {
	checksTerm, withoutTable bool
	// ackAtPrimary acknowledges as soon as the primary has the record: the way
	// that lost, kept to count what it would lose.
	ackAtPrimary bool
	// noSettle answers a request key that is found without waiting until it is
	// certain to be kept: a mutation.
	noSettle bool
	// waitReads lets reads wait for a replica.
	waitReads time.Duration
	// lag delays what replicas copy, applyLag what they show of it to reads.
	lag, applyLag time.Duration
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// epoch is when virtual time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(seed uint64, opts options) *world {
	w := &world{
		opts:     opts,
		now:      epoch,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		cuts:     make(map[[2]string]int),
		promoted: map[cwgroup.Term][]cwgroup.MemberID{1: {"m0"}},
	}
	w.ledger = &ledger{w: w, requests: make(map[int]*request)}
	w.table = &table{w: w}
	for i := range 3 {
		w.members = append(w.members, newMember(w, i))
	}
	for i := range 3 {
		w.proxies = append(w.proxies, newProxy(w, i))
	}
	return w
}

func (w *world) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, fn: fn})
}

// every calls fn again and again, for good.
func (w *world) every(d time.Duration, fn func()) {
	w.after(time.Duration(w.rng.Int64N(int64(d))), func() {
		fn()
		w.every2(d, fn)
	})
}

func (w *world) every2(d time.Duration, fn func()) {
	w.after(d, func() {
		fn()
		w.every2(d, fn)
	})
}

func (w *world) run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.fn()
	}
	w.now = until
}

// delay is one way over a link: a millisecond or two, seldom much more.
func (w *world) delay() time.Duration {
	if w.rng.IntN(500) == 0 {
		return time.Duration(w.rng.Int64N(int64(time.Second)))
	}
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(time.Millisecond)))
}

func link(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (w *world) cut(a, b string, d time.Duration) {
	w.cuts[link(a, b)]++
	w.after(d, func() { w.cuts[link(a, b)]-- })
}

// send carries a message, or drops it where the path is cut at either end of
// its way.
func (w *world) send(from, to string, fn func()) {
	if w.cuts[link(from, to)] > 0 {
		return
	}
	w.after(w.delay(), func() {
		if w.cuts[link(from, to)] == 0 {
			fn()
		}
	})
}

// process is something that can be down or paused. What is paused does
// everything later, in order.
type process struct {
	w          *world
	name       string
	down       bool
	pausedTill time.Time
}

// do runs fn in the process, when it is not paused. It is lost if the process
// is down.
func (p *process) do(fn func()) {
	if p.down {
		return
	}
	if p.w.now.Before(p.pausedTill) {
		p.w.after(p.pausedTill.Sub(p.w.now), func() { p.do(fn) })
		return
	}
	fn()
}

func (p *process) pause(d time.Duration) { p.pausedTill = p.w.now.Add(d) }

// table is the platform's table with the one row that matters here.
type table struct {
	w       *world
	row     tableRow
	version int
	down    bool
	slow    time.Duration
	lose    int
	writes  int
}

type tableRow struct {
	term   cwgroup.Term
	claim  cwgroup.ClaimID
	keeper string
	done   bool
}

// rec is a record of a log. A record with id zero starts a term. A tombstone
// keeps a request that was given up from running after all.
type rec struct {
	term      cwgroup.Term
	id        int
	tombstone bool
}

// member is a fake database.
type member struct {
	process
	index int
	log   []rec
	// took has the time at which each record came.
	took    []time.Time
	adopted cwgroup.Term
	claim   cwgroup.ClaimID
	role    cwgroup.Role
	follow  *member
	heard   time.Time
	lag     time.Duration
	// fetching counts fetches, so that an old answer is not taken.
	fetching int
}

func newMember(w *world, i int) *member {
	m := &member{process: process{w: w, name: fmt.Sprintf("m%d", i)}, index: i, adopted: 1, heard: w.now, lag: w.opts.lag}
	m.log, m.took = []rec{{term: 1}}, []time.Time{epoch}
	if i == 0 {
		m.role = cwgroup.RolePrimary
	} else {
		m.follow = w.members[0]
	}
	w.every(20*time.Millisecond, m.fetch)
	return m
}

func (m *member) id() cwgroup.MemberID { return cwgroup.MemberID(m.name) }

func (m *member) last() cwgroup.LogPosition {
	if len(m.log) == 0 {
		return cwgroup.LogPosition{}
	}
	return cwgroup.LogPosition{Term: m.log[len(m.log)-1].term, Index: cwgroup.LogIndex(len(m.log))}
}

// applied is how much of the log reads see.
func (m *member) applied() int {
	n := len(m.log)
	if m.role == cwgroup.RolePrimary {
		return n
	}
	for n > 0 && m.w.now.Sub(m.took[n-1]) < m.w.opts.applyLag {
		n--
	}
	return n
}

// append adds a record.
func (m *member) append(r rec) {
	m.log = append(m.log, r)
	m.took = append(m.took, m.w.now)
}

func (m *member) status() cwgroup.Status {
	s := cwgroup.Status{Member: m.id(), Role: m.role, AdoptedTerm: m.adopted, Claim: m.claim, Durable: m.last()}
	if n := m.applied(); n > 0 {
		s.Applied = cwgroup.LogPosition{Term: m.log[n-1].term, Index: cwgroup.LogIndex(n)}
	}
	if m.role != cwgroup.RolePrimary {
		s.UpstreamAge = m.w.now.Sub(m.heard)
	}
	return s
}

func (m *member) following() cwgroup.MemberID {
	if m.follow == nil {
		return ""
	}
	return m.follow.id()
}

func (m *member) obeys(t cwgroup.Term, c cwgroup.ClaimID) bool {
	return !m.w.opts.checksTerm || t > m.adopted || t == m.adopted && c == m.claim
}

func (m *member) adopt(t cwgroup.Term, c cwgroup.ClaimID) bool {
	if !m.obeys(t, c) {
		return false
	}
	if t != m.adopted || c != m.claim {
		m.adopted, m.claim, m.role, m.follow = t, c, cwgroup.RoleFenced, nil
	}
	m.tell()
	return true
}

func (m *member) promote(t cwgroup.Term, c cwgroup.ClaimID) bool {
	if m.w.opts.checksTerm && (t != m.adopted || c != m.claim) {
		return false
	}
	if m.role != cwgroup.RolePrimary || m.adopted != t {
		m.adopted, m.claim, m.role, m.follow = t, c, cwgroup.RolePrimary, nil
		m.append(rec{term: t})
		m.w.promoted[t] = append(m.w.promoted[t], m.id())
	}
	m.tell()
	return true
}

func (m *member) obeyFollow(t cwgroup.Term, c cwgroup.ClaimID, p *member) bool {
	if !m.obeys(t, c) || m.role == cwgroup.RolePrimary && m.adopted == t && m.w.opts.checksTerm {
		return false
	}
	m.adopted, m.claim, m.role, m.follow = t, c, cwgroup.RoleReplica, p
	m.tell()
	return true
}

// tell pushes the status to every proxy, as a feed does at each change.
func (m *member) tell() {
	for _, p := range m.w.proxies {
		p.hear(m)
	}
}

// fetch copies from the primary that the member follows.
func (m *member) fetch() {
	m.do(func() {
		p := m.follow
		if m.role != cwgroup.RoleReplica || p == nil {
			return
		}
		m.fetching++
		n, term := m.fetching, m.adopted
		mine := slices.Clone(m.log)
		m.w.send(m.name, p.name, func() {
			p.do(func() {
				if p.role != cwgroup.RolePrimary || m.w.opts.checksTerm && p.adopted != term {
					return
				}
				keep := common(p.log, mine)
				more := slices.Clone(p.log[keep:])
				m.w.send(p.name, m.name, func() {
					m.w.after(m.lag, func() { m.do(func() { m.take(n, term, p, keep, more) }) })
				})
			})
		})
	})
}

func (m *member) take(n int, term cwgroup.Term, p *member, keep int, more []rec) {
	if m.role != cwgroup.RoleReplica || m.adopted != term || m.follow != p || n < m.fetching-int(m.lag/(20*time.Millisecond))-2 {
		return
	}
	m.heard = m.w.now
	if keep > len(m.log) || keep+len(more) < len(m.log) && common(m.log, m.log[:keep]) == keep && n != m.fetching {
		return // an answer to an older question
	}
	next := append(slices.Clone(m.log[:keep]), more...)
	if slices.Equal(next, m.log) {
		return
	}
	same := common(next, m.log)
	m.log, m.took = next, m.took[:same:same]
	for len(m.took) < len(next) {
		m.took = append(m.took, m.w.now)
	}
	m.tell()
	if m.w.opts.applyLag > 0 {
		m.w.after(m.w.opts.applyLag, func() { m.do(m.tell) })
	}
}

// common returns how long the two logs agree in their terms from the end of
// the shorter one down, as in the stand-in.
func common(a, b []rec) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].term != b[n-1].term {
		n--
	}
	return n
}

// has reports whether the log has a request, and whether as a tombstone.
func (m *member) has(id int) (found, tombstone bool) { return find(m.log, id) }

func find(log []rec, id int) (found, tombstone bool) {
	for _, r := range log {
		if r.id == id {
			return true, r.tombstone
		}
	}
	return false, false
}
