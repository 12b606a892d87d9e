package cwlimit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// memberPool is the admission of one holder at one member, with its connections.
type memberPool struct {
	AdmissionQueue
	limit  ConcurrencyLimit
	shares SlotShares
	open   int
	idle   []idleConnection
}

type idleConnection struct {
	workspace int
	since     time.Duration
}

// connect takes an idle connection of the workspace, or opens one, for which it returns
// true.
func (p *memberPool) connect(workspace int, now time.Duration) bool {
	for len(p.idle) > 1 && now-p.idle[0].since > connIdleTimeout || p.open > holderConnections && len(p.idle) > 0 {
		p.idle, p.open = p.idle[1:], p.open-1
	}
	if i := slices.IndexFunc(p.idle, func(c idleConnection) bool { return c.workspace == workspace }); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
		return false
	}
	if p.open == holderConnections && len(p.idle) > 0 {
		p.idle, p.open = p.idle[1:], p.open-1
	}
	p.open++
	return true
}

// variantRun runs one variant on virtual time.
type variantRun struct {
	variant
	result     comparison
	r          *rand.Rand
	now        time.Duration
	events     eventHeap
	seq        int
	holders    []cwholder.Instance
	pools      [holderCount][memberCount]*memberPool
	members    [memberCount]*sharedTarget
	affinities [instanceCount]cwholder.WorkspaceAffinity
	// contendedUntil is until when the group counts as contended at each instance.
	contendedUntil [instanceCount]time.Duration
}

func newVariantRun(v variant, seed int64) *variantRun {
	s := &variantRun{variant: v, r: rand.New(rand.NewSource(seed))}
	for h := range holderCount {
		s.holders = append(s.holders, cwholder.Instance{ID: fmt.Sprint("holder-", h), DataCentre: fmt.Sprint(h % centreCount)})
		for m := range memberCount {
			p := &memberPool{limit: ConcurrencyLimit{Initial: slotCount, Max: holderConnections * holderCount}}
			p.Limit, p.QueueLimit = slotCount, 1000
			s.pools[h][m] = p
		}
	}
	for m := range memberCount {
		s.members[m] = &sharedTarget{slots: slotCount, slotFreeAt: make([]time.Duration, slotCount)}
	}
	return s
}

func (s *variantRun) time() time.Time { return now.Add(s.now) }

func (s *variantRun) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, f})
}

// run plays the load at a rate in statements per second.
func (s *variantRun) run(rate float64) *comparison {
	sum := 0.0
	for w := range workspaceCount {
		sum += math.Pow(float64(w+1), -0.8)
	}
	for w := range workspaceCount {
		for p, part := range priorityMix {
			s.scheduleArrival(w, p, rate*part*math.Pow(float64(w+1), -0.8)/sum)
		}
	}
	for h := range holderCount {
		s.after(time.Duration(h)*reportInterval/holderCount, func() { s.report(h) })
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return &s.result
}

func (s *variantRun) scheduleArrival(workspace, priority int, rate float64) {
	current := rate
	if s.now >= burstAt && priority == 2 {
		current *= burstFactor
	}
	if s.now >= burstAt && workspace == heavyWorkspace {
		current *= heavyFactor
	}
	if wait := time.Duration(s.r.ExpFloat64() / current * float64(time.Second)); s.now+wait < runLength {
		s.after(wait, func() {
			s.arrive(workspace, priority)
			s.scheduleArrival(workspace, priority, rate)
		})
	}
}

// report exchanges the demand of a holder with that of the others.
func (s *variantRun) report(h int) {
	for m := range memberCount {
		own := s.pools[h][m]
		for o := range holderCount {
			if other := s.pools[o][m]; o != h && s.demand && own.Demand().Contended() {
				own.shares.Record(s.holders[o].ID, other.Demand(), s.time())
				other.shares.Record(s.holders[h].ID, own.Demand(), s.time())
				s.setLimit(o, m)
			}
		}
		s.setLimit(h, m)
	}
	if s.now < runLength {
		s.after(reportInterval, func() { s.report(h) })
	}
}

func (s *variantRun) setLimit(h, m int) {
	p := s.pools[h][m]
	limit := p.limit.Limit()
	if n, ok := p.shares.Share(s.holders[h].ID, p.Demand(), slotCount, s.time()); ok {
		limit = min(limit, n)
	}
	p.SetLimit(limit, s.time())
}

// statement is a statement on its way through a holder.
type statement struct {
	Ticket
	instance, holder, workspace int
	// reply is the delay of the answer, and members are those left to try.
	reply   time.Duration
	members []int
	arrived time.Duration
	work    time.Duration
}

func (s *variantRun) arrive(workspace, priority int) {
	st := &statement{workspace: workspace, arrived: s.now, work: minWork + time.Duration(s.r.Int63n(int64(workRange))), reply: nearDelay, members: s.r.Perm(memberCount)}
	st.Priority, st.Deadline = priority, now.Add(s.now+aims[priority])
	if s.fair {
		st.Workspace = fmt.Sprint("workspace-", workspace)
	}
	st.OnDecision = func(r *cwrefusal.Refusal) { s.decided(st, r) }
	if s.r.Float64() < writeShare {
		st.members = []int{0}
	}
	st.instance = s.r.Intn(instanceCount)
	st.holder = s.chooseHolder(st.instance, workspace)
	if st.holder%centreCount != st.instance%centreCount {
		st.reply = farDelay
	}
	s.after(st.reply, func() {
		slices.SortStableFunc(st.members, func(a, b int) int {
			x, y := s.pools[st.holder][a], s.pools[st.holder][b]
			return int(x.ExpectedWait()-y.ExpectedWait()) + x.InFlight() - y.InFlight()
		})
		s.pools[st.holder][st.members[0]].Submit(&st.Ticket, s.time())
	})
}

// chooseHolder returns the holder for a statement that arrived at an instance. The first
// instances are the holders.
func (s *variantRun) chooseHolder(instance, workspace int) int {
	contended := s.uncontended && s.now < s.contendedUntil[instance]
	if instance < holderCount && (!s.one || s.held && !contended) {
		return instance
	}
	self := cwholder.Instance{ID: fmt.Sprint("instance-", instance), DataCentre: fmt.Sprint(instance % centreCount)}
	order := cwholder.ForwardingOrder(self, "g", s.holders)
	if s.one {
		if s.near && !contended {
			order = order[:holderCount/centreCount]
		}
		order = s.affinities[instance].Order(fmt.Sprint("workspace-", workspace), "g", order, s.time())
		s.affinities[instance].Record(order[0].ID, s.time())
	}
	return slices.Index(s.holders, order[0])
}

// decided runs an admitted statement, and tries the next member for a refused one.
func (s *variantRun) decided(st *statement, r *cwrefusal.Refusal) {
	m := st.members[0]
	p := s.pools[st.holder][m]
	if r != nil {
		if st.members = st.members[1:]; len(st.members) == 0 {
			s.count(st, outcome{refused: 1})
			return
		}
		s.after(0, func() { s.pools[st.holder][st.members[0]].Submit(&st.Ticket, s.time()) })
		return
	}
	began, work := s.now, st.work
	s.result.statements++
	if p.connect(st.workspace, s.now) {
		s.result.open++
		work += openTime
	}
	end := s.members[m].execute(s.now+nearDelay, work) + nearDelay
	s.after(end-s.now, func() {
		p.idle = append(p.idle, idleConnection{st.workspace, s.now})
		if s.now+st.reply <= st.arrived+aims[st.Priority] {
			s.count(st, outcome{inAim: 1})
		} else {
			s.count(st, outcome{late: 1})
		}
		p.limit.Observe(s.now-began, p.Queued())
		p.Complete(&st.Ticket, s.now-began, s.time())
		s.setLimit(st.holder, m)
	})
}

func (s *variantRun) count(st *statement, o outcome) {
	if slices.ContainsFunc(s.pools[st.holder][:], func(p *memberPool) bool { return p.Queued() > 0 }) {
		s.contendedUntil[st.instance] = s.now + contentionPeriod
	}
	if st.arrived < burstAt {
		return
	}
	s.result.all.add(o)
	s.result.byPriority[st.Priority].add(o)
	s.result.byWorkspace[st.workspace].add(o)
}
