package cwcommand

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/tool/cwsoak"
	"cicadawalk.example/cicadawalk/platform"
)

// soakFlags holds the flags of cicadasoak.
type soakFlags struct {
	program, dir               string
	firstSeed                  uint64
	seeds                      int
	duration                   time.Duration
	instances, groups, callers int
	keyless, stops, verbose    bool
	replacements, synchronous  bool
	memory                     bool
}

// SoakCommand returns the root command of the program cicadasoak.
func SoakCommand() *cobra.Command {
	var f soakFlags
	cmd := &cobra.Command{
		Use:   "cicadasoak",
		Short: "Inject random faults into running proxies and check what callers see",
		Long: `Starts proxies as processes against stand-ins for databases and the platform,
injects faults from outside, and checks the consistency guarantees. Prints one line
for each seed and one for each violated guarantee; exits with code 1 if there is
any.`,
		Example: `  go build -o bin/ ./cmd/...
  bin/cicadasoak --program bin/cicadawalk --seeds 50
  bin/cicadasoak --program bin/cicadawalk --first-seed 7 --seeds 1 --verbose`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return runSoak(cmd, f) },
	}
	fs := cmd.Flags()
	fs.StringVar(&f.program, "program", "bin/cicadawalk", "path of the proxy program")
	fs.StringVar(&f.dir, "dir", "", "folder for settings and logs; if empty, a temporary one that is removed unless a guarantee is violated")
	fs.Uint64Var(&f.firstSeed, "first-seed", 0, "first seed; taken from the current time if 0")
	fs.IntVar(&f.seeds, "seeds", 1, "number of runs; each uses the next seed")
	fs.DurationVar(&f.duration, "duration", 15*time.Second, "how long each run injects faults")
	fs.IntVar(&f.instances, "instances", 9, "number of proxies")
	fs.IntVar(&f.groups, "groups", 2, "number of groups of three databases")
	fs.IntVar(&f.callers, "callers", 24, "number of concurrent callers")
	fs.BoolVar(&f.keyless, "keyless", false, "run without keys and quotas, and also cut paths between single proxies and databases")
	fs.BoolVar(&f.replacements, "replacements", false, "also replace databases as planned, cut data centres off, let replicas receive nothing and primaries crash; with keys, single proxies are not cut off from databases")
	fs.BoolVar(&f.synchronous, "synchronous", false, "let primaries answer a commit only once a replica has received it")
	fs.BoolVar(&f.stops, "stops", false, "inject planned stops only, before callers that go on coming and databases that take their time")
	fs.BoolVar(&f.memory, "memory", false, "run callers that make proxies hold as much memory as they can, beside the others, and no faults")
	fs.BoolVar(&f.verbose, "verbose", false, "log each fault")
	return cmd
}

func runSoak(cmd *cobra.Command, f soakFlags) error {
	if f.seeds < 1 || f.instances < 1 || f.groups < 1 || f.callers < 1 || f.duration <= 0 {
		return &ExitError{Code: ExitUsage, Err: &InvalidFlagsError{Text: "seeds, instances, groups, callers and duration must be greater than 0"}}
	}
	if f.firstSeed == 0 {
		f.firstSeed = uint64(time.Now().UnixNano())
	}
	violations := 0
	for i := range f.seeds {
		n, err := runSoakSeed(cmd, f, f.firstSeed+uint64(i))
		if err != nil {
			return &ExitError{Code: ExitFailed, Err: err}
		}
		violations += n
	}
	if violations > 0 {
		return &ExitError{Code: ExitFailed, Err: &ViolationsError{Violations: violations}}
	}
	return nil
}

// runSoakSeed runs the soak with one seed and returns the number of violations. A
// temporary folder is removed if there are none.
func runSoakSeed(cmd *cobra.Command, f soakFlags, seed uint64) (int, error) {
	dir := f.dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "cicadasoak"); err != nil {
			return 0, err
		}
	} else {
		dir = filepath.Join(dir, strconv.FormatUint(seed, 10))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return 0, err
		}
	}
	logger := log.NewWithOptions(cmd.ErrOrStderr(), log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Level: log.WarnLevel})
	if f.verbose {
		logger.SetLevel(log.InfoLevel)
	}
	r, err := cwsoak.Run(cmd.Context(), cwsoak.Config{
		Seed: seed, Duration: f.duration, Instances: f.instances, Groups: f.groups, Callers: f.callers,
		Keyless: f.keyless, Stops: f.stops, Replacements: f.replacements, Memory: f.memory, Synchronous: f.synchronous, Program: f.program, Dir: dir, Platform: soakPlatform(), Log: logger,
	})
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "seed=%d faults=%d acknowledged=%d refused=%d unresolved=%d reads=%d stopped=%d crossed=%d broken=%d dir=%s\n",
		r.Seed, r.Faults, r.Acknowledged, r.WithoutEffect, r.Unresolved, r.Reads, r.Stopped, r.Crossed, len(r.Violations), dir)
	for _, m := range r.Memory {
		fmt.Fprintf(cmd.OutOrStdout(), "memory seed=%d form=%s peakMB=%d servedPercent=%d\n", r.Seed, m.Form, m.PeakBytes>>20, m.ServedPercent)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(cmd.OutOrStdout(), "broken seed=%d promise=%s what=%q\n", r.Seed, v.Guarantee, v.Detail)
	}
	if len(r.Violations) == 0 && f.dir == "" {
		return 0, os.RemoveAll(dir)
	}
	return len(r.Violations), nil
}

// soakBounds returns the limits that the soak checks, for the instances' settings.
func soakBounds() platform.StandinOptions {
	return platform.StandinOptions{
		DataCentres: cwsoak.DataCentres(), KeyBound: cwsoak.KeyRevocationBound,
		Quota: cwcatalogue.QuotaTolerance{Window: cwsoak.QuotaWindow, Overage: cwsoak.QuotaOverage, Slack: cwsoak.QuotaSlack},
	}
}

// soakPlatform connects the soak to the users' platform: its stand-in store and
// databases, its protocol for callers, and its settings file.
func soakPlatform() cwsoak.Platform {
	return cwsoak.Platform{
		NewStore: func(p cwport.Promoter) cwsoak.Store { return platform.NewStandinStore(p) },
		ServeTarget: func(id cwgroup.MemberID, d cwport.Dialer, conn net.Conn) {
			platform.StandinDatabase{ID: id, Dialer: d}.Serve(conn)
		},
		Caller: platform.Dialer{InstanceName: "soak"},
		Settings: func(a cwsoak.Addresses) []byte {
			return platform.StandinSettings(a.Instance, a.DataCentre, a.Callers, a.Ready, a.Peers, a.Store, soakBounds())
		},
		MemoryLimit: platform.StandinMemoryLimit, Startup: platform.StandinStartup, Query: platform.StandinQuery,
		GracePeriod: platform.StandinGracePeriod, ReadyPath: platform.ReadyPath,
		Command: func(settings string) []string { return []string{"serve", "--settings", settings} },
	}
}

// InvalidFlagsError reports invalid flags of cicadasoak.
type InvalidFlagsError struct{ Text string }

func (e *InvalidFlagsError) Error() string { return e.Text }

// ViolationsError reports the number of guarantees that were violated in a soak.
type ViolationsError struct{ Violations int }

func (e *ViolationsError) Error() string {
	return fmt.Sprintf("%d guarantees were violated", e.Violations)
}
