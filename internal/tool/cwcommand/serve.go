package cwcommand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"cicadawalk.example/cicadawalk/internal/proxy/cwclock"
	"cicadawalk.example/cicadawalk/internal/proxy/cwdirectory"
	"cicadawalk.example/cicadawalk/internal/proxy/cwinstance"
	"cicadawalk.example/cicadawalk/internal/proxy/cwlog"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/platform"
)

// Times of connections to the platform.
const (
	// connectTimeout bounds a new connection to the platform.
	connectTimeout = time.Second
	// keepAliveIdle, keepAliveEvery and keepAliveCount let a connection that
	// went silent be noticed within about three seconds, less than the time in
	// which a new desired state must be in force.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
)

func serveCommand() *cobra.Command {
	var settings, metrics, logLevel string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run the proxy on the users' platform",
		Long: `Runs one proxy on the users' platform until SIGTERM; then it takes no more
callers, lets sessions end within the platform's grace, and exits with code 0.
The platform's settings file names the addresses; SIGHUP reads it again.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			level, err := log.ParseLevel(logLevel)
			if err != nil {
				return &ExitError{Code: ExitUsage, Cause: err}
			}
			return serve(cmd, settings, metrics, level)
		},
	}
	fs := cmd.Flags()
	fs.StringVar(&settings, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file; default is "+platform.SettingsVariable)
	fs.StringVar(&metrics, "metrics-port", "", "port for metrics on this instance's address; none if empty")
	fs.StringVar(&logLevel, "log-level", "info", "debug, info, warn or error")
	return cmd
}

func serve(cmd *cobra.Command, path, metricsPort string, level log.Level) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	clock := cwclock.NewBoot()
	lines := cwlog.NewWriter(cmd.OutOrStdout(), clock)
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		lines.Run(stop)
		close(ended)
	}()
	defer func() {
		close(stop)
		<-ended
	}()
	logger := platformLogger(lines, level)
	reload := &reloader{path: path, now: s, clock: clock, log: logger}
	client := platformClient()
	store := &platform.Store{Address: s.Store, HTTP: client}
	cfg := cwinstance.Config{
		Name:       s.Instance,
		DataCentre: s.DataCentre,
		Callers:    s.Callers,
		Ready:      s.Ready,
		Peers:      s.Peers,
		ReadyPath:  platform.ReadyPath,
		Grace:      s.Grace,
		Waits:      waits(s),
		GoneAfter:  s.DrainBound - goneMargin,
		Turn:       s.HolderTurn,
		Codec:      func(c net.Conn) cwport.Caller { return platform.NewCaller(c) },
		Dialer:     platform.Dialer{Who: s.Instance},
		Source:     store,
		Decoder:    platform.Decoder{},
		Stale:      stale(s),
		Table:      store,
		Era:        store.Era,
		Promoter:   &platform.Duties{Address: s.Duties, HTTP: client},
		Clock:      clock,
		Log:        logger,
		Seed:       fmt.Sprintf("%x-%d", time.Now().UnixNano(), os.Getpid()),

		KeyBound:    s.KeyBound,
		DataCentres: len(s.DataCentres),
		Quota:       s.Quota,
		FirstStart:  s.FirstStart,
	}
	if metricsPort != "" {
		host, _, err := net.SplitHostPort(s.Ready)
		if err != nil {
			return &ExitError{Code: ExitUsage, Cause: err}
		}
		cfg.Metrics = net.JoinHostPort(host, metricsPort)
	}
	// The failure: SIGHUP arrives during a shutdown, nobody listens for it any
	// more, and the process ends at once with its sessions. Signals to reload are
	// therefore taken until the instance has ended.
	reloading, stopReloading := context.WithCancel(context.Background())
	defer stopReloading()
	reload.listen()
	go reload.run(reloading)
	return cwinstance.New(cfg).Run(cmd.Context())
}

// waits returns how long the store may hold questions, so that a lost answer is
// made up for within the platform's bounds.
func waits(s platform.Settings) cwdirectory.PollWaits {
	return cwdirectory.PollWaits{
		Desired: max(minWait, keyed(s, s.StableAfter-lostAnswerMargin, keyWaitShare)),
		Targets: max(minWait, s.DrainBound-2*lostAnswerMargin),
	}
}

// stale returns how old the word of another instance may be. What is left of the
// bound is for a question to the store that is lost, and a second one.
func stale(s platform.Settings) cwdirectory.StaleAfter {
	return cwdirectory.StaleAfter{
		Desired: keyed(s, s.ConfigBound*staleShare/100, keyStaleShare),
		Targets: max(minWait, s.DrainBound-2*lostAnswerMargin),
	}
}

// keyed shortens a time to a share, in percent, of the bound in which a key that
// was taken away must be out of use, where there is one.
//
// The failure: an answer about the desired state is lost or late, the age of
// what an instance knows passes that bound though the store is there, and all
// its callers are refused. Within the share there is time to ask again.
func keyed(s platform.Settings, d time.Duration, share time.Duration) time.Duration {
	if s.KeyBound == 0 {
		return d
	}
	return min(d, s.KeyBound*share/100)
}

const (
	// keyWaitShare and keyStaleShare are such shares for the wait of a question
	// to the store, and for the age at which another instance's word is no longer
	// relied on.
	keyWaitShare  = 45
	keyStaleShare = 60
	// staleShare is the share of the time in which a desired state must be in
	// force, in percent, that an instance relies on others alone.
	staleShare = 70
	// lostAnswerMargin is the time to notice a lost answer and ask again.
	lostAnswerMargin = time.Second
	// goneMargin is how long before the platform's bound work at a target without
	// an entry must stop: a statement that is on its way then has ended.
	goneMargin = 2 * time.Second
	// minWait keeps the number of questions bounded where the bounds are tight.
	minWait = time.Second
)

// platformClient returns the HTTP client for the platform's services.
func platformClient() *http.Client {
	d := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
	}}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 8}}
}

// platformLogger writes to standard output, where the platform collects logs.
func platformLogger(w io.Writer, level log.Level) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Level:           level,
	})
}
