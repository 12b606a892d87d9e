// Package cwreplicaset emulates a group of replicated databases, for tests. It runs
// in memory and without a wire protocol: connections implement cwport.TargetConn
// directly. The emulated databases push no notifications and accept orders from
// any instance.
//
// Each Member has a log of committed transactions. A replica receives the log of
// a primary that it can reach, unless its receipt is stopped by a fault or the
// primary's term is below its fence. Its reads see the received records at once
// or after a delay. A member refuses a command whose floor is not in the log that
// its reads see, and a write if it is not the primary. After a demotion it refuses
// the remaining statements of an open write transaction.
//
// A primary that was replaced remains a primary of its old term until it is
// demoted or can reach the new primary, and for a configurable time after that. A
// member that restarts keeps its log but loses its fence. Paths between instances
// and members, and between members, can be cut, and answers can be lost.
package cwreplicaset

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

// Member is one database of a Group. Its fields are guarded by the group's lock.
type Member struct {
	id   cwgroup.MemberID
	role cwgroup.Role
	// term is the term of the primary that a replica follows, or in which the
	// member is the primary.
	term cwgroup.Term
	// fenceTerm is the fence: a replica receives nothing from a primary of an
	// earlier term. Zero means that there is none.
	fenceTerm cwgroup.Term
	// log holds the received records. They are never overwritten in place, so that
	// a Log can share them.
	log []record
	// applyDelay is the time between the receipt of a record and its visibility to
	// reads. receivedAt has the time of receipt of each record, and applied is the
	// number of records that reads see.
	applyDelay time.Duration
	receivedAt []time.Time
	applied    int
	// receiveStopped, loseAnswers and unresponsive are faults: see SetReceiveStopped,
	// LoseAnswers and SetUnresponsive.
	receiveStopped bool
	loseAnswers    bool
	unresponsive   bool
	// connectionLimit bounds connections, the number of open connections; zero
	// means no bound.
	connectionLimit int
	// lostFences is the number of further fence orders that get no answer, and
	// busyFences the number that are refused as busy.
	lostFences, busyFences int
	connections            int
	// incarnation is incremented when the member goes down; down is true until it
	// starts again, which it does not once it has ended.
	incarnation int
	down, ended bool
	// steppingDown is true while a replaced primary that can reach the new one
	// waits for stepDownDelay before it becomes a replica.
	steppingDown bool
}

// Group is a group of replicated databases. NewGroup creates one.
type Group struct {
	// Service is the name of the group's service.
	Service string

	mu      sync.Mutex
	members map[cwgroup.MemberID]*Member
	// memberOrder has the ids in the order given to NewGroup, for deterministic
	// iteration.
	memberOrder []cwgroup.MemberID
	// cutPaths is true for each cut path, in both directions.
	cutPaths map[path]bool
	// promotions are the accepted promotion orders, in order.
	promotions []cwport.Promotion
	// callerCommands has the session state of each caller's command that a member
	// processed, in order.
	callerCommands []CallerCommand
	// healthChecks counts the health requests.
	healthChecks int
	// reads are the executions of callers' reads, in order.
	reads []ReadExecution
	// promotionDelay is the time by clock between the order to promote a member and
	// the promotion.
	promotionDelay time.Duration
	// clock is the clock given last to a method that sets a delay or a fault; nil
	// if none was given.
	clock clockwork.Clock
	// synchronous makes a primary answer a commit only once a replica has received it.
	synchronous bool
	// stepDownDelay is how long a replaced primary remains a primary once it can
	// reach the new one.
	stepDownDelay time.Duration
	// cutsHang is true if connections over a cut path wait until it is restored,
	// and false if they fail at once.
	cutsHang bool
	// workTime returns how long members take for the caller's command with an id; nil means
	// that they take no time.
	workTime func(id string) time.Duration
}

// CallerCommand is the session state under which a member processed a caller's
// command.
type CallerCommand struct {
	// ID is the id of the command.
	ID        string
	Workspace string
	// Settings are the settings of the session by name.
	Settings map[string]string
}

// CallerCommands returns the session states of the callers' commands that members
// processed, in order. Commands that were refused are included.
func (g *Group) CallerCommands() []CallerCommand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.callerCommands)
}

// path connects an instance and a member, or two members.
type path struct{ a, b string }

// NewGroup returns a group whose first member is the primary of term 1. At least
// one id must be given.
func NewGroup(service string, ids ...cwgroup.MemberID) *Group {
	g := &Group{Service: service, members: make(map[cwgroup.MemberID]*Member), memberOrder: ids, cutPaths: make(map[path]bool)}
	for _, id := range ids {
		g.members[id] = &Member{id: id, term: 1}
	}
	g.members[ids[0]].role = cwgroup.RolePrimary
	return g
}

// Role returns the role of a member, and false while it is down.
func (g *Group) Role(id cwgroup.MemberID) (cwgroup.Role, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	return m.role, !m.down
}

// SetSynchronous makes primaries answer a commit only once a replica has received it, by the
// clock.
func (g *Group) SetSynchronous(clock clockwork.Clock) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.synchronous, g.clock = true, clock
}

// Add adds a member with an empty log, which receives that of its primary.
func (g *Group) Add(id cwgroup.MemberID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id] = &Member{id: id, term: 1}
	g.memberOrder = append(slices.Clone(g.memberOrder), id)
	g.replicate()
}

// HasLogOf reports whether a member has the records up to the end of another one's log.
func (g *Group) HasLogOf(id, other cwgroup.MemberID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[id].lastReceived().AtLeast(g.members[other].lastReceived())
}

// End stops a member for good and breaks all connections to it.
func (g *Group) End(id cwgroup.MemberID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	m.incarnation++
	m.down, m.ended, m.role = true, true, cwgroup.RoleReplica
	g.replicate()
}

// HangOnCuts makes connections over a cut path wait, by the clock, until the path
// is restored, instead of failing at once.
func (g *Group) HangOnCuts(clock clockwork.Clock) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cutsHang, g.clock = true, clock
}

// SetApplyDelay sets the time by the clock between a member's receipt of a record
// and its visibility to reads.
func (g *Group) SetApplyDelay(id cwgroup.MemberID, delay time.Duration, clock clockwork.Clock) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	m.applyDue(g.now())
	m.applyDelay, g.clock = delay, clock
}

// Cut cuts or restores the path between an instance and a member, or between two
// members, in both directions.
func (g *Group) Cut(a, b string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cutPaths[path{a, b}], g.cutPaths[path{b, a}] = cut, cut
	g.replicate()
}

// SetReceiveStopped stops a replica's receipt of records, or resumes it.
func (g *Group) SetReceiveStopped(id cwgroup.MemberID, stopped bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].receiveStopped = stopped
	g.replicate()
}

// LoseAnswers makes a member run its commands but lose the answers.
func (g *Group) LoseAnswers(id cwgroup.MemberID, lose bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].loseAnswers = lose
}

// SetUnresponsive makes a member unresponsive, or responsive again. Commands to an
// unresponsive member are not run; they fail when the connection's timeout has
// passed by the clock. New connections to it hang until their context ends.
func (g *Group) SetUnresponsive(id cwgroup.MemberID, unresponsive bool, clock clockwork.Clock) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].unresponsive, g.clock = unresponsive, clock
}

// LoseFences makes the next n fence orders to a member get no answer. They are
// not carried out.
func (g *Group) LoseFences(id cwgroup.MemberID, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].lostFences = n
}

// RefuseFencesAsBusy makes a member refuse the next n fence orders as busy.
func (g *Group) RefuseFencesAsBusy(id cwgroup.MemberID, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].busyFences = n
}

// LimitConnections limits the open connections of a member; zero means no limit.
func (g *Group) LimitConnections(id cwgroup.MemberID, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].connectionLimit = n
}

// SetWorkTime sets how long members take for each command of a caller, by its id. The
// command takes effect at once, and its answer comes when the time is over.
func (g *Group) SetWorkTime(f func(id string) time.Duration, clock clockwork.Clock) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.workTime, g.clock = f, clock
}

// SetPromotionDelay sets the time by the clock between an order to promote and the
// promotion.
func (g *Group) SetPromotionDelay(d time.Duration, clock clockwork.Clock) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promotionDelay, g.clock = d, clock
}

// Promotions returns the accepted promotion orders, in order.
func (g *Group) Promotions() []cwport.Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.promotions)
}

// Value returns the value of an item in the log of the primary with the highest
// term; empty if there is no such value.
func (g *Group) Value(item string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.newestPrimary(); p != nil {
		return itemValue(p.log, item)
	}
	return ""
}

// Records returns the writes of each transaction in the log of the primary with
// the highest term, by item.
func (g *Group) Records() []map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []map[string]string
	if p := g.newestPrimary(); p != nil {
		for _, r := range p.log {
			out = append(out, maps.Clone(r.writes))
		}
	}
	return out
}

// Primary returns the id of the primary with the highest term; empty if there is
// no primary.
func (g *Group) Primary() cwgroup.MemberID {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.newestPrimary(); p != nil {
		return p.id
	}
	return ""
}

// CommandCount returns how often members processed the caller's command with the id.
// Attempts that were refused are included.
func (g *Group) CommandCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.callerCommands {
		if r.ID == id {
			n++
		}
	}
	return n
}

// HealthChecks returns the number of health requests that members answered.
func (g *Group) HealthChecks() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.healthChecks
}

func (m *Member) health() cwstatement.Health {
	return cwstatement.Health{Role: m.role, Term: m.term, FencedTerm: m.fenceTerm, LogEnd: m.lastReceived(), Connections: m.connections}
}

// DialerFrom returns a dialer for connections of an instance. If the name is empty,
// the workspace of each connection is used as the instance's name.
func (g *Group) DialerFrom(instance string) cwport.Dialer {
	return dialer{group: g, instance: instance}
}

// dialer opens connections of an instance. It implements cwport.Dialer.
type dialer struct {
	group    *Group
	instance string
}

// Dial implements cwport.Dialer.
func (d dialer) Dial(ctx context.Context, to cwport.Endpoint, workspace string) (cwport.TargetConn, error) {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[to.ID]
	instance := d.instance
	if instance == "" {
		instance = workspace
	}
	if m != nil && m.unresponsive {
		g.mu.Unlock()
		<-ctx.Done()
		g.mu.Lock()
		return nil, ctx.Err()
	}
	for m != nil && g.cutsHang && g.cutPaths[path{instance, string(to.ID)}] && ctx.Err() == nil {
		g.mu.Unlock()
		g.clock.Sleep(cutPollInterval)
		g.mu.Lock()
	}
	if m == nil || m.down || g.cutPaths[path{instance, string(to.ID)}] {
		return nil, &cutError{instance: instance, member: to.ID}
	}
	if m.connectionLimit > 0 && m.connections >= m.connectionLimit {
		return nil, &cwport.RefusedError{Code: cwstatement.TooManyConnections}
	}
	m.connections++
	return &conn{
		group: g, member: m, incarnation: m.incarnation, instance: instance, workspace: workspace,
		settings: map[string]string{}, prepared: map[string]string{},
	}, nil
}

// cutError reports a dial over a cut path, or to a member that is down or unknown.
type cutError struct {
	instance string
	member   cwgroup.MemberID
}

func (e *cutError) Error() string { return fmt.Sprintf("no path from %s to %s", e.instance, e.member) }

// errLost reports that the answer to a command was lost.
var errLost = fmt.Errorf("answer lost: %w", io.ErrUnexpectedEOF)

// parseItem returns the item and data of a statement such as WRITE item data.
func parseItem(text string) (item, data string) {
	_, rest, _ := strings.Cut(text, " ")
	item, data, _ = strings.Cut(rest, " ")
	return item, data
}
