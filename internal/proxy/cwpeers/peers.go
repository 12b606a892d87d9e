// Package cwpeers knows the other instances and hands statements to those that
// hold a group.
//
// Each instance has a row in the platform's table, with its data centre and the
// address for the others. Peers follows these rows, writes its own, and keeps a
// connection to each holder that it uses. Before few groups these are connected
// before they are needed, and a statement never waits for one: a holder without
// a connection is connected in the background, and meanwhile the next one takes
// the statement, or the instance itself. Before many groups a holder is connected
// when a statement comes for it, which waits for that a moment.
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

// connectAhead is the number of holders of a group that are connected before
// they are needed: the first choice and the one that takes its place.
const connectAhead = 2

// Dial connects to an instance.
type Dial func(ctx context.Context, name, address string) (Conn, error)

// Conn is a connection to another instance.
type Conn interface {
	Hand(ctx context.Context, h cwport.Handover) (cwport.Handed, error)
	cwport.NewsTeller
	AskQuota(ctx context.Context, workspace string) (cwport.Verdict, error)
	// Ping probes the other end.
	Ping(ctx context.Context) error
	// Done is closed once the connection has ended.
	Done() <-chan struct{}
	Close() error
}

// Path is what an instance knows of its ways to other data centres.
type Path interface {
	// RecordAnswer records that something has come from another data centre.
	RecordAnswer(now time.Time)
	// RecordOverdue records that what was sent there at a time has had no answer for
	// long.
	RecordOverdue(sent time.Time)
}

// Peers implements cwport.Holders. Set the fields before Run.
type Peers struct {
	Self  cwholder.Instance
	Table cwplatform.Table
	Dial  Dial
	Clock clockwork.Clock
	Log   *log.Logger
	// Tree places the instances that tell each other the news of the store.
	Tree cwfeed.Tree
	// Changed is called after the holders of groups may have changed.
	Changed func()
	// FirstStart is true if no instance was there before.
	FirstStart bool
	// Path takes what connections to other data centres tell; it may be nil.
	Path Path

	mu sync.Mutex
	// dirty is true if rows have changed since Changed was called.
	dirty bool
	// listed is true once the rows were read, and placed once those of this data centre
	// were, which tell whom this instance asks for the others.
	listed, placed bool
	// placement knows the instances, and who holds groups.
	placement cwholder.Placement
	// lost is since when the rows of known instances have been missing.
	lost map[string]time.Time
	// version is that of the own row.
	version string
	// issuers are those of each workspace's quota, in the order in which this
	// instance asks them, as long as the rows do not change.
	issuers map[string][]cwholder.Instance
	links   map[string]*link
	// helpers is who was last asked to run a group's statements that this
	// instance could not; who did is asked again first.
	helpers map[string]string
	// dialled is closed when a try to connect has ended; nil if nobody waits for one.
	dialled chan struct{}
	closed  bool
}

// Run keeps the own row until ctx ends, and closes the connections then.
func (p *Peers) Run(ctx context.Context) error {
	defer p.close()
	p.loopStart(ctx)
	for ctx.Err() == nil {
		p.sleep(ctx, registerEvery)
		p.dropLost()
		p.tell()
		if p.unregistered() {
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

// Connect opens connections to the holders that this instance hands a group's
// statements to.
//
// The failure: all instances start at once, their callers come back, and each
// runs the first statements itself for want of a connection to a holder: the
// targets' few connections are used up by instances that need them no more a
// moment later.
func (p *Peers) Connect(group string, d cwholder.Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	route := p.route(group, d)
	if len(route) == 0 || route[0] == p.Self {
		return
	}
	for _, i := range route[:min(connectAhead, len(route))] {
		l := p.link(i)
		l.keep()
		l.usable(now)
	}
}

// Holds implements cwport.Holders. Before the rows were read an instance holds
// everything, and nothing of many groups.
func (p *Peers) Holds(group string, d cwholder.Demand) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.listed {
		return -1, !d.Many
	}
	return p.placement.Place(group, d)
}

// route returns the holders of a group in the order in which statements are handed to
// them; none before the rows were read. The caller holds mu.
func (p *Peers) route(group string, d cwholder.Demand) []cwholder.Instance {
	if !p.listed {
		return nil
	}
	return p.placement.Route(group, d)
}

// link returns the link to an instance. The caller holds mu.
func (p *Peers) link(to cwholder.Instance) *link {
	l := p.links[to.ID]
	if l == nil {
		l = &link{to: to, dial: p.Dial, clock: p.Clock, log: p.Log, dialled: p.noteDialled}
		if to.DataCentre != p.Self.DataCentre {
			l.path = p.Path
		}
		if p.links == nil {
			p.links = make(map[string]*link)
		}
		p.links[to.ID] = l
	}
	return l
}

var (
	_ cwport.Holders      = (*Peers)(nil)
	_ cwport.Feeders      = (*Peers)(nil)
	_ cwport.QuotaIssuers = (*Peers)(nil)
)

// errSilent is why a connection on which nothing comes is closed.
var errSilent = errors.New("no answer to a probe")
