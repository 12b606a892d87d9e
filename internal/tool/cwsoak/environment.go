package cwsoak

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
	"cicadawalk.example/cicadawalk/internal/standin/cwreplicaset"
)

// Error is the class of errors that prevent a run, as opposed to violations.
var Error = errs.Class("soak")

// Properties of the targets and the store, and time limits of the checks.
const (
	membersPerGroup      = 3
	connectionsPerTarget = 24
	slotsPerTarget       = 3
	// promotionDuration is how long a target takes to become the primary.
	promotionDuration = 600 * time.Millisecond
	// replacedPrimaryLingers is how long a replaced primary keeps its role after it
	// can reach the new one.
	replacedPrimaryLingers = time.Second
	// maxAge is the age of data that aged reads accept.
	maxAge = 1500 * time.Millisecond
	// readyTimeout is the time within which all instances must serve all groups after
	// the start.
	readyTimeout = 20 * time.Second
	// desiredStateInterval is the interval between two desired states.
	desiredStateInterval = 1500 * time.Millisecond
	// snapshotInterval is the interval between two snapshots of the store, and
	// maxSnapshots how many are kept; the oldest is about three seconds old.
	snapshotInterval = 500 * time.Millisecond
	maxSnapshots     = 6
	// maxRewriteDelay is the greatest delay after which the operator and the targets
	// write again what the store has lost in a restore.
	maxRewriteDelay = 500 * time.Millisecond
	// applyTimeout is the time within which a desired state must be in force at every
	// instance.
	applyTimeout = 3 * time.Second
)

// group is a group of targets with the network paths to them and their entries in the
// store.
type group struct {
	*cwreplicaset.Group

	mu sync.Mutex
	// ids are the targets that are running and not leaving, and added is the number of all
	// so far. Links and entries are kept.
	ids     []cwgroup.MemberID
	added   int
	links   map[cwgroup.MemberID]*cwlink.Link
	entries map[cwgroup.MemberID]*entry
}

// targets returns the targets that are running and not leaving.
func (g *group) targets() []cwgroup.MemberID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.ids)
}

// link returns the network path to a target.
func (g *group) link(id cwgroup.MemberID) *cwlink.Link {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links[id]
}

// entry returns the entry of a target.
func (g *group) entry(id cwgroup.MemberID) *entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.entries[id]
}

// allTargets returns all targets so far, also those that have ended.
func (g *group) allTargets() []cwgroup.MemberID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.entries))
}

// environment is the proxies, their targets and store, the network paths between them,
// and the records of what callers were told.
type environment struct {
	cfg         Config
	ledger      *ledger
	store       Store
	faultyStore *faultyStore
	groups      []*group
	instances   []*process
	// storeLinks are the network paths of the instances to the store.
	storeLinks []*cwlink.Link
	access     *access
	cleanups   []func()
	// served counts what ordinary callers were served.
	served served

	mu sync.Mutex
	// revision is the revision of the newest desired state.
	revision int
	// disturbedAt is when an unplanned fault last began or ended.
	disturbedAt time.Time
	// snapshots restore the latest snapshots of the store, the oldest first.
	snapshots []func() (writeAgain func())
	// onPromotion, if set, is called once, with the name of the next instance that
	// promotes a target.
	onPromotion func(instance string)
}

// promoter passes promotions to the group of the target.
type promoter struct{ env *environment }

// Promote implements cwport.Promoter.
func (p promoter) Promote(ctx context.Context, promotion cwport.Promotion) error {
	for _, g := range p.env.groups {
		if g.Service == promotion.Service {
			defer p.env.runPromotionHook(promotion.Holder)
			return g.Promote(ctx, promotion)
		}
	}
	return &cwport.RefusedError{Code: cwstatement.WrongTarget, Detail: promotion.Service}
}

// runPromotionHook calls onPromotion, if set, and clears it.
func (env *environment) runPromotionHook(instance string) {
	env.mu.Lock()
	f := env.onPromotion
	env.onPromotion = nil
	env.mu.Unlock()
	if f != nil {
		f(instance)
	}
}

// newEnvironment starts everything. On an error it stops what it has started.
func newEnvironment(cfg Config) (*environment, error) {
	env := &environment{cfg: cfg, ledger: newLedger(), access: newAccess(cfg.Keyless), disturbedAt: time.Now()}
	if err := env.build(); err != nil {
		env.stop()
		return nil, Error.Wrap(err)
	}
	return env, nil
}

// build starts the store, the groups and the instances, and writes the first desired state.
func (env *environment) build() error {
	env.store = env.cfg.Platform.NewStore(promoter{env: env})
	env.faultyStore = &faultyStore{next: env.store}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: env.faultyStore, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	env.cleanups = append(env.cleanups, func() { _ = srv.Close() })
	for i := range env.cfg.Groups {
		if err := env.addGroup(fmt.Sprintf("group%d", i)); err != nil {
			return err
		}
	}
	if err := env.writeDesiredState(); err != nil {
		return err
	}
	for i := range env.cfg.Instances {
		if err := env.addInstance(i, ln.Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

// addGroup starts the targets of a group, each behind a network path that faults can
// affect.
func (env *environment) addGroup(name string) error {
	g := &group{links: make(map[cwgroup.MemberID]*cwlink.Link), entries: make(map[cwgroup.MemberID]*entry)}
	for i := range membersPerGroup {
		g.ids = append(g.ids, cwgroup.MemberID(fmt.Sprintf("%s-%d", name, i)))
	}
	g.Group = cwreplicaset.NewGroup(name, g.ids...)
	clock := clockwork.NewRealClock()
	g.SetPromotionDelay(promotionDuration, clock)
	g.SetStepDownDelay(replacedPrimaryLingers, clock)
	g.HangOnCuts(clock)
	if env.cfg.Stops {
		g.SetWorkTime(env.workTime, clock)
	}
	if env.cfg.Synchronous {
		g.SetSynchronous(clock)
	}
	for i, id := range g.ids {
		if err := env.serve(g, id, dataCentreName(i)); err != nil {
			return err
		}
	}
	env.groups = append(env.groups, g)
	return nil
}

// serve starts to serve a target of a group and writes its entry.
func (env *environment) serve(g *group, id cwgroup.MemberID, dataCentre string) error {
	g.LimitConnections(id, connectionsPerTarget)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go env.serveTarget(ln, id, g.DialerFrom(""))
	l, err := cwlink.Start("127.0.0.1:0", ln.Addr().String())
	if err != nil {
		return err
	}
	env.mu.Lock()
	env.cleanups = append(env.cleanups, func() { _ = ln.Close() }, l.Stop)
	env.mu.Unlock()
	g.mu.Lock()
	g.added++
	g.links[id] = l
	g.entries[id] = &entry{listing: cwport.ListedTarget{ID: id, Service: g.Service, Address: l.Addr(), DataCentre: dataCentre, Slots: slotsPerTarget}}
	g.mu.Unlock()
	return env.reportRole(g, id)
}

func dataCentreName(i int) string { return fmt.Sprintf("dc%d", i%membersPerGroup) }

// DataCentres returns the names of the data centres of a soak.
func DataCentres() []string {
	var all []string
	for i := range membersPerGroup {
		all = append(all, dataCentreName(i))
	}
	return all
}

// serveTarget serves the connections to a target until ln is closed.
func (env *environment) serveTarget(ln net.Listener, id cwgroup.MemberID, d cwport.Dialer) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go env.cfg.Platform.ServeTarget(id, d, conn)
	}
}

// addInstance starts an instance behind its own network path to the store.
func (env *environment) addInstance(i int, store string) error {
	l, err := cwlink.Start("127.0.0.1:0", store)
	if err != nil {
		return err
	}
	env.storeLinks = append(env.storeLinks, l)
	env.cleanups = append(env.cleanups, l.Stop)
	a := Addresses{Instance: fmt.Sprintf("front%d", i), DataCentre: dataCentreName(i), Store: l.Addr()}
	a.Callers, a.Ready, a.Peers = instanceAddress(i, 7001), instanceAddress(i, 7002), instanceAddress(i, 7003)
	settings := filepath.Join(env.cfg.Dir, a.Instance+".json")
	if err := os.WriteFile(settings, env.cfg.Platform.Settings(a), 0o600); err != nil {
		return err
	}
	p := &process{
		name: a.Instance, dataCentre: a.DataCentre, program: env.cfg.Program, args: env.cfg.Platform.Command(settings),
		logFile: filepath.Join(env.cfg.Dir, a.Instance+".log"), callerAddress: a.Callers, readyAddress: a.Ready,
	}
	if err := p.start(); err != nil {
		return err
	}
	env.instances = append(env.instances, p)
	env.cleanups = append(env.cleanups, p.stop)
	return nil
}

// instanceAddress returns a loopback address whose IP address only one instance of one
// run uses.
//
// On a shared IP address, an outgoing connection of another process can take a port that
// was free a moment ago; the instance cannot listen, and the run fails without a fault
// of the proxies. No outgoing connection uses the IP addresses of instances. The second
// byte depends on the process id, so that concurrent runs use different addresses.
func instanceAddress(instance, port int) string {
	const firstNet, nets = 10, 200
	return fmt.Sprintf("127.%d.%d.1:%d", firstNet+os.Getpid()%nets, instance, port)
}

// stop stops everything, in the reverse order of the start.
func (env *environment) stop() {
	for i := len(env.cleanups) - 1; i >= 0; i-- {
		env.cleanups[i]()
	}
}

// readRules are the databases that each group has, one for each read rule.
var readRules = []struct {
	prefix string
	rule   cwcatalogue.ReadConsistency
}{
	{"newest-", cwcatalogue.ReadLatest},
	{"aged-", cwcatalogue.ReadBoundedStaleness},
	{"own-", cwcatalogue.ReadYourWrites},
}

// takeSnapshots takes snapshots of the store until ctx ends.
func (env *environment) takeSnapshots(ctx context.Context) error {
	for sleep(ctx, snapshotInterval) {
		c := env.store.Snapshot()
		env.mu.Lock()
		env.snapshots = append(env.snapshots, c)
		if len(env.snapshots) > maxSnapshots {
			env.snapshots = env.snapshots[1:]
		}
		env.mu.Unlock()
	}
	return nil
}

// restore makes the store go back to a snapshot; age 0 is the newest, 1 the one before
// it. The rows that the operator and the targets had written are written again after a
// delay.
func (env *environment) restore(age int, after time.Duration) {
	env.mu.Lock()
	if len(env.snapshots) == 0 {
		env.mu.Unlock()
		return
	}
	i := max(0, len(env.snapshots)-1-age)
	restore := env.snapshots[i]
	env.snapshots = env.snapshots[:i]
	env.mu.Unlock()
	writeAgain := restore()
	time.AfterFunc(after, writeAgain)
}

// checkAfterRestore restores the oldest snapshot of the store and checks that the next
// desired state is in force at each instance within applyTimeout. It runs after all other
// faults, which could also delay an instance.
func (env *environment) checkAfterRestore(ctx context.Context) {
	env.faultyStore.set(func(s *faultyStore) { s.down = true })
	sleep(ctx, snapshotInterval)
	env.restore(maxSnapshots, 0)
	env.faultyStore.set(func(s *faultyStore) { s.down = false })
	if err := env.writeDesiredState(); err != nil {
		env.ledger.addViolation(DesiredStateOutdated, "%v", err)
		return
	}
	end := time.Now().Add(applyTimeout)
	for _, p := range env.instances {
		for !env.hasRevision(ctx, p, env.revision) {
			if !sleep(ctx, 20*time.Millisecond) {
				// The run was cancelled, so the check has no result.
				return
			}
			if time.Now().After(end) {
				env.ledger.addViolation(DesiredStateOutdated, "%s does not have desired state %d", p.name, env.revision)
				break
			}
		}
	}
}

// waitReady waits until each instance serves each group; it fails after readyTimeout.
func (env *environment) waitReady(ctx context.Context) error {
	if missing := env.findUnserved(ctx, readyTimeout); missing != "" {
		return Error.New("not ready: %s", missing)
	}
	return nil
}

// checkRecovery checks that each instance serves each group within recoveryTimeout.
func (env *environment) checkRecovery(ctx context.Context) {
	// A run that was cancelled has no result.
	if missing := env.findUnserved(ctx, recoveryTimeout); missing != "" && ctx.Err() == nil {
		env.ledger.addViolation(NotRecovered, "%s", missing)
	}
}

// findUnserved waits until a write to each group succeeds through each instance. It
// returns a description of the first one that does not succeed within the time limit;
// empty if all do.
func (env *environment) findUnserved(ctx context.Context, within time.Duration) string {
	end := time.Now().Add(within)
	for _, p := range env.instances {
		for _, g := range env.groups {
			for !env.canWrite(ctx, p, g) {
				if time.Now().After(end) || !sleep(ctx, 50*time.Millisecond) {
					return p.name + " does not write to " + g.Service
				}
			}
		}
	}
	return ""
}

// canWrite reports whether a write to a group through an instance succeeds.
func (env *environment) canWrite(ctx context.Context, p *process, g *group) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	t, err := env.cfg.Platform.Caller.Dial(ctx, cwport.Endpoint{Service: "newest-" + g.Service, Address: p.callerAddress}, env.access.currentKey(soakWorkspace))
	if err != nil {
		return false
	}
	defer func() { _ = t.Close() }()
	if t.SetTimeout(2*time.Second) != nil {
		return false
	}
	a, err := roundTrip(t, cwstatement.Command{ID: "check", Verb: cwstatement.Write, Text: "WRITE " + probeItem + " " + writtenText(probeItem, 0)})
	return err == nil && a.Code == cwstatement.OK
}

// markDisturbed records that an unplanned fault begins or ends now.
func (env *environment) markDisturbed() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.disturbedAt = time.Now()
}

// undisturbedFor reports whether no unplanned fault has begun or ended for a duration.
func (env *environment) undisturbedFor(d time.Duration) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return time.Since(env.disturbedAt) > d
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// roundTrip sends one command and reads its answer.
func roundTrip(t cwport.TargetConn, c cwstatement.Command) (cwstatement.Response, error) {
	t.Send(c)
	if err := t.Flush(); err != nil {
		return cwstatement.Response{}, err
	}
	return t.Receive()
}
