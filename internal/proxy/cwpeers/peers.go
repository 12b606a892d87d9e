// Package cwpeers knows the other instances and hands statements to those that
// hold a group.
//
// Each instance has a row in the platform's table, with its data centre and the
// address for the others. Peers follows these rows, writes its own, and keeps a
// connection to each holder that it uses. A statement never waits for a
// connection: a holder without one is connected in the background, and
// meanwhile the next one takes the statement, or the instance itself.
package cwpeers

import (
	"context"
	"errors"
	"maps"
	"slices"
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

	mu sync.Mutex
	// dirty is true if rows have changed since Changed was called.
	dirty bool
	// listed is true once the rows were read.
	listed    bool
	instances map[string]cwholder.Instance
	// lost is since when the rows of known instances have been missing.
	lost map[string]time.Time
	// version is that of the own row.
	version string
	// centre has the names of the instances of this data centre, centres those of
	// the data centres; both as long as the rows do not change.
	centre, centres []string
	// orders are the holders of each group, as long as neither the rows nor the
	// group's demand change.
	orders map[string]order
	// issuers are those of each workspace's quota, in the order in which this
	// instance asks them, as long as the rows do not change.
	issuers map[string][]cwholder.Instance
	links   map[string]*link
	// helpers is who was last asked to run a group's statements that this
	// instance could not; who did is asked again first.
	helpers map[string]string
	closed  bool
}

type order struct {
	demand  cwholder.Demand
	holders []cwholder.Instance
	// route is how this instance hands statements over; place its own among
	// the holders, -1 if it is none.
	route []cwholder.Instance
	place int
}

// Run keeps the own row until ctx ends, and closes the connections then.
func (p *Peers) Run(ctx context.Context) error {
	defer p.close()
	for ctx.Err() == nil {
		select {
		case <-p.Clock.After(registerEvery):
		case <-ctx.Done():
			return nil
		}
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

// Holder implements cwport.Holders.
func (p *Peers) Holder(group string, d cwholder.Demand, tried []string) (cwport.Holder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	help := slices.Contains(tried, p.Self.ID)
	if l, ok := p.links[p.helpers[group]]; help && ok && !slices.Contains(tried, l.to.ID) && l.usable(now) && l.fresh(now) {
		return l, true
	}
	for _, i := range p.order(group, d).route {
		if slices.Contains(tried, i.ID) {
			continue
		}
		if i == p.Self {
			return nil, false
		}
		if l := p.link(i); l.usable(now) && (!help || l.fresh(now)) {
			if help {
				p.noteHelper(group, i.ID)
			}
			return l, true
		}
	}
	return nil, false
}

// noteHelper notes who is asked for help. One that cannot help is avoided for a
// while, and another one takes its place. The caller holds mu.
func (p *Peers) noteHelper(group, name string) {
	if p.helpers == nil {
		p.helpers = make(map[string]string)
	}
	p.helpers[group] = name
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
	route := p.order(group, d).route
	if len(route) == 0 || route[0] == p.Self {
		return
	}
	for _, i := range route[:min(connectAhead, len(route))] {
		p.link(i).usable(now)
	}
}

// Holds implements cwport.Holders. Before the rows were read an instance holds
// everything, and nothing of many groups.
func (p *Peers) Holds(group string, d cwholder.Demand) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.listed:
		return -1, !d.Many
	case !p.mayHold(group, d):
		return -1, false
	}
	place := p.order(group, d).place
	return place, place >= 0
}

// mayHold reports whether this instance is a holder of the group.
//
// The load it answers: hundreds of instances before a thousand groups. Whoever
// works out the holders of each group to learn that it is none of them keeps and
// sorts lists that grow with the square of the deployment: with 300 instances and
// 1,000 groups most of 33 MB of heap. The caller holds mu.
func (p *Peers) mayHold(group string, d cwholder.Demand) bool {
	if p.centre == nil {
		centres := make(map[string]bool)
		for name, i := range p.instances {
			centres[i.DataCentre] = true
			if i.DataCentre == p.Self.DataCentre {
				p.centre = append(p.centre, name)
			}
		}
		p.centres = slices.Collect(maps.Keys(centres))
	}
	return d.Holds(p.Self, group, p.centre, p.centres)
}

// order returns the holders of a group. The caller holds mu.
func (p *Peers) order(group string, d cwholder.Demand) order {
	if o, ok := p.orders[group]; ok && o.demand == d {
		return o
	}
	all := make([]cwholder.Instance, 0, len(p.instances))
	for _, i := range p.instances {
		all = append(all, i)
	}
	o := order{demand: d, holders: cwholder.Holders(group, all, d)}
	o.place = slices.Index(o.holders, p.Self)
	if p.listed {
		o.route = d.Route(p.Self, group, o.holders)
	}
	if p.orders == nil {
		p.orders = make(map[string]order)
	}
	p.orders[group] = o
	return o
}

// link returns the link to an instance. The caller holds mu.
func (p *Peers) link(to cwholder.Instance) *link {
	l := p.links[to.ID]
	if l == nil {
		l = &link{to: to, dial: p.Dial, clock: p.Clock, log: p.Log}
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
