package cwcommand

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguestore"
)

func stopCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "stop", Short: "Plan the shutdown of databases"}
	cmd.AddCommand(
		stopChangeCommand("plan", "Send no more work to a database, so that it can be stopped", func(c cwcatalogue.Catalogue, id cwgroup.MemberID, o *platformFlags) cwcatalogue.Catalogue {
			return c.WithPlannedStop(cwcatalogue.PlannedStop{Target: id, PlannedBy: o.author, Note: o.note, PlannedAt: time.Now().UTC()})
		}),
		stopChangeCommand("cancel", "Send work to a database again", func(c cwcatalogue.Catalogue, id cwgroup.MemberID, _ *platformFlags) cwcatalogue.Catalogue {
			return c.WithoutPlannedStop(id)
		}),
		stopListCommand(),
	)
	return cmd
}

// maxStopAttempts bounds how often a change of a planned stop is retried on a newer
// revision of the catalogue.
const maxStopAttempts = 5

// stopChangeCommand returns a command that changes the planned stops of the catalogue.
func stopChangeCommand(use, short string, change func(cwcatalogue.Catalogue, cwgroup.MemberID, *platformFlags) cwcatalogue.Catalogue) *cobra.Command {
	var o platformFlags
	return o.command(&cobra.Command{
		Use:     use + " DATABASE",
		Short:   short,
		Example: "  cicadawalk stop " + use + " libro-1 --platform http://127.0.0.1:7000",
		Args:    cobra.ExactArgs(1),
	}, true, func(cmd *cobra.Command, args []string) error {
		var err error
		for range maxStopAttempts {
			var current cwcatalogue.Catalogue
			if current, err = o.store().Load(cmd.Context()); err != nil {
				return err
			}
			id := cwgroup.MemberID(args[0])
			if !current.HasTarget(id) {
				return &ExitError{Code: ExitUsage, Err: &UnknownTargetError{Target: args[0]}}
			}
			// A planned stop is compatible with any other change, so after a
			// conflict it is applied again to the newer revision.
			err = o.apply(cmd, change(current, id, &o), true)
			var conflict *cwcataloguestore.ConflictError
			if !errors.As(err, &conflict) {
				return err
			}
		}
		return err
	})
}

// UnknownTargetError reports a database that is not in the catalogue.
type UnknownTargetError struct{ Target string }

func (e *UnknownTargetError) Error() string {
	return fmt.Sprintf("the catalogue has no database %q; nothing was changed", e.Target)
}

func stopListCommand() *cobra.Command {
	var o platformFlags
	return o.command(&cobra.Command{
		Use:   "list",
		Short: "List the planned stops",
		Args:  cobra.NoArgs,
	}, false, func(cmd *cobra.Command, _ []string) error {
		c, err := o.store().Load(cmd.Context())
		if err != nil {
			return err
		}
		for _, s := range c.PlannedStops {
			fmt.Fprintf(cmd.OutOrStdout(), "%s  planned by %s at %s  %s\n", s.Target, s.PlannedBy, s.PlannedAt.Format(time.RFC3339), s.Note)
		}
		return nil
	})
}
