// Package cwreplica is a stand-in for a group of replicated databases that tell
// nothing unasked and take orders from anybody, in memory and without a
// protocol.
//
// Each Member has a log of writes. Replicas receive from the primary at once
// unless they are deaf, fenced or cut off from it. What a member answers follows
// the rules of such databases: it refuses a floor that its log lacks, a write
// where it does not lead, and a demoted primary refuses to go on with a
// transaction. Paths between instances and members, and between members, can be
// cut; answers can be lost.
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

// record is one committed transaction.
type record struct {
	mark   cwgroup.Mark
	writes map[string]string
}

// Member is one database. Its fields are guarded by the group's lock.
type Member struct {
	id    cwgroup.MemberID
	role  cwgroup.Role
	term  cwgroup.Term
	fence cwgroup.Term
	log   []record
	deaf  bool
	lose  bool
	dark  bool
	limit int
	// refuse is how many more orders to stop receiving get no answer, busy how
	// many are refused as too much.
	refuse, busy int
	opened       int
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
	// takes is how long a promotion takes by clock.
	takes time.Duration
	clock clockwork.Clock
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
		return p.value(item)
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

// primary returns the member that leads the highest term.
func (g *Group) primary() *Member {
	var best *Member
	for _, id := range g.order {
		if m := g.members[id]; m.role == cwgroup.RolePrimary && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// Promote implements cwport.Promoter.
func (g *Group) Promote(_ context.Context, p cwport.Promotion) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[p.ID]
	if m == nil {
		return &cwport.RefusedError{Code: cwstatement.WrongTarget}
	}
	g.promotions = append(g.promotions, p)
	if g.takes > 0 {
		go g.runPromotion(m)
		return nil
	}
	g.lead(m)
	return nil
}

func (g *Group) runPromotion(m *Member) {
	g.clock.Sleep(g.takes)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lead(m)
}

// lead makes a member the primary of the next term.
func (g *Group) lead(m *Member) {
	if m.role == cwgroup.RolePrimary {
		return
	}
	next := cwgroup.Term(0)
	for _, o := range g.members {
		next = max(next, o.term)
	}
	m.role, m.term, m.fence = cwgroup.RolePrimary, next+1, 0
	g.replicate()
}

// replicate lets every replica receive what it can.
func (g *Group) replicate() {
	p := g.primary()
	if p == nil {
		return
	}
	for _, id := range g.order {
		m := g.members[id]
		if m == p || m.deaf || m.dark || p.dark || g.cut[path{string(p.id), string(id)}] || m.fence > p.term {
			continue
		}
		m.role, m.term, m.fence = cwgroup.RoleReplica, p.term, 0
		m.log = append([]record(nil), p.log...)
	}
	// A replica of an older primary goes on receiving from it.
	for _, old := range g.members {
		if old.role != cwgroup.RolePrimary || old == p {
			continue
		}
		for _, m := range g.members {
			if m.role == cwgroup.RoleReplica && m.term == old.term && m.fence <= old.term && !m.deaf &&
				!g.cut[path{string(old.id), string(m.id)}] {
				m.log = append([]record(nil), old.log...)
			}
		}
	}
}

func (m *Member) mark() cwgroup.Mark {
	if len(m.log) == 0 {
		return cwgroup.Mark{Term: 1}
	}
	return m.log[len(m.log)-1].mark
}

func (m *Member) holds(floor cwgroup.Mark) bool {
	if floor.Position == 0 {
		return true
	}
	for _, r := range m.log {
		if r.mark == floor {
			return true
		}
	}
	return false
}

func (m *Member) value(item string) string {
	for i := len(m.log) - 1; i >= 0; i-- {
		if v, ok := m.log[i].writes[item]; ok {
			return v
		}
	}
	return ""
}

func (m *Member) health() cwstatement.Health {
	return cwstatement.Health{Role: m.role, Term: m.term, Fence: m.fence, Received: m.mark(), Connections: m.opened}
}

// From returns a dialer as the instance sees the group.
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
	if m != nil && m.dark {
		g.mu.Unlock()
		<-ctx.Done()
		g.mu.Lock()
		return nil, ctx.Err()
	}
	if m == nil || g.cut[path{d.instance, string(to.ID)}] {
		return nil, &cutError{instance: d.instance, member: to.ID}
	}
	if m.limit > 0 && m.opened >= m.limit {
		return nil, &cwport.RefusedError{Code: cwstatement.TooManyConnections}
	}
	m.opened++
	return &conn{
		group: g, member: m, instance: d.instance, workspace: workspace,
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

func (g *Group) commit(m *Member, writes map[string]string) {
	if len(writes) == 0 {
		return
	}
	next := cwgroup.Mark{Term: m.term, Position: m.mark().Position + 1}
	m.log = append(m.log, record{mark: next, writes: maps.Clone(writes)})
	g.replicate()
}
