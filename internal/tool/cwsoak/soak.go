// Package cwsoak runs the real proxies as processes, brings faults about from
// outside of them, and checks what callers and targets see.
//
// A run has a seed. From it come the faults, their times and the callers'
// statements: paths that are slow, cut, reset or silent, a store that is down,
// slow or loses answers, targets that go dark or receive nothing, processes that
// are killed, stopped, continued, ended and restarted, changes of the desired
// state, in series and overlapping. Clocks are not touched: only a privileged
// process may set them, and the proxies measure by the boot-time clock.
// The databases misbehave as databases do: replicas are late, paths between them and
// to single instances are cut, one starts again and has forgotten that it was fenced,
// the entry of one that lives lapses, and an instance is held up or killed right after
// it has promoted one.
//
// The promises that are checked stand in the Kind of a Violation. At the end all
// faults are lifted, and the system has to serve again.
package cwsoak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Store is the stand-in for the platform's store and its duties.
type Store interface {
	http.Handler
	List(l cwport.Listing) error
	// Unlist lets a target's entry lapse.
	Unlist(id string)
	// Desire writes a desired state, with the keys of its workspaces.
	Desire(c cwcatalogue.Catalogue, keys map[string][]string) error
	DropHistory()
	// Copy copies all rows. The result goes back to them and loses what came after,
	// and its own result has the operator and the targets write again what they had
	// written.
	Copy() (restore func() (writeAgain func()))
}

// Addresses are what the settings of one instance name, IP:port.
type Addresses struct{ Instance, DataCentre, Callers, Ready, Peers, Store string }

// Platform is the users' platform as far as a soak needs it.
type Platform struct {
	NewStore func(p cwport.Promoter) Store
	// ServeTarget serves a target's protocol on a connection.
	ServeTarget func(id cwgroup.MemberID, d cwport.Dialer, conn net.Conn)
	// Caller opens callers' sessions.
	Caller cwport.Dialer
	// Settings writes the settings of an instance.
	Settings func(a Addresses) []byte
	// Command returns the words after the program's that start an instance.
	Command func(settings string) []string
}

// Config is one run.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// Instances and Groups are how many there are, Callers how many call at
	// once.
	Instances, Groups, Callers int
	// Keyless leaves keys, workspaces and quotas out. Then each connection to a target
	// tells which instance it is of, and paths between the two can be cut.
	Keyless bool
	// Program is the path of the proxy, Dir a folder for settings and logs.
	Program, Dir string
	Platform     Platform
	Log          *log.Logger
}

// Report is what a run found.
type Report struct {
	Seed       uint64
	Faults     int
	Acked      int
	Refused    int
	Unresolved int
	Reads      int
	Violations []Violation
}

// settleFor is how long the system has to serve everything again once all
// faults are lifted: claims live 2 s, promotions take one, and what was found
// lost is tried again within a second.
const settleFor = 20 * time.Second

// restoreStream is the stream of a seed that restores are drawn from; 0 is that of
// the other faults, and callers have those that follow.
const restoreStream = 1 << 32

// memberStream is the stream that what happens among the targets is drawn from.
const memberStream = 2 << 32

// Run plays one soak.
func Run(ctx context.Context, cfg Config) (Report, error) {
	w, err := newWorld(cfg)
	if err != nil {
		return Report{}, err
	}
	defer w.stop()
	entries, stopEntries := context.WithCancel(ctx)
	defer stopEntries()
	go w.loopEntries(entries)
	if err := w.ready(ctx); err != nil {
		return Report{}, err
	}
	run, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	eg, run := errgroup.WithContext(run)
	for i := range cfg.Callers {
		c := &caller{world: w, id: i, rand: rand.New(rand.NewPCG(cfg.Seed, uint64(i)+1))}
		eg.Go(func() error { return c.loop(run) })
	}
	f := &faults{world: w, rand: rand.New(rand.NewPCG(cfg.Seed, 0)), restores: rand.New(rand.NewPCG(cfg.Seed, restoreStream)), members: rand.New(rand.NewPCG(cfg.Seed, memberStream)), active: make(map[string]func())}
	eg.Go(func() error { return f.loop(run) })
	eg.Go(func() error { return f.loopRestores(run) })
	eg.Go(func() error { return f.loopMembers(run) })
	eg.Go(func() error { return w.loopVersions(run) })
	eg.Go(func() error { return w.loopCopies(run) })
	if err := eg.Wait(); err != nil {
		return Report{}, err
	}
	f.lift()
	w.recover(ctx)
	w.endRestored(ctx)
	w.ledger.settle(w.groups)
	w.ledger.checkReads(w.groups)
	w.checkAccess()
	r := w.ledger.report()
	r.Seed, r.Faults = cfg.Seed, f.played
	return r, nil
}
