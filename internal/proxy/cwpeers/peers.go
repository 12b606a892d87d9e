// Package cwpeers tracks the other instances and forwards statements to the
// holders of a group, the instances that keep connections to its targets.
//
// Each instance has a row in the platform's table with its data centre and the
// address on which it serves other instances. Peers follows these rows, writes its
// own, and keeps a connection to each holder that it uses.
//
// With few groups (see cwholder.ManyGroupsThreshold) holders are connected in advance
// and a statement never waits for a connection: while a holder is being connected in
// the background, the next holder or this instance itself runs the statement. With many
// groups a holder is connected when the first statement for it arrives, and that
// statement waits up to maxConnectWait.
//
// While statements wait for the members of a group, its holders exchange the numbers of
// waiting statements, by which they divide the members' slots.
package cwpeers

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// preconnectedHolders is the number of holders of a group that Connect connects in
// advance: the first choice and its fallback.
const preconnectedHolders = 2

// Dial connects to the instance with the given name at address (IP:port).
type Dial func(ctx context.Context, name, address string) (Conn, error)

// Conn is a connection to another instance, used by several goroutines at a time.
type Conn interface {
	// Forward runs a statement on the other instance. The error is a *cwport.NoResponseError
	// if no answer arrives.
	Forward(ctx context.Context, h cwport.ForwardRequest) (cwport.ForwardResponse, error)
	cwport.ChangesServer
	// SendPathReport sends a path report to the other instance. The error is a
	// *cwport.MethodUnknownError if its build does not know the method.
	SendPathReport(ctx context.Context, r cwport.PathReport) (cwport.PathReply, error)
	// TakeQuota asks the other instance to admit one operation of a workspace.
	TakeQuota(ctx context.Context, r cwport.QuotaRequest) (cwport.QuotaDecision, error)
	// ReturnQuota gives back quota that the other instance has issued.
	ReturnQuota(ctx context.Context, workspace string, g cwport.QuotaGrant) error
	// Members requests the other instance's reports of a group's members.
	Members(ctx context.Context, q cwport.MembersRequest) (cwport.MembersResponse, error)
	// ExchangeDemand reports the demand of instance self at the members of a group, and
	// returns that of the other instance. The error is a *cwport.MethodUnknownError if
	// the other instance does not have the method, and a *cwport.MalformedAnswerError if
	// its answer is malformed.
	ExchangeDemand(ctx context.Context, group, self string, members []cwport.MemberDemand) ([]cwport.MemberDemand, error)
	// Ping returns an error if the other end does not answer before ctx ends.
	Ping(ctx context.Context) error
	// Done returns a channel that is closed once the connection has ended.
	Done() <-chan struct{}
	// Close closes the connection. Calls in progress on it return an error.
	Close() error
}

// PathMonitor records whether other data centres can be reached over the network.
type PathMonitor interface {
	// RecordAnswer records that an answer arrived from another data centre at now.
	RecordAnswer(now time.Time)
	// RecordOverdue records that a message sent to another data centre at the given
	// time is still unanswered after answerTimeout, or that a probe failed.
	RecordOverdue(sent time.Time)
}

// Peers tracks the instances and the connections to them. It implements
// cwport.Holders, cwport.WorkspaceHolders, cwport.Feeders, cwport.QuotaIssuers,
// cwport.PathNetwork and cwport.Observers. Set the exported fields before Run.
type Peers struct {
	// Self is this instance.
	Self cwholder.Instance
	// Capacity is this instance's capacity in thousandths of a core; zero if it is
	// unknown.
	Capacity int
	// Table is the platform's table, which holds the rows of the instances.
	Table cwplatform.Table
	Dial  Dial
	Clock clockwork.Clock
	Log   *log.Logger
	// Tree decides from which instance each instance of a data centre receives the
	// changes of the store.
	Tree cwfeed.DistributionTree
	// OnChange is called after the holders of groups may have changed; it may be nil.
	OnChange func()
	// FirstStart is true if the deployment starts for the first time, so that no
	// instance has a row yet.
	FirstStart bool
	// PathMonitor records answers and missing answers on connections to other data centres;
	// it may be nil.
	PathMonitor PathMonitor
	// PathDown reports whether other data centres do not answer, so that statements are
	// not forwarded there; it may be nil.
	PathDown func() bool
	// PathSuspected reports whether the path to other data centres is in doubt; it may be
	// nil.
	PathSuspected func() bool
	// Demand has the demand of this instance for the groups that it holds. If it is nil,
	// no demand is exchanged.
	Demand cwport.DemandRecorder
	// OnMalformed is called with the method of a malformed answer; it may be nil.
	OnMalformed func(method string)

	mu sync.Mutex
	// dirty is true if the set of instances has changed since OnChange was last called.
	dirty bool
	// allRowsRead is true once the rows of all instances were received. centreRowsRead
	// is true once those of this data centre were; they suffice to find the feeder,
	// which then supplies the others.
	allRowsRead, centreRowsRead bool
	// placement holds the known instances and computes the holders of groups.
	placement cwholder.Placement
	// missingSince is the time since which the row of a known instance is missing, by
	// instance name.
	missingSince map[string]time.Time
	// ownRowETag is the tag of this instance's row; empty if the table has no such row.
	ownRowETag string
	// issuers caches the issuers of each workspace's quota, in the order in which this
	// instance asks them. It is cleared when an instance changes.
	issuers map[string]issuerList
	// addedAt is when an instance was last added to this data centre, and gainedAt when
	// one was last removed from it or this instance was added, each after the first list
	// was read. See cwquota.Listing.
	addedAt, gainedAt time.Time
	// centreListed is true once all instances of this data centre are in placement.
	// newcomer is true if the table had no row of this instance when it started.
	centreListed, newcomer bool
	// links are the connections to other instances, by instance name.
	links map[string]*link
	// lastHelper is the instance that was last chosen to run the statements of a group
	// that this instance cannot run itself, by group. It is tried first the next time.
	lastHelper map[string]string
	// anyDialEnded is closed when a connection attempt to any instance has ended; nil
	// if no statement waits for one.
	anyDialEnded chan struct{}
	// affinities are the loads by which the statements of workspaces are distributed, by
	// group.
	affinities map[string]*cwholder.WorkspaceAffinity
	// contendedUntil is until when a group counts as contended.
	contendedUntil map[string]time.Time
	// demandHeardAt is when the demand of a holder for a group was last received.
	demandHeardAt map[demandKey]time.Time
	closed        bool
}

// Run keeps this instance's row in the table until ctx ends, then closes all
// connections. It always returns nil.
func (p *Peers) Run(ctx context.Context) error {
	defer p.close()
	p.loopStartup(ctx)
	if p.Demand != nil {
		var loops sync.WaitGroup
		loops.Go(func() { p.loopDemand(ctx) })
		defer loops.Wait()
	}
	for ctx.Err() == nil {
		p.sleep(ctx, registerInterval)
		p.removeMissing()
		p.notifyChanged()
		if p.needsRegistration() {
			p.register(ctx)
		}
	}
	return nil
}

func (p *Peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.links {
		l.close()
	}
	clear(p.links)
}

// Connect opens connections to the holders to which this instance forwards a
// group's statements.
//
// Without it, when all instances start at once and their callers reconnect, each
// instance runs its first statements itself because no holder is connected yet.
// The targets' few connections are then used up by instances that stop needing them
// a moment later.
func (p *Peers) Connect(group string, d cwholder.TargetCapacity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	route := p.route(group, d)
	if len(route) == 0 || route[0] == p.Self {
		return
	}
	for _, i := range route[:min(preconnectedHolders, len(route))] {
		l := p.link(i)
		l.keepOpen()
		l.ensureUsable(now)
	}
}

// HolderRank implements cwport.Holders. Until all rows were read the instance counts as a
// holder of each group if there are few groups, and of none if there are many; its
// rank is then -1.
func (p *Peers) HolderRank(group string, d cwholder.TargetCapacity) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.allRowsRead {
		return -1, !d.ManyGroups
	}
	return p.placement.Rank(group, d)
}

// route returns the holders of a group in the order in which statements are offered
// to them; nil until all rows were read. The caller holds mu.
func (p *Peers) route(group string, d cwholder.TargetCapacity) []cwholder.Instance {
	if !p.allRowsRead {
		return nil
	}
	return p.placement.ForwardingOrder(group, d)
}

// link returns the link to an instance and creates it if necessary. The caller holds
// mu.
func (p *Peers) link(to cwholder.Instance) *link {
	l := p.links[to.ID]
	if l == nil {
		l = &link{remote: to, dial: p.Dial, clock: p.Clock, log: p.Log, onDialEnded: p.wakeDialWaiters, onContended: p.recordContended}
		if to.DataCentre != p.Self.DataCentre {
			l.path = p.PathMonitor
		}
		if p.links == nil {
			p.links = make(map[string]*link)
		}
		p.links[to.ID] = l
	}
	return l
}

var (
	_ cwport.Holders          = (*Peers)(nil)
	_ cwport.WorkspaceHolders = (*Peers)(nil)
	_ cwport.Feeders          = (*Peers)(nil)
	_ cwport.QuotaIssuers     = (*Peers)(nil)
	_ cwport.PathNetwork      = (*Peers)(nil)
	_ cwport.Observers        = (*Peers)(nil)
)

// errNoAnswer is the cause for which a connection is closed whose probe was not
// answered, and for which a call fails if no connection is open.
var errNoAnswer = errors.New("no answer to a probe")
