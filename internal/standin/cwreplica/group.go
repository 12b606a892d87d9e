// Package cwreplica is a stand-in for a group of replicated databases that tell
// nothing unasked and take orders from anybody, in memory and without a
// protocol.
//
// Each Member has a log of writes. Replicas receive from a primary that they reach
// unless they are deaf or fenced, and apply what they received at once or later.
// What a member answers follows the rules of such databases: it refuses a floor
// that the log its reads see lacks, a write where it does not lead, and a demoted
// primary refuses to go on with a transaction. A primary that was replaced goes on
// until it is demoted, or for a while after it reaches the new one. A member can
// start again with its log; it forgets that it was fenced. Paths between instances
// and members, and between members, can be cut; answers can be lost.
package cwreplica

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Member is one database. Its fields are guarded by the group's lock.
type Member struct {
	id   cwgroup.MemberID
	role cwgroup.Role
	// term is that of the primary that it follows, or in which it leads.
	term  cwgroup.Term
	fence cwgroup.Term
	// log is what it has received; what is there is never overwritten in place.
	log []record
	// late is how much later than it receives a record its reads see it, and
	// receivedAt has when it received each. Reads see the first applied of them.
	late       time.Duration
	receivedAt []time.Time
	applied    int
	deaf       bool
	lose       bool
	dark       bool
	limit      int
	// refuse is how many more orders to stop receiving get no answer, busy how
	// many are refused as too much.
	refuse, busy int
	opened       int
	// life counts its starts; down is true between two.
	life int
	down bool
	// leaving is true while a primary that reaches the one that replaced it is
	// about to step down.
	leaving bool
}

// Group is a replica set. Make one with NewGroup.
type Group struct {
	Service string

	mu      sync.Mutex
	members map[cwgroup.MemberID]*Member
	order   []cwgroup.MemberID
	// cut holds the paths that are cut, from either end to the other.
	cut map[path]bool
	// promotions are the orders that were taken, in order.
	promotions []cwport.Promotion
	// ran holds the callers' statements that were run, asked counts
	// the questions about health.
	ran   []Context
	asked int
	// reads are the callers' reads that were run, in order.
	reads []Run
	// takes is how long a promotion takes by clock.
	takes time.Duration
	clock clockwork.Clock
	// goesOn is how long a replaced primary goes on once it reaches the new one.
	goesOn time.Duration
	// silent is true if what goes over a path that is cut waits until it is mended.
	silent bool
}

// Context is under which settings, and for which workspace, a statement of a
// caller ran.
type Context struct {
	ID        string
	Workspace string
	Values    map[string]string
}

// Contexts returns the callers' statements that were run, in order.
func (g *Group) Contexts() []Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.ran)
}

type path struct{ a, b string }

// NewGroup returns a group whose first member leads term 1.
func NewGroup(service string, ids ...cwgroup.MemberID) *Group {
	g := &Group{Service: service, members: make(map[cwgroup.MemberID]*Member), order: ids, cut: make(map[path]bool)}
	for _, id := range ids {
		g.members[id] = &Member{id: id, term: 1}
	}
	g.members[ids[0]].role = cwgroup.RolePrimary
	return g
}

// Role returns how a member sees itself; false while it is down.
func (g *Group) Role(id cwgroup.MemberID) (cwgroup.Role, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	return m.role, !m.down
}

// SilenceCuts makes paths that are cut hold back what is sent over them, by a
// clock, instead of failing at once.
func (g *Group) SilenceCuts(clock clockwork.Clock) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent, g.clock = true, clock
}

// SetLate makes a member's reads see records later than it receives them.
func (g *Group) SetLate(id cwgroup.MemberID, late time.Duration, clock clockwork.Clock) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	m.apply(g.now())
	m.late, g.clock = late, clock
}

// Cut cuts the path between an instance or member and another one, or mends it.
func (g *Group) Cut(a, b string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[path{a, b}], g.cut[path{b, a}] = cut, cut
	g.replicate()
}

// SetDeaf makes a replica stop receiving, or receive again.
func (g *Group) SetDeaf(id cwgroup.MemberID, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].deaf = deaf
	g.replicate()
}

// LoseAnswers makes a member run what it is sent and answer nothing.
func (g *Group) LoseAnswers(id cwgroup.MemberID, lose bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].lose = lose
}

// SetDark makes a member swallow what it is sent, by a clock, without a reset
// and without an answer; connections to it hang.
func (g *Group) SetDark(id cwgroup.MemberID, dark bool, clock clockwork.Clock) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].dark, g.clock = dark, clock
}

// RefuseFences makes a member give no answer to the next orders to stop
// receiving.
func (g *Group) RefuseFences(id cwgroup.MemberID, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].refuse = n
}

// BusyAtFences makes a member refuse the next orders to stop receiving as too
// busy.
func (g *Group) BusyAtFences(id cwgroup.MemberID, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].busy = n
}

// LimitConnections bounds the connections of a member; zero means no bound.
func (g *Group) LimitConnections(id cwgroup.MemberID, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].limit = n
}

// SetPromotionTakes makes promotions take effect a while after the order.
func (g *Group) SetPromotionTakes(d time.Duration, clock clockwork.Clock) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.takes, g.clock = d, clock
}

// Promotions returns the orders to promote that were taken.
func (g *Group) Promotions() []cwport.Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.promotions)
}

// Value returns an item as the newest primary's log has it.
func (g *Group) Value(item string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.primary(); p != nil {
		return value(p.log, item)
	}
	return ""
}

// Records returns the writes of each transaction in the newest primary's log.
func (g *Group) Records() []map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []map[string]string
	if p := g.primary(); p != nil {
		for _, r := range p.log {
			out = append(out, maps.Clone(r.writes))
		}
	}
	return out
}

// Primary returns the member that leads the highest term; empty if none does.
func (g *Group) Primary() cwgroup.MemberID {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.primary(); p != nil {
		return p.id
	}
	return ""
}

// Runs returns how often a member ran a statement with the caller's id.
func (g *Group) Runs(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.ran {
		if r.ID == id {
			n++
		}
	}
	return n
}

// Questions returns how often the members were asked about themselves.
func (g *Group) Questions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.asked
}

func (m *Member) health() cwstatement.Health {
	return cwstatement.Health{Role: m.role, Term: m.term, FencedTerm: m.fence, Received: m.received(), Connections: m.opened}
}

// From returns a dialer as the instance sees the group. An empty name stands for
// whoever each connection is opened for.
func (g *Group) From(instance string) cwport.Dialer { return dialer{group: g, instance: instance} }

type dialer struct {
	group    *Group
	instance string
}

// Dial implements cwport.Dialer.
func (d dialer) Dial(ctx context.Context, to cwport.Endpoint, workspace string) (cwport.Target, error) {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[to.ID]
	instance := d.instance
	if instance == "" {
		instance = workspace
	}
	if m != nil && m.dark {
		g.mu.Unlock()
		<-ctx.Done()
		g.mu.Lock()
		return nil, ctx.Err()
	}
	for m != nil && g.silent && g.cut[path{instance, string(to.ID)}] && ctx.Err() == nil {
		g.mu.Unlock()
		g.clock.Sleep(cutPoll)
		g.mu.Lock()
	}
	if m == nil || m.down || g.cut[path{instance, string(to.ID)}] {
		return nil, &cutError{instance: instance, member: to.ID}
	}
	if m.limit > 0 && m.opened >= m.limit {
		return nil, &cwport.RefusedError{Code: cwstatement.TooManyConnections}
	}
	m.opened++
	return &conn{
		group: g, member: m, life: m.life, instance: instance, workspace: workspace,
		values: map[string]string{}, prepared: map[string]string{},
	}, nil
}

// cutError reports a path that is cut.
type cutError struct {
	instance string
	member   cwgroup.MemberID
}

func (e *cutError) Error() string { return fmt.Sprintf("no path from %s to %s", e.instance, e.member) }

// errLost is the failure of an answer that was lost.
var errLost = fmt.Errorf("answer lost: %w", io.ErrUnexpectedEOF)

// itemOf returns the item and data of a statement.
func itemOf(text string) (item, data string) {
	_, rest, _ := strings.Cut(text, " ")
	item, data, _ = strings.Cut(rest, " ")
	return item, data
}
