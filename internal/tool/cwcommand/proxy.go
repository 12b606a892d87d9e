package cwcommand

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"cicadawalk.example/cicadawalk/internal/proxy/cwpgproxy"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// proxyFlags holds the flags of the proxy command.
type proxyFlags struct {
	instance, dataCentre           string
	listen, peerListen, httpListen string
	platform, logLevel             string
	peers                          []string
	listLag, drainTimeout          time.Duration
	memoryLimitMB                  int64
}

func proxyCommand() *cobra.Command {
	var p proxyFlags
	cmd := &cobra.Command{
		Use:   "proxy",
		Short: "Run the proxy",
		Long: `Runs one proxy until SIGTERM or SIGINT. It then accepts no more callers, waits up
to --drain-timeout for statements and transactions in progress, and exits with
code 0. Every flag can also be set by an environment variable.`,
		Example: `  cicadawalk proxy --instance entry-1 --data-centre hall-rufino \
    --listen 127.0.1.1:6543 --peer-listen 127.0.1.1:6544 --http-listen 127.0.1.1:6545 \
    --platform http://127.0.0.1:7000`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSettings(cmd, p.validate); err != nil {
				return err
			}
			return p.run(cmd)
		},
	}
	p.register(cmd)
	return cmd
}

func (p *proxyFlags) register(cmd *cobra.Command) {
	fs := cmd.Flags()
	fs.StringVar(&p.instance, "instance", "", "id of this instance in the platform's list of instances")
	fs.StringVar(&p.dataCentre, "data-centre", "", "data centre that this instance runs in")
	fs.StringVar(&p.listen, "listen", "127.0.0.1:6543", "address that callers connect to, IP:port")
	fs.StringVar(&p.peerListen, "peer-listen", "127.0.0.1:6544", "address that other proxies connect to, IP:port")
	fs.StringVar(&p.httpListen, "http-listen", "127.0.0.1:6545", "HTTP address of metrics, health and status, IP:port")
	fs.StringVar(&p.platform, "platform", "", "URL of the platform's table service")
	fs.StringSliceVar(&p.peers, "peers", nil, "addresses of other proxies to query while the platform is unavailable, IP:port each")
	fs.DurationVar(&p.listLag, "list-lag", 3*time.Second, "greatest delay of the platform's list of instances")
	fs.DurationVar(&p.drainTimeout, "drain-timeout", 30*time.Second, "greatest time that a shutdown waits for work in progress")
	fs.Int64Var(&p.memoryLimitMB, "memory-limit-mb", 2048, "memory that the process may take, in MiB, a quarter of which callers may make it hold; 0 for no limit")
	fs.StringVar(&p.logLevel, "log-level", "info", "debug, info, warn or error")
}

func (p *proxyFlags) validate(s *flagChecker) {
	s.requireNonEmpty("instance", "the id of this instance")
	s.require("instance", !strings.ContainsAny(p.instance, " '=\""), "no spaces, quotes or =")
	s.requireNonEmpty("data-centre", "the name of a data centre in the catalogue")
	s.requireAddress("listen")
	s.requireAddress("peer-listen")
	s.requireAddress("http-listen")
	s.requireURL("platform")
	for _, a := range p.peers {
		_, err := netip.ParseAddrPort(a)
		s.require("peers", err == nil, "IP addresses and ports, separated by commas")
	}
	s.require("list-lag", p.listLag >= 0 && p.listLag <= 10*time.Minute, "0s to 10m")
	s.require("drain-timeout", p.drainTimeout > 0 && p.drainTimeout <= time.Hour, "more than 0s, up to 1h")
	s.require("memory-limit-mb", p.memoryLimitMB >= 0 && p.memoryLimitMB <= 1<<20, "0 to 1048576")
	_, err := log.ParseLevel(p.logLevel)
	s.require("log-level", err == nil, "debug, info, warn or error")
}

func (p *proxyFlags) run(cmd *cobra.Command) error {
	ignoreSignals()
	level, err := log.ParseLevel(p.logLevel)
	if err != nil {
		return err
	}
	client := &cwplatform.Client{URL: strings.TrimRight(p.platform, "/")}
	node, err := cwpgproxy.New(cwpgproxy.Config{
		Instance:     p.instance,
		DataCentre:   p.dataCentre,
		Listen:       p.listen,
		PeerListen:   p.peerListen,
		HTTPListen:   p.httpListen,
		Table:        client,
		Instances:    client,
		Peers:        p.peers,
		ListLag:      p.listLag,
		DrainTimeout: p.drainTimeout,
		MemoryLimit:  p.memoryLimitMB << 20,
		Clock:        clockwork.NewRealClock(),
		Log:          newLogger(cmd, level),
		RunID:        fmt.Sprintf("%x-%d", time.Now().UnixNano(), os.Getpid()),
	})
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	return node.Run(cmd.Context())
}

// newLogger returns a logger that writes logfmt lines to standard error.
func newLogger(cmd *cobra.Command, level log.Level) *log.Logger {
	return log.NewWithOptions(cmd.ErrOrStderr(), log.Options{
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Level:           level,
	})
}
