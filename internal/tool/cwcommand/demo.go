package cwcommand

import (
	"net/netip"

	"github.com/spf13/cobra"

	"cicadawalk.example/cicadawalk/internal/tool/cwdemo"
)

func demoCommand() *cobra.Command {
	var once, verbose bool
	var listen []string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run proxies and stand-in databases in this process",
		Long: `Starts three stand-in databases, a stand-in of the platform and two proxies in
this process. Without --once it prints a connection string for each proxy and
serves until interrupted. With --once it runs sessions that write, read and move
between the proxies, stops the primary, checks the consistency guarantees, and
prints one key=value line for each result.`,
		Example: "  cicadawalk demo --once\n  cicadawalk demo --listen 127.0.0.1:6543,127.0.0.1:6544",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSettings(cmd, func(s *flagChecker) {
				for _, a := range listen {
					_, err := netip.ParseAddrPort(a)
					s.require("listen", err == nil, "IP addresses and ports, separated by commas")
				}
			}); err != nil {
				return err
			}
			logs := eventWriter(cmd, verbose)
			if once {
				return cwdemo.RunScenario(cmd.Context(), cmd.OutOrStdout(), logs)
			}
			return cwdemo.Serve(cmd.Context(), cmd.OutOrStdout(), logs, listen)
		},
	}
	cmd.Flags().BoolVar(&once, "once", false, "run the scenario, check it and exit")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "print the log lines of the proxies to standard error")
	cmd.Flags().StringSliceVar(&listen, "listen", nil, "addresses of the proxies, IP:port each")
	return cmd
}
