// Package cwsoak is a fault-injection test: it runs the proxies as processes, injects
// faults from outside of them, and checks what callers and targets observe.
//
// The seed of a run determines the faults, their times and the callers' statements.
// Faults happen one after another and at the same time:
//
//   - Network paths are slow, cut, reset, or silent.
//   - The store is down, slow, loses answers, drops its change history, or is restored
//     from an older snapshot.
//   - Targets stop answering, lose their answers, or receive no replication.
//   - Processes are killed, suspended, resumed, terminated and restarted.
//   - The desired state changes.
//   - Replicas apply records late, the paths between targets or to single instances are
//     cut, a target restarts and forgets that it was fenced, the entry of a running
//     target lapses, and an instance is suspended or killed right after it has promoted
//     a target.
//
// Clocks are not changed: only a privileged process may set them, and the proxies use
// the boot-time clock.
//
// The values of Guarantee are the guarantees that are checked. At the end all faults are
// removed, and the system has to serve every group again.
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

// Store is the stand-in for the platform's store and for the services that carry out
// duties such as promotions.
type Store interface {
	http.Handler
	// PutEntry writes a target's entry.
	PutEntry(l cwport.ListedTarget) error
	// RemoveEntry removes a target's entry, as if it had lapsed.
	RemoveEntry(id string)
	// SetDesiredState writes a desired state, with the keys of each workspace by its name.
	SetDesiredState(c cwcatalogue.Catalogue, keys map[string][]string) error
	// DropChangeHistory forgets all changes so far, so that clients have to read
	// everything again.
	DropChangeHistory()
	// Snapshot takes a snapshot of all rows. Calling restore goes back to the snapshot
	// and loses later changes; calling writeAgain then writes the lost rows of the
	// operator and the targets again.
	Snapshot() (restore func() (writeAgain func()))
}

// Addresses is the part of an instance's settings that differs between instances: its
// name, its data centre, and the addresses that it uses, IP:port.
type Addresses struct{ Instance, DataCentre, Callers, Ready, Peers, Store string }

// Platform is the interface to the users' platform that a soak needs.
type Platform struct {
	// NewStore returns a store that passes promotions to p.
	NewStore func(p cwport.Promoter) Store
	// ServeTarget serves the protocol of a target on a connection. Statements go to
	// sessions that d opens.
	ServeTarget func(id cwgroup.MemberID, d cwport.Dialer, conn net.Conn)
	// Caller opens the sessions of callers.
	Caller cwport.Dialer
	// Settings returns the settings file of an instance.
	Settings func(a Addresses) []byte
	// Command returns the arguments of the program that start an instance with the
	// settings file at a path.
	Command func(settings string) []string
	// GracePeriod is the time between SIGTERM and SIGKILL, and ReadyPath the path of the
	// load balancer's probe.
	GracePeriod time.Duration
	ReadyPath   string
	// MemoryLimit is the memory that an instance may take, in bytes.
	MemoryLimit int64
	// Startup and Query return the messages of a caller that open a session for a database with a
	// key, and that send a statement.
	Startup func(database, key string) []byte
	Query   func(id, text string) []byte
}

// Config is the configuration of one run.
type Config struct {
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Instances and Groups are the numbers of proxies and groups, Callers is the
	// number of concurrent callers.
	Instances, Groups, Callers int
	// Keyless runs without keys, workspaces and quotas. Connections to targets then
	// carry the name of their instance, so that the path between one instance and one
	// target can be cut.
	Keyless bool
	// Program is the path of the proxy program, Dir the folder for settings and logs.
	Program, Dir string
	// Stops runs planned stops only, one after the other and at the same time, before
	// callers that go on coming, and statements that take their time.
	Stops bool
	// Replacements also replaces targets as planned, cuts data centres off, makes replicas
	// receive nothing, and lets primaries crash. Synchronous makes a primary answer a commit
	// only once a replica has received it.
	Replacements, Synchronous bool
	// Memory runs callers that make instances hold as much memory as they can, beside the others.
	Memory   bool
	Platform Platform
	Log      *log.Logger
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Faults is the number of injected faults.
	Faults int
	// Acknowledged, WithoutEffect and Unresolved are the numbers of writes and
	// transactions that were acknowledged, that had no effect because they were refused,
	// rolled back or interrupted before their COMMIT, and whose outcome is unknown.
	Acknowledged  int
	WithoutEffect int
	Unresolved    int
	// Reads is the number of reads outside of transactions.
	Reads int
	// Stopped is the number of planned stops of an instance, and Crossed the number of
	// statements that crossed the end of their session: the instance had not read them.
	Stopped, Crossed int
	// Memory has a result for each form of callers that make instances hold memory.
	Memory     []MemoryResult
	Violations []Violation
}

// recoveryTimeout is the time within which the system has to serve everything again
// after all faults are removed: claims expire after 2 s, a promotion takes 1 s, and
// unreachable targets are tried again within 1 s.
const recoveryTimeout = 20 * time.Second

// restoreStream is the PCG stream that restores of the store are drawn from. Stream 0 is
// used for the other faults, and the streams from 1 on for callers.
const restoreStream = 1 << 32

// memberStream is the PCG stream that faults of members are drawn from.
const memberStream = 2 << 32

// Run runs one soak. It returns an error if the run could not be carried out; violated
// guarantees are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	env, err := newEnvironment(cfg)
	if err != nil {
		return Report{}, err
	}
	defer env.stop()
	reportCtx, stopReports := context.WithCancel(ctx)
	defer stopReports()
	go env.runRoleReports(reportCtx)
	if err := env.waitReady(ctx); err != nil {
		return Report{}, err
	}
	faultCtx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	play := env.playFaults
	switch {
	case cfg.Stops:
		play = env.playStops
	case cfg.Memory:
		play = env.playMemory
	}
	p, err := play(faultCtx)
	if err != nil {
		return Report{}, err
	}
	env.checkRecovery(ctx)
	if !cfg.Stops && !cfg.Memory {
		env.checkAfterRestore(ctx)
	}
	env.ledger.checkGroups(env.groups)
	env.ledger.checkReads(env.groups)
	env.ledger.checkUnanswered(env.groups)
	env.checkWorkspaces()
	r := env.ledger.report()
	r.Seed, r.Faults, r.Stopped, r.Memory = cfg.Seed, p.faults, p.stopped, p.memory
	return r, nil
}

// played counts the faults, or series of stops, of a run, and the instances that were
// stopped as planned in a run with planned stops only.
type played struct {
	faults, stopped int
	memory          []MemoryResult
}

// playFaults runs callers and injects faults until ctx ends, and ends all faults.
func (env *environment) playFaults(ctx context.Context) (played, error) {
	seed := env.cfg.Seed
	eg, ctx := errgroup.WithContext(ctx)
	for i := range env.cfg.Callers {
		c := &caller{env: env, id: i, rand: rand.New(rand.NewPCG(seed, uint64(i)+1))}
		eg.Go(func() error { return c.run(ctx) })
	}
	f := &faultInjector{
		env: env, rand: rand.New(rand.NewPCG(seed, 0)), restoreRand: rand.New(rand.NewPCG(seed, restoreStream)),
		memberRand: rand.New(rand.NewPCG(seed, memberStream)), active: make(map[string]func()),
	}
	eg.Go(func() error { return f.run(ctx) })
	if env.cfg.Replacements {
		r := &replacer{faultInjector: f, rand: rand.New(rand.NewPCG(seed, replacementStream))}
		eg.Go(func() error { return r.run(ctx) })
	} else {
		// A restore would bring back the entries of targets that have ended.
		eg.Go(func() error { return f.runRestores(ctx) })
	}
	eg.Go(func() error { return f.runMemberFaults(ctx) })
	eg.Go(func() error { return env.runDesiredStates(ctx) })
	eg.Go(func() error { return env.takeSnapshots(ctx) })
	if err := eg.Wait(); err != nil {
		return played{}, err
	}
	f.endAll()
	return played{faults: f.injected}, nil
}
