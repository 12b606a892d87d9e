// Package cwstandin implements cicadastandin, the command line of the stand-ins:
// it runs an emulated database, platform or network path in a process of its own.
package cwstandin

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/standin/cwcontrol"
	"cicadawalk.example/cicadawalk/internal/standin/cwdatabase"
	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
	"cicadawalk.example/cicadawalk/internal/standin/cwplatformserver"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Error is the class of the program's own errors.
var Error = errs.Class("cicadastandin")

// NewCommand returns the cicadastandin command with its subcommands database,
// platform and link.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "cicadastandin",
		Short:         "Stand-ins for the systems around cicadawalk, for tests and trials",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(databaseCommand(), platformCommand(), linkCommand())
	return root
}

func databaseCommand() *cobra.Command {
	var cfg cwdatabase.Config
	var id, primaryID, control string
	cmd := &cobra.Command{
		Use:   "database",
		Short: "One database of a group, in memory",
		Example: `  cicadastandin database --id libro-1 --listen 127.0.1.1:5432 --primary
  cicadastandin database --id libro-2 --listen 127.0.2.1:5432 --follow 127.0.1.1:5432 --follow-id libro-1`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.ID, cfg.PrimaryID = cwgroup.MemberID(id), cwgroup.MemberID(primaryID)
			m, err := cwdatabase.Start(cfg)
			if err != nil {
				return err
			}
			defer m.Stop()
			if _, err := cwcontrol.Serve(control, cwcontrol.Database(m)); err != nil {
				return err
			}
			return serveUntilDone(cmd, "database "+id+" at "+m.Addr())
		},
	}
	fs := cmd.Flags()
	fs.StringVar(&id, "id", "db", "the database's id in the catalogue")
	fs.StringVar(&cfg.Listen, "listen", "127.0.0.1:5432", "address to listen on, IP:port")
	fs.StringVar(&control, "control", "", "address of the control interface, IP:port")
	fs.IntVar(&cfg.MaxConnections, "connections", 25, "maximum number of client connections")
	fs.IntVar(&cfg.Slots, "slots", 3, "statements executed concurrently")
	fs.DurationVar(&cfg.ConnectDelay, "connect-delay", 10*time.Millisecond, "delay of each new connection")
	fs.BoolVar(&cfg.ChecksTerm, "checks-term", true, "check the term of every control command")
	fs.BoolVar(&cfg.Primary, "primary", false, "start as the primary of term 1")
	fs.StringVar(&cfg.PrimaryAddr, "follow", "", "address of the primary of term 1")
	fs.StringVar(&primaryID, "follow-id", "", "id of the primary of term 1")
	return cmd
}

func platformCommand() *cobra.Command {
	var listen, control, instances string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "The table service and the list of instances, in memory",
		Example: `  cicadastandin platform --listen 127.0.0.1:7000 --instances instances.json
  (instances.json: [{"id":"entry-1","dataCentre":"hall-rufino","peer":"127.0.1.1:6544","state":"live"}])`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := cwplatformserver.Start(listen, lag)
			if err != nil {
				return err
			}
			defer p.Stop()
			if instances != "" {
				if err := loadInstances(p, instances); err != nil {
					return err
				}
			}
			if _, err := cwcontrol.Serve(control, cwcontrol.Platform(p)); err != nil {
				return err
			}
			return serveUntilDone(cmd, "platform at "+p.URL())
		},
	}
	fs := cmd.Flags()
	fs.StringVar(&listen, "listen", "127.0.0.1:7000", "address to listen on, IP:port")
	fs.StringVar(&control, "control", "", "address of the control interface, IP:port")
	fs.StringVar(&instances, "instances", "", "JSON file with the list of instances")
	fs.DurationVar(&lag, "list-lag", time.Second, "delay before a new list of instances is visible")
	return cmd
}

// loadInstances sets the platform's list of instances from a JSON file.
func loadInstances(p *cwplatformserver.Platform, name string) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	var list []cwplatform.InstanceBody
	if err := json.Unmarshal(text, &list); err != nil {
		return Error.Wrap(err)
	}
	p.SetInstances(list)
	return nil
}

func linkCommand() *cobra.Command {
	var listen, target, control string
	cmd := &cobra.Command{
		Use:     "link",
		Short:   "A network path that can be delayed, cut or made silent",
		Example: "  cicadastandin link --listen 127.0.1.1:5433 --target 127.0.1.1:5432 --control 127.0.0.1:7101",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := cwlink.Start(listen, target)
			if err != nil {
				return err
			}
			defer l.Stop()
			if _, err := cwcontrol.Serve(control, cwcontrol.Link(l)); err != nil {
				return err
			}
			return serveUntilDone(cmd, "link at "+l.Addr())
		},
	}
	fs := cmd.Flags()
	fs.StringVar(&listen, "listen", "127.0.0.1:5433", "address to listen on, IP:port")
	fs.StringVar(&target, "target", "127.0.0.1:5432", "address of the target, IP:port")
	fs.StringVar(&control, "control", "", "address of the control interface, IP:port")
	return cmd
}

// serveUntilDone prints what is served and waits until the command's context ends.
func serveUntilDone(cmd *cobra.Command, description string) error {
	fmt.Fprintln(cmd.OutOrStdout(), description)
	<-cmd.Context().Done()
	return nil
}
