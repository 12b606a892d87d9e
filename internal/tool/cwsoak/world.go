package cwsoak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
	"cicadawalk.example/cicadawalk/internal/standin/cwreplica"
)

// Error is the class of the soak's own failures.
var Error = errs.Class("soak")

// What the world is made of.
const (
	members        = 3
	connections    = 24
	slots          = 3
	promotionTakes = 600 * time.Millisecond
	// replacedGoesOn is how long a replaced primary goes on once it reaches the new one.
	replacedGoesOn = time.Second
	maxAge         = 1500 * time.Millisecond
	// readyWithin is how long the instances may take to start.
	readyWithin = 20 * time.Second
	// versionEvery is the pause between two desired states.
	versionEvery = 1500 * time.Millisecond
	// copyEvery is the pause between two copies of the store; copies is how many are
	// kept, so that the oldest is some seconds old.
	copyEvery = 500 * time.Millisecond
	copies    = 6
	// writeAgainWithin bounds how long the operator and the targets take to write
	// again what the store has lost.
	writeAgainWithin = 500 * time.Millisecond
	// inForceWithin is how soon a desired state must be in force.
	inForceWithin = 3 * time.Second
)

// group is a group of targets with the paths to them.
type group struct {
	*cwreplica.Group
	ids     []cwgroup.MemberID
	links   map[cwgroup.MemberID]*cwlink.Link
	entries map[cwgroup.MemberID]*entry
}

// world is everything around the proxies, and the proxies.
type world struct {
	cfg       Config
	ledger    *ledger
	store     Store
	gate      *storeGate
	groups    []*group
	instances []*process
	// stores are the paths of the instances to the store.
	stores []*cwlink.Link
	access *access
	closes []func()

	mu sync.Mutex
	// revision is the newest desired state.
	revision int
	// disturbed is when a fault that was not planned last began or ended.
	disturbed time.Time
	// copies are the newest of the store, the oldest first.
	copies []func() (writeAgain func())
	// holdNext, if set, is done to the instance that promotes next.
	holdNext func(instance string)
}

// promoter hands an order to the group that it is about.
type promoter struct{ world *world }

// Promote implements cwport.Promoter.
func (p promoter) Promote(ctx context.Context, order cwport.Promotion) error {
	for _, g := range p.world.groups {
		if g.Service == order.Service {
			defer p.world.hold(order.Holder)
			return g.Promote(ctx, order)
		}
	}
	return &cwport.RefusedError{Code: cwstatement.WrongTarget, Detail: order.Service}
}

// hold does to an instance that has just promoted what is to be done to it.
func (w *world) hold(instance string) {
	w.mu.Lock()
	f := w.holdNext
	w.holdNext = nil
	w.mu.Unlock()
	if f != nil {
		f(instance)
	}
}

func newWorld(cfg Config) (*world, error) {
	w := &world{cfg: cfg, ledger: newLedger(), access: newAccess(cfg.Keyless), disturbed: time.Now()}
	if err := w.build(); err != nil {
		w.stop()
		return nil, Error.Wrap(err)
	}
	return w, nil
}

func (w *world) build() error {
	w.store = w.cfg.Platform.NewStore(promoter{world: w})
	w.gate = &storeGate{next: w.store}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: w.gate, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	w.closes = append(w.closes, func() { _ = srv.Close() })
	for i := range w.cfg.Groups {
		if err := w.addGroup(fmt.Sprintf("group%d", i)); err != nil {
			return err
		}
	}
	if err := w.desire(); err != nil {
		return err
	}
	for i := range w.cfg.Instances {
		if err := w.addInstance(i, ln.Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) addGroup(name string) error {
	g := &group{links: make(map[cwgroup.MemberID]*cwlink.Link), entries: make(map[cwgroup.MemberID]*entry)}
	for i := range members {
		g.ids = append(g.ids, cwgroup.MemberID(fmt.Sprintf("%s-%d", name, i)))
	}
	g.Group = cwreplica.NewGroup(name, g.ids...)
	clock := clockwork.NewRealClock()
	g.SetPromotionTakes(promotionTakes, clock)
	g.SetReplacedGoesOn(replacedGoesOn, clock)
	g.SilenceCuts(clock)
	for i, id := range g.ids {
		g.LimitConnections(id, connections)
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		go w.runTarget(ln, id, g.From(""))
		l, err := cwlink.Start("127.0.0.1:0", ln.Addr().String())
		if err != nil {
			return err
		}
		w.closes = append(w.closes, func() { _ = ln.Close() }, l.Stop)
		g.links[id] = l
		g.entries[id] = &entry{listing: cwport.Listing{ID: id, Service: name, Address: l.Addr(), DataCentre: centre(i), Slots: slots}}
		if err := w.report(g, id); err != nil {
			return err
		}
	}
	w.groups = append(w.groups, g)
	return nil
}

func centre(i int) string { return fmt.Sprintf("dc%d", i%members) }

// DataCentres returns the data centres of a soak.
func DataCentres() []string {
	var all []string
	for i := range members {
		all = append(all, centre(i))
	}
	return all
}

func (w *world) runTarget(ln net.Listener, id cwgroup.MemberID, d cwport.Dialer) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go w.cfg.Platform.ServeTarget(id, d, conn)
	}
}

func (w *world) addInstance(i int, store string) error {
	l, err := cwlink.Start("127.0.0.1:0", store)
	if err != nil {
		return err
	}
	w.stores = append(w.stores, l)
	w.closes = append(w.closes, l.Stop)
	a := Addresses{Instance: fmt.Sprintf("front%d", i), DataCentre: centre(i), Store: l.Addr()}
	a.Callers, a.Ready, a.Peers = ownAddress(i, 7001), ownAddress(i, 7002), ownAddress(i, 7003)
	settings := filepath.Join(w.cfg.Dir, a.Instance+".json")
	if err := os.WriteFile(settings, w.cfg.Platform.Settings(a), 0o600); err != nil {
		return err
	}
	p := &process{
		name: a.Instance, program: w.cfg.Program, args: w.cfg.Platform.Command(settings),
		logFile: filepath.Join(w.cfg.Dir, a.Instance+".log"), callers: a.Callers,
	}
	if err := p.start(); err != nil {
		return err
	}
	w.instances = append(w.instances, p)
	w.closes = append(w.closes, p.stop)
	return nil
}

// ownAddress returns an address of an instance's own on the loopback network.
//
// The failure: a port that was free a moment ago is taken by an outgoing
// connection of somebody else, an instance cannot listen, and the run fails for
// nothing. Nobody connects from the instances' addresses.
func ownAddress(instance, port int) string {
	const firstNet, nets = 10, 200
	return fmt.Sprintf("127.%d.%d.1:%d", firstNet+os.Getpid()%nets, instance, port)
}

func (w *world) stop() {
	for i := len(w.closes) - 1; i >= 0; i-- {
		w.closes[i]()
	}
}

// The databases of a group, by what their reads see.
var rules = []struct {
	prefix string
	rule   cwcatalogue.ReadRule
}{
	{"newest-", cwcatalogue.ReadNewest},
	{"aged-", cwcatalogue.ReadAged},
	{"own-", cwcatalogue.ReadOwnWrites},
}

// loopCopies copies the store again and again.
func (w *world) loopCopies(ctx context.Context) error {
	for pause(ctx, copyEvery) {
		c := w.store.Copy()
		w.mu.Lock()
		w.copies = append(w.copies, c)
		if len(w.copies) > copies {
			w.copies = w.copies[1:]
		}
		w.mu.Unlock()
	}
	return nil
}

// restore has the store go back to a copy, the newest for an age of zero. What others
// than the system wrote is written again after a while.
func (w *world) restore(age int, after time.Duration) {
	w.mu.Lock()
	if len(w.copies) == 0 {
		w.mu.Unlock()
		return
	}
	i := max(0, len(w.copies)-1-age)
	restore := w.copies[i]
	w.copies = w.copies[:i]
	w.mu.Unlock()
	writeAgain := restore()
	time.AfterFunc(after, writeAgain)
}

// endRestored has the store go back to the oldest copy, and checks that the next
// desired state is in force in time. While other faults come and go an instance may be
// late; here it has no other reason to.
func (w *world) endRestored(ctx context.Context) {
	w.gate.set(func(g *storeGate) { g.down = true })
	pause(ctx, copyEvery)
	w.restore(copies, 0)
	w.gate.set(func(g *storeGate) { g.down = false })
	if err := w.desire(); err != nil {
		w.ledger.fail(Outdated, "%v", err)
		return
	}
	end := time.Now().Add(inForceWithin)
	for _, p := range w.instances {
		for !w.has(ctx, p, w.revision) {
			if !pause(ctx, 20*time.Millisecond) {
				// The run was interrupted; nothing was found out.
				return
			}
			if time.Now().After(end) {
				w.ledger.fail(Outdated, "%s lacks desired state %d", p.name, w.revision)
				break
			}
		}
	}
}

// ready waits until each instance serves each group.
func (w *world) ready(ctx context.Context) error {
	if missing := w.unserved(ctx, readyWithin); missing != "" {
		return Error.New("not ready: %s", missing)
	}
	return nil
}

// recover checks that everything is served again.
func (w *world) recover(ctx context.Context) {
	if missing := w.unserved(ctx, settleFor); missing != "" {
		w.ledger.fail(NotRecovered, "%s", missing)
	}
}

// unserved returns what is not served within a time; empty if all is.
func (w *world) unserved(ctx context.Context, within time.Duration) string {
	end := time.Now().Add(within)
	for _, p := range w.instances {
		for _, g := range w.groups {
			for !w.writes(ctx, p, g) {
				if time.Now().After(end) || !pause(ctx, 50*time.Millisecond) {
					return p.name + " does not write to " + g.Service
				}
			}
		}
	}
	return ""
}

func (w *world) writes(ctx context.Context, p *process, g *group) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	t, err := w.cfg.Platform.Caller.Dial(ctx, cwport.Endpoint{Service: "newest-" + g.Service, Address: p.callers}, w.access.key(ownWorkspace))
	if err != nil {
		return false
	}
	defer func() { _ = t.Close() }()
	if t.SetTimeout(2*time.Second) != nil {
		return false
	}
	a, err := ask(t, cwstatement.Command{ID: "check", Verb: cwstatement.Write, Text: "WRITE check 0"})
	return err == nil && a.Code == cwstatement.OK
}

// disturb notes that a fault which was not planned begins or ends.
func (w *world) disturb() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = time.Now()
}

// calm reports whether there was no such fault for a while.
func (w *world) calm(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.disturbed) > d
}

// pause waits. It returns false if ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask sends one command and reads its answer.
func ask(t cwport.Target, c cwstatement.Command) (cwstatement.Response, error) {
	t.Send(c)
	if err := t.Flush(); err != nil {
		return cwstatement.Response{}, err
	}
	return t.Receive()
}
