package cwcommand

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguejson"
	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguestore"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// platformFlags holds the flags of the commands that use the platform's table
// service: its URL, and the author and note of a change.
type platformFlags struct {
	platform, author, note string
}

// register adds the flags to a command, with those of the audit trail if the command
// changes the catalogue.
func (o *platformFlags) register(cmd *cobra.Command, changes bool) {
	cmd.Flags().StringVar(&o.platform, "platform", "", "URL of the platform's table service")
	if changes {
		cmd.Flags().StringVar(&o.author, "who", currentUser(), "your name, for the audit trail")
		cmd.Flags().StringVar(&o.note, "note", "", "reason of the change, for the audit trail")
	}
}

// currentUser returns the login name; empty if it is unknown.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func (o *platformFlags) validate(cmd *cobra.Command, changes bool) error {
	return checkSettings(cmd, func(s *flagChecker) {
		s.requireURL("platform")
		if changes {
			s.requireNonEmpty("who", "the name of the author of this change")
		}
	})
}

// command adds the flags to cmd and makes it validate them before run is called.
func (o *platformFlags) command(cmd *cobra.Command, changes bool, run func(cmd *cobra.Command, args []string) error) *cobra.Command {
	o.register(cmd, changes)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if err := o.validate(cmd, changes); err != nil {
			return err
		}
		return run(cmd, args)
	}
	return cmd
}

func (o *platformFlags) store() cwcataloguestore.Store {
	client := &cwplatform.Client{URL: strings.TrimRight(o.platform, "/")}
	return cwcataloguestore.Store{Table: client, Objects: client}
}

// newChange returns an audit record with a random id.
func (o *platformFlags) newChange(summary []string) cwcataloguestore.Change {
	return cwcataloguestore.Change{ID: rand.Text(), Who: o.author, At: time.Now().UTC(), Note: o.note, Summary: summary}
}

func catalogueCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "catalogue", Short: "Read, check and change the catalogue"}
	cmd.AddCommand(getCommand(), checkCommand(), applyCommand(), historyCommand())
	return cmd
}

func getCommand() *cobra.Command {
	var o platformFlags
	var revision uint64
	cmd := o.command(&cobra.Command{
		Use:   "get",
		Short: "Print the catalogue as JSON, for editing and applying",
		Long: `Prints the catalogue as JSON, for editing and applying. With --revision it prints
that earlier revision, but marked as based on the current one: apply it to revert
to it.`,
		Example: "  cicadawalk catalogue get --platform http://127.0.0.1:7000 > catalogue.json",
		Args:    cobra.NoArgs,
	}, false, func(cmd *cobra.Command, _ []string) error {
		return o.printCatalogue(cmd, cwcatalogue.Revision(revision))
	})
	cmd.Flags().Uint64Var(&revision, "revision", 0, "an earlier revision; 0 is the current one")
	return cmd
}

func (o *platformFlags) printCatalogue(cmd *cobra.Command, revision cwcatalogue.Revision) error {
	ctx, store := cmd.Context(), o.store()
	c, err := store.Load(ctx)
	if err != nil {
		return err
	}
	if revision != 0 {
		old, err := store.LoadRevision(ctx, revision)
		if err != nil {
			return &ExitError{Code: ExitUsage, Err: err}
		}
		c = old.WithRevision(c.Revision)
	}
	text, err := cwcataloguejson.Encode(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s\n", text)
	return err
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "List every error in a catalogue file, with line and field; changes nothing",
		Example: "  cicadawalk catalogue check catalogue.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := readCatalogue(cmd, args[0])
			if err != nil {
				return err
			}
			groups := 0
			for _, e := range c.Entries {
				groups += len(e.Groups)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: no errors; %d services, %d groups, based on revision %d\n", args[0], len(c.Entries), groups, c.Revision)
			return nil
		},
	}
}

// readCatalogue reads and validates a catalogue file; the name - is standard input.
func readCatalogue(cmd *cobra.Command, name string) (cwcatalogue.Catalogue, error) {
	var text []byte
	var err error
	if name == "-" {
		text, err = io.ReadAll(cmd.InOrStdin())
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return cwcatalogue.Catalogue{}, &ExitError{Code: ExitUsage, Err: err}
	}
	c, err := cwcataloguejson.Decode(text)
	if err != nil {
		return c, &ExitError{Code: ExitUsage, Err: &CatalogueFileError{Name: name, Err: err}}
	}
	return c, nil
}

// CatalogueFileError reports a catalogue file that is invalid.
type CatalogueFileError struct {
	Name string
	Err  error
}

func (e *CatalogueFileError) Error() string {
	return fmt.Sprintf("%s is invalid; nothing was changed:\n%v", e.Name, e.Err)
}

// Unwrap returns the cause.
func (e *CatalogueFileError) Unwrap() error { return e.Err }

func applyCommand() *cobra.Command {
	var o platformFlags
	var yes bool
	cmd := o.command(&cobra.Command{
		Use:   "apply FILE",
		Short: "Show what a catalogue file would change, and apply it with --yes",
		Long: `Shows what the file would change and which effects callers may notice. Without
--yes it stops there. The file must have the revision that it was made from, as
'catalogue get' printed it: if the catalogue was changed since, nothing is
applied, and you are shown who changed what.`,
		Example: "  cicadawalk catalogue apply catalogue.json --platform http://127.0.0.1:7000 --yes --note 'more connections'",
		Args:    cobra.ExactArgs(1),
	}, true, func(cmd *cobra.Command, args []string) error {
		next, err := readCatalogue(cmd, args[0])
		if err != nil {
			return err
		}
		return o.apply(cmd, next, yes)
	})
	cmd.Flags().BoolVar(&yes, "yes", false, "apply the changes instead of only showing them")
	return cmd
}

// apply prints the differences between next and the current catalogue and, if confirmed
// is true, stores next as a new revision.
func (o *platformFlags) apply(cmd *cobra.Command, next cwcatalogue.Catalogue, confirmed bool) error {
	ctx, store, out := cmd.Context(), o.store(), cmd.OutOrStdout()
	current, err := store.Load(ctx)
	if err != nil {
		return err
	}
	diffs := cwcatalogue.Diff(current, next)
	if len(diffs) == 0 && current.Revision == next.Revision {
		fmt.Fprintln(out, "no changes")
		return nil
	}
	summary := make([]string, 0, len(diffs))
	for _, d := range diffs {
		summary = append(summary, d.Text)
		fmt.Fprintln(out, "-", d.Text)
		if d.CallerImpact != "" {
			fmt.Fprintln(out, "    callers may notice:", d.CallerImpact)
		}
	}
	if !confirmed {
		if current.Revision != next.Revision {
			fmt.Fprintf(out, "this file is based on revision %d, but the catalogue is at revision %d: it would be refused\n", next.Revision, current.Revision)
		}
		fmt.Fprintln(out, "nothing was applied; repeat with --yes to apply this")
		return nil
	}
	rev, err := store.Apply(ctx, next, o.newChange(summary))
	if err != nil {
		return withConflictExitCode(err)
	}
	fmt.Fprintf(out, "applied as revision %d; it is in force at every proxy within seconds\n", rev)
	return nil
}

// withConflictExitCode adds ExitConflict to the error of a concurrent change.
func withConflictExitCode(err error) error {
	var conflict *cwcataloguestore.ConflictError
	if errors.As(err, &conflict) {
		return &ExitError{Code: ExitConflict, Err: err}
	}
	return err
}

func historyCommand() *cobra.Command {
	var o platformFlags
	return o.command(&cobra.Command{
		Use:   "history",
		Short: "Print the audit trail: changes by operators and actions of the proxies",
		Args:  cobra.NoArgs,
	}, false, func(cmd *cobra.Command, _ []string) error {
		return printHistory(cmd.Context(), cmd.OutOrStdout(), o.store())
	})
}

// printHistory prints the changes of the catalogue and the actions of the proxies,
// merged by time.
func printHistory(ctx context.Context, w io.Writer, store cwcataloguestore.Store) error {
	changes, err := store.History(ctx)
	if err != nil {
		return err
	}
	acts, err := store.Actions(ctx)
	if err != nil {
		return err
	}
	for len(changes)+len(acts) > 0 {
		if len(acts) == 0 || len(changes) > 0 && changes[0].At.Before(acts[0].At) {
			printChange(w, changes[0])
			changes = changes[1:]
			continue
		}
		a := acts[0]
		fmt.Fprintf(w, "%s  %s: %s of %s, before: %s, after: %s\n", a.At.Format(time.RFC3339), printable(a.Who), a.Kind,
			printable(a.Subject), printable(a.Before), printable(a.After))
		acts = acts[1:]
	}
	return nil
}

func printChange(w io.Writer, c cwcataloguestore.Change) {
	fmt.Fprintf(w, "%s  %s: revision %d (change %s) %s\n", c.At.Format(time.RFC3339), printable(c.Who), c.Revision, c.ID, printable(c.Note))
	for _, s := range c.Summary {
		fmt.Fprintf(w, "    %s\n", printable(s))
	}
	for name, after := range c.After {
		fmt.Fprintf(w, "    %s before: %s\n", name, printable(string(c.Before[name])))
		fmt.Fprintf(w, "    %s after:  %s\n", name, printable(string(after)))
	}
}
