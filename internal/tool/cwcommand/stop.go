package cwcommand

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/wire/cwstore"
)

func stopCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "stop", Short: "Plan stops of databases"}
	cmd.AddCommand(
		stopChange("plan", "Keep a database free of work, so that it can be stopped", func(c cwcatalogue.Catalogue, id cwgroup.MemberID, o *operator) cwcatalogue.Catalogue {
			return c.WithStop(cwcatalogue.Stop{Target: id, By: o.who, Note: o.note, PlannedAt: time.Now().UTC()})
		}),
		stopChange("cancel", "Let a database take work again", func(c cwcatalogue.Catalogue, id cwgroup.MemberID, _ *operator) cwcatalogue.Catalogue {
			return c.WithoutStop(id)
		}),
		stopList(),
	)
	return cmd
}

// stopTries bounds how often a change of one stop is based on a newer revision.
const stopTries = 5

func stopChange(use, short string, change func(cwcatalogue.Catalogue, cwgroup.MemberID, *operator) cwcatalogue.Catalogue) *cobra.Command {
	var o operator
	return o.command(&cobra.Command{
		Use:     use + " DATABASE",
		Short:   short,
		Example: "  cicadawalk stop " + use + " libro-1 --platform http://127.0.0.1:7000",
		Args:    cobra.ExactArgs(1),
	}, true, func(cmd *cobra.Command, args []string) error {
		var err error
		for range stopTries {
			var current cwcatalogue.Catalogue
			if current, err = o.store().Load(cmd.Context()); err != nil {
				return err
			}
			id := cwgroup.MemberID(args[0])
			if !current.HasTarget(id) {
				return &ExitError{Code: ExitUsage, Cause: &UnknownTargetError{Target: args[0]}}
			}
			// A stop does not clash with other changes: on a race it is simply
			// based on the newer revision.
			err = o.apply(cmd, change(current, id, &o), true)
			var conflict *cwstore.ConflictError
			if !errors.As(err, &conflict) {
				return err
			}
		}
		return err
	})
}

// UnknownTargetError reports a database that the catalogue does not have.
type UnknownTargetError struct{ Target string }

func (e *UnknownTargetError) Error() string {
	return fmt.Sprintf("the catalogue has no database %q; nothing was changed", e.Target)
}

func stopList() *cobra.Command {
	var o operator
	return o.command(&cobra.Command{
		Use:   "list",
		Short: "List the planned stops",
		Args:  cobra.NoArgs,
	}, false, func(cmd *cobra.Command, _ []string) error {
		c, err := o.store().Load(cmd.Context())
		if err != nil {
			return err
		}
		for _, s := range c.Stops {
			fmt.Fprintf(cmd.OutOrStdout(), "%s  planned by %s at %s  %s\n", s.Target, s.By, s.PlannedAt.Format(time.RFC3339), s.Note)
		}
		return nil
	})
}
