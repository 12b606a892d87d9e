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
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// KeyPrefix is where the rows of the instances are in the table.
const KeyPrefix = "instance/"

// Times of the rows.
const (
	// registerEvery is how often the own row is looked at, and the pause after
	// it could not be written.
	registerEvery = time.Second
	// connectAhead is the number of holders of a group that are connected before
	// they are needed: the first choice and the one that takes its place.
	connectAhead = 2
	// registerTimeout bounds one write of it.
	registerTimeout = 2 * time.Second
	// lostFor is how long an instance counts without a row: it hears of the loss
	// within about a second, writes the row with the next look at it, and a write can
	// take its whole time.
	lostFor = registerEvery + registerTimeout + time.Second
)

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
	// centre has the names of the instances of this data centre, centres counts
	// the data centres; both as long as the rows do not change.
	centre  []string
	centres int
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

type instanceBody struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// Rows takes rows of the table; whole is true if these are all.
func (p *Peers) Rows(rows []cwport.Row, whole bool) {
	p.takeRows(rows, whole)
	if whole {
		p.tell()
	}
}

// tell says that the holders of groups may have changed.
//
// The failure: hundreds of instances start together, each one's row reaches all
// others by itself, and each works out the holders of every group for each of
// them: work that grows with the square of the instances, before the first caller
// has come. The first rows are told at once, changes once a second.
func (p *Peers) tell() {
	p.mu.Lock()
	dirty := p.dirty
	p.dirty = false
	p.mu.Unlock()
	if dirty && p.Changed != nil {
		p.Changed()
	}
}

func (p *Peers) takeRows(rows []cwport.Row, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dirty = p.dirty || whole
	before := p.instances
	if p.instances == nil || whole {
		p.instances, p.version = make(map[string]cwholder.Instance), ""
	}
	p.listed = p.listed || whole
	for _, r := range rows {
		if name, ok := strings.CutPrefix(r.Key, KeyPrefix); ok {
			p.row(name, r, before)
			p.dirty = true
		}
	}
	if whole {
		p.keepLost(before)
	}
	if p.dirty {
		p.reorder()
	}
}

// reorder forgets what follows from the rows. The caller holds mu.
func (p *Peers) reorder() {
	p.centre, p.centres = nil, 0
	clear(p.orders)
	clear(p.issuers)
	p.unlink()
}

// keepLost keeps the instances that all rows lack. The caller holds mu.
//
// The failure: the store comes back from an older copy and lacks the rows of
// instances that registered a moment ago. Taken for gone, the statements that were
// handed to them are cut off and in doubt, and every group and quota changes hands
// twice. Nobody removes the row of an instance from the store, so one that is missing
// was lost, and the instance, if it lives, writes it again.
func (p *Peers) keepLost(before map[string]cwholder.Instance) {
	now := p.Clock.Now()
	if p.lost == nil {
		p.lost = make(map[string]time.Time)
	}
	for name, i := range before {
		if _, ok := p.instances[name]; ok {
			continue
		}
		p.instances[name] = i
		if _, known := p.lost[name]; !known {
			p.lost[name] = now
			p.Log.Warn("instanceRowLost", "instance", name)
		}
	}
}

// dropLost drops the instances that have not written their rows again.
func (p *Peers) dropLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, since := range p.lost {
		if name == p.Self.ID || p.Clock.Since(since) < lostFor {
			continue
		}
		p.Log.Info("instanceGone", "instance", name)
		delete(p.lost, name)
		delete(p.instances, name)
		p.dirty = true
		p.reorder()
	}
}

// row takes one instance's row; before are the instances that were known. The
// caller holds mu.
func (p *Peers) row(name string, r cwport.Row, before map[string]cwholder.Instance) {
	if name == p.Self.ID {
		p.version = r.Tag()
	}
	delete(p.lost, name)
	if r.Removed {
		delete(p.instances, name)
		return
	}
	var b instanceBody
	if err := json.Unmarshal(r.Value, &b); err != nil {
		p.Log.Error("instanceUnreadable", "key", r.Key, "cause", err)
		return
	}
	i := cwholder.Instance{ID: name, DataCentre: b.DataCentre, Address: b.Address}
	if before[name] != i {
		p.Log.Info("instanceListed", "instance", name, "dataCentre", i.DataCentre, "address", i.Address)
	}
	p.instances[name] = i
}

// unlink closes the connections to instances that are gone or have moved. The
// caller holds mu.
func (p *Peers) unlink() {
	for name, l := range p.links {
		if p.instances[name] != l.to {
			l.close()
			delete(p.links, name)
		}
	}
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

// unregistered reports whether the table is known to lack the own row.
func (p *Peers) unregistered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, lost := p.lost[p.Self.ID]
	return p.listed && (lost || p.instances[p.Self.ID] != p.Self)
}

// register writes the own row. An answer that was lost is made up for by the
// next look, since the row comes back with the others.
func (p *Peers) register(ctx context.Context) {
	value, err := json.Marshal(instanceBody{Address: p.Self.Address, DataCentre: p.Self.DataCentre})
	if err != nil {
		p.Log.Error("notRegistered", "cause", err)
		return
	}
	p.mu.Lock()
	version := p.version
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	key := KeyPrefix + p.Self.ID
	err = p.Table.Commit(ctx, cwplatform.Change{
		Expect: []cwplatform.Expect{{Key: key, ETag: version}},
		Put:    []cwplatform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		p.Log.Warn("notRegistered", "cause", err)
	}
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
// everything.
func (p *Peers) Holds(group string, d cwholder.Demand) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.listed:
		return -1, true
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
		p.centres = len(centres)
	}
	return d.Holds(p.Self.ID, group, p.centre, p.centres)
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
		o.route = cwholder.Order(p.Self, group, o.holders)
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
