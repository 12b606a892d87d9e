package cwlimit

import (
	"container/list"
	"iter"
	"slices"
	"time"
)

// nominalService is the service charged for a statement before any has ended. Only its
// being equal for all statements matters.
const nominalService = time.Millisecond

// fairQueue holds waiting tickets in the order of their admission: by priority, then by
// start-time fair queueing among the workspaces of a priority, then by due time and
// arrival within a workspace. Tickets without a workspace form one flow, so that without
// any workspace the order is by priority, due time and arrival.
//
// Fair queueing gives each workspace a virtual time that grows with the service it
// received, and serves the workspace that is furthest behind. A workspace that joins
// starts at the virtual time of the ticket admitted last: it gains nothing from having
// been idle. The state of a priority is dropped when none of its tickets wait.
type fairQueue struct {
	// classes are the priorities with waiting tickets, the most urgent first.
	classes []*priorityClass
	length  int
	// arrivals numbers the tickets in order of arrival.
	arrivals uint64
}

// priorityClass is the waiting tickets of one priority.
type priorityClass struct {
	priority int
	// waiting is the number of waiting tickets in all flows; always positive.
	waiting int
	// virtualTime is that of the ticket admitted last. It never decreases.
	virtualTime time.Duration
	// flows are the workspaces that wait or are ahead of virtualTime, in order of
	// arrival.
	flows []*flow
}

// flow is the waiting tickets of one workspace in one priority.
type flow struct {
	workspace string
	// virtualTime grows with the service that the workspace received.
	virtualTime time.Duration
	// tickets are ordered by due time, then by arrival.
	tickets list.List
}

// waiting reports whether the flow has a ticket.
func (f *flow) waiting() bool { return f.tickets.Len() > 0 }

// head returns the first ticket of a flow that has one.
func (f *flow) head() *Ticket { return f.tickets.Front().Value.(*Ticket) }

// precedes reports whether the head of f is admitted before that of o. Both wait.
func (f *flow) precedes(o *flow) bool {
	if f.virtualTime != o.virtualTime {
		return f.virtualTime < o.virtualTime
	}
	a, b := f.head(), o.head()
	if c := a.dueTime().Compare(b.dueTime()); c != 0 {
		return c < 0
	}
	return a.arrival < b.arrival
}

// place returns the element after which t belongs in the flow, nil for the front, and
// the number of tickets before it.
func (f *flow) place(t *Ticket) (after *list.Element, ahead int) {
	ahead = f.tickets.Len()
	for e := f.tickets.Back(); e != nil; e = e.Prev() {
		if !t.dueTime().Before(e.Value.(*Ticket).dueTime()) {
			return e, ahead
		}
		ahead--
	}
	return nil, 0
}

// search returns the index of the class with the priority, or where it belongs.
func (q *fairQueue) search(priority int) (int, bool) {
	return slices.BinarySearchFunc(q.classes, priority, func(c *priorityClass, p int) int { return c.priority - p })
}

// flow returns the flow of a workspace; nil if the class has none.
func (c *priorityClass) flow(workspace string) *flow {
	i := slices.IndexFunc(c.flows, func(f *flow) bool { return f.workspace == workspace })
	if i < 0 {
		return nil
	}
	return c.flows[i]
}

// ahead returns the number of tickets that are expected to be admitted before t if each
// takes the given service.
func (q *fairQueue) ahead(t *Ticket, service time.Duration) int {
	n := 0
	for _, c := range q.classes {
		switch {
		case c.priority < t.Priority:
			n += c.waiting
		case c.priority == t.Priority:
			n += c.ahead(t, chargeable(service))
		}
	}
	return n
}

func (c *priorityClass) ahead(t *Ticket, service time.Duration) int {
	start, n := c.virtualTime, 0
	if own := c.flow(t.Workspace); own != nil {
		_, n = own.place(t)
		start = max(start, own.virtualTime) + time.Duration(n)*service
	}
	for _, f := range c.flows {
		if f.workspace == t.Workspace || !f.waiting() || f.virtualTime > start {
			continue
		}
		before := int((start - f.virtualTime + service - 1) / service)
		if f.virtualTime+time.Duration(before)*service == start && !t.dueTime().Before(f.head().dueTime()) {
			before++
		}
		n += min(before, f.tickets.Len())
	}
	return n
}

// push queues a ticket.
func (q *fairQueue) push(t *Ticket) {
	i, found := q.search(t.Priority)
	if !found {
		q.classes = slices.Insert(q.classes, i, &priorityClass{priority: t.Priority})
	}
	c := q.classes[i]
	f := c.flow(t.Workspace)
	if f == nil {
		f = &flow{workspace: t.Workspace}
		c.flows = append(c.flows, f)
	}
	if !f.waiting() {
		f.virtualTime = max(f.virtualTime, c.virtualTime)
	}
	q.arrivals++
	t.arrival, t.class, t.flow = q.arrivals, c, f
	after, _ := f.place(t)
	if after == nil {
		t.elem = f.tickets.PushFront(t)
	} else {
		t.elem = f.tickets.InsertAfter(t, after)
	}
	c.waiting++
	q.length++
}

// pop removes and returns the first ticket of a queue that is not empty, and charges its
// workspace the service.
func (q *fairQueue) pop(service time.Duration) *Ticket {
	c := q.classes[0]
	first := c.firstFlow()
	t := first.head()
	c.virtualTime = max(c.virtualTime, first.virtualTime)
	t.charged = chargeable(service)
	first.virtualTime += t.charged
	q.remove(t)
	c.flows = slices.DeleteFunc(c.flows, c.droppable)
	return t
}

// droppable reports whether a flow has no ticket and is not ahead of the virtual time, so
// that a new flow of its workspace would be equal to it.
func (c *priorityClass) droppable(f *flow) bool {
	return !f.waiting() && f.virtualTime <= c.virtualTime
}

// firstFlow returns the flow whose head is admitted next.
func (c *priorityClass) firstFlow() *flow {
	var first *flow
	for _, f := range c.flows {
		if f.waiting() && (first == nil || f.precedes(first)) {
			first = f
		}
	}
	return first
}

// remove removes a waiting ticket, and its flow if that has no state left: while a target
// does not answer, tickets expire and pop does not drop their flows.
func (q *fairQueue) remove(t *Ticket) {
	t.flow.tickets.Remove(t.elem)
	t.elem = nil
	if t.class.droppable(t.flow) {
		t.class.flows = slices.DeleteFunc(t.class.flows, func(f *flow) bool { return f == t.flow })
	}
	t.class.waiting--
	q.length--
	if t.class.waiting == 0 {
		q.classes = slices.DeleteFunc(q.classes, func(c *priorityClass) bool { return c == t.class })
	}
}

// settle corrects the charge of a ticket that pop returned to the service it received. If
// the flow was dropped while the statement ran, it applies to the workspace's new flow, or
// the flow is added again if it is now ahead of the virtual time.
func (t *Ticket) settle(service time.Duration) {
	if t.flow == nil {
		return
	}
	f := t.class.flow(t.Workspace)
	if f == nil {
		f = t.flow
	}
	f.virtualTime += service - t.charged
	if f == t.flow && f.virtualTime > t.class.virtualTime && !slices.Contains(t.class.flows, f) {
		t.class.flows = append(t.class.flows, f)
	}
}

// all iterates over the waiting tickets, by priority and flow. The ticket that is passed
// may be removed.
func (q *fairQueue) all() iter.Seq[*Ticket] {
	return func(yield func(*Ticket) bool) {
		for _, c := range slices.Clone(q.classes) {
			for _, f := range slices.Clone(c.flows) {
				for e := f.tickets.Front(); e != nil; {
					next := e.Next()
					if !yield(e.Value.(*Ticket)) {
						return
					}
					e = next
				}
			}
		}
	}
}

func chargeable(service time.Duration) time.Duration {
	if service <= 0 {
		return nominalService
	}
	return service
}
