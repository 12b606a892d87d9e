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

// Timeouts of connections to the platform.
const (
	// connectTimeout is the timeout for opening a connection.
	connectTimeout = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount make TCP keep-alive
	// detect a dead connection within about three seconds, which is less than the
	// time in which a new desired state must be in force.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

func serveCommand() *cobra.Command {
	var settings, metrics, logLevel string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run the proxy on the users' platform",
		Long: `Runs one proxy on the users' platform until SIGTERM. It then accepts no more
callers, lets sessions end within the platform's grace period, and exits with code
0. The platform's settings file contains the addresses; SIGHUP reads it again, and
changes take effect at the next start.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			level, err := log.ParseLevel(logLevel)
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			return serve(cmd, settings, metrics, level)
		},
	}
	fs := cmd.Flags()
	fs.StringVar(&settings, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file; the default is the value of "+platform.SettingsVariable)
	fs.StringVar(&metrics, "metrics-port", "", "port for metrics on this instance's address; none if empty")
	fs.StringVar(&logLevel, "log-level", "info", "debug, info, warn or error")
	return cmd
}

// serve runs an instance with the settings file at path until the command's context
// ends.
func serve(cmd *cobra.Command, path, metricsPort string, level log.Level) error {
	ignoreSignals()
	s, err := platform.LoadSettings(path)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	clock := cwclock.NewBootClock()
	logWriter := cwlog.NewWriter(cmd.OutOrStdout(), clock)
	stopLog, logDone := make(chan struct{}), make(chan struct{})
	go func() {
		logWriter.Run(stopLog)
		close(logDone)
	}()
	defer func() {
		close(stopLog)
		<-logDone
	}()
	logger := platformLogger(logWriter, level)
	reload := &reloader{path: path, current: s, clock: clock, log: logger}
	client := platformClient()
	store := &platform.Store{Address: s.Store, HTTP: client}
	cfg := cwinstance.Config{
		Name:              s.Instance,
		DataCentre:        s.DataCentre,
		CallerListen:      s.Callers,
		ReadyListen:       s.Ready,
		PeerListen:        s.Peers,
		Capacity:          s.Capacity,
		ReadyPath:         platform.ReadyPath,
		GracePeriod:       s.Grace,
		PollWaits:         pollWaits(s),
		RemovalDelay:      s.DrainBound - removalMargin,
		MinHolderInterval: s.HolderTurn,
		NewCallerConn:     func(c net.Conn) cwport.CallerConn { return platform.NewCaller(c) },
		Dialer:            platform.Dialer{InstanceName: s.Instance},
		Source:            store,
		Decoder:           platform.Decoder{},
		StaleAfter:        staleAfter(s),
		Table:             store,
		Era:               store.Era,
		Promoter:          platform.NewPromotionClient(s.Duties),
		Clock:             clock,
		Log:               logger,
		RunID:             fmt.Sprintf("%x-%d", time.Now().UnixNano(), os.Getpid()),

		MemoryLimit:        s.MemoryLimit,
		KeyRevocationBound: s.KeyBound,
		DataCentres:        len(s.DataCentres),
		QuotaTolerance:     s.Quota,
		FirstStart:         s.FirstStart,
	}
	if metricsPort != "" {
		host, _, err := net.SplitHostPort(s.Ready)
		if err != nil {
			return &ExitError{Code: ExitUsage, Err: err}
		}
		cfg.MetricsListen = net.JoinHostPort(host, metricsPort)
	}
	// A SIGHUP that arrives during a shutdown would end the process at once, and its
	// sessions with it, if it were not handled. SIGHUP is therefore handled until
	// the instance has stopped.
	reloadCtx, stopReloading := context.WithCancel(context.Background())
	defer stopReloading()
	reload.registerSignal()
	go reload.run(reloadCtx)
	return cwinstance.New(cfg).Run(cmd.Context())
}

// pollWaits returns how long the store may hold a long poll of each topic. The waits
// are short enough that after a lost answer the next poll is answered within the
// platform's bounds.
func pollWaits(s platform.Settings) cwdirectory.PollWaits {
	return cwdirectory.PollWaits{
		Desired: max(minPollWait, capByKeyBound(s, s.StableAfter-lostAnswerMargin, keyPollPercent)),
		Targets: max(minPollWait, s.DrainBound-2*lostAnswerMargin),
	}
}

// staleAfter returns the age up to which data from another instance is used instead
// of asking the store. The rest of the platform's bound leaves time for a request to
// the store that is lost, and for a second one.
func staleAfter(s platform.Settings) cwdirectory.StaleAfter {
	return cwdirectory.StaleAfter{
		Desired: capByKeyBound(s, s.ConfigBound*stalePercent/100, keyStalePercent),
		Targets: max(minPollWait, s.DrainBound-2*lostAnswerMargin),
	}
}

// capByKeyBound limits d to a percentage of KeyBound, the time within which a revoked
// key must be out of use. It returns d unchanged if there is no such bound.
//
// Without the limit, one lost or late answer about the desired state lets the age of
// the instance's copy exceed KeyBound although the store is available, and the
// instance refuses all its callers. The limit leaves time to ask again.
func capByKeyBound(s platform.Settings, d time.Duration, percent time.Duration) time.Duration {
	if s.KeyBound == 0 {
		return d
	}
	return min(d, s.KeyBound*percent/100)
}

const (
	// keyPollPercent and keyStalePercent are the percentages of KeyBound that limit
	// the wait of a long poll to the store, and the age up to which data from another
	// instance is used.
	keyPollPercent  = 45
	keyStalePercent = 60
	// stalePercent is the percentage of ConfigBound, the time in which a desired state
	// must be in force, for which an instance relies on data from other instances
	// alone.
	stalePercent = 70
	// lostAnswerMargin is the time to detect a lost answer and ask again.
	lostAnswerMargin = time.Second
	// removalMargin is how long before the platform's DrainBound a target without an
	// entry gets no more work, so that statements in progress have ended by then.
	removalMargin = 2 * time.Second
	// minPollWait bounds the rate of requests to the store if the platform's bounds
	// are short.
	minPollWait = time.Second
)

// platformClient returns the HTTP client for the platform's services.
func platformClient() *http.Client {
	d := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 8}}
}

// platformLogger returns a logger that writes logfmt lines to w. The serve command
// passes standard output, which the platform collects.
func platformLogger(w io.Writer, level log.Level) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Level:           level,
	})
}
