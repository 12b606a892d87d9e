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
	"cicadawalk.example/cicadawalk/internal/wire/cwcodec"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
	"cicadawalk.example/cicadawalk/internal/wire/cwstore"
)

// operator are the flags of the commands that reach the platform.
type operator struct {
	platform, who, note string
}

func (o *operator) flags(cmd *cobra.Command, changes bool) {
	cmd.Flags().StringVar(&o.platform, "platform", "", "URL of the platform's table service")
	if changes {
		cmd.Flags().StringVar(&o.who, "who", defaultWho(), "name for the audit trail")
		cmd.Flags().StringVar(&o.note, "note", "", "why, for the audit trail")
	}
}

func defaultWho() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func (o *operator) check(cmd *cobra.Command, changes bool) error {
	return checkSettings(cmd, func(s *settings) {
		s.url("platform")
		if changes {
			s.notEmpty("who", "the name of the person who makes this change")
		}
	})
}

// command gives a command the operator's flags, and run a checked operator.
func (o *operator) command(cmd *cobra.Command, changes bool, run func(cmd *cobra.Command, args []string) error) *cobra.Command {
	o.flags(cmd, changes)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if err := o.check(cmd, changes); err != nil {
			return err
		}
		return run(cmd, args)
	}
	return cmd
}

func (o *operator) store() cwstore.Store {
	client := &cwplatform.Client{URL: strings.TrimRight(o.platform, "/")}
	return cwstore.Store{Table: client, Objects: client}
}

func (o *operator) change(summary []string) cwstore.Change {
	return cwstore.Change{ID: rand.Text(), Who: o.who, At: time.Now().UTC(), Note: o.note, Summary: summary}
}

func catalogueCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "catalogue", Short: "Read, check and change the catalogue"}
	cmd.AddCommand(getCommand(), checkCommand(), applyCommand(), historyCommand())
	return cmd
}

func getCommand() *cobra.Command {
	var o operator
	var revision uint64
	cmd := o.command(&cobra.Command{
		Use:   "get",
		Short: "Print the catalogue as JSON, to be edited and applied",
		Long: `Prints the catalogue as JSON, to be edited and applied. With --revision it is the
catalogue as it was then, but based on the present revision: apply it to go back.`,
		Example: "  cicadawalk catalogue get --platform http://127.0.0.1:7000 > catalogue.json",
		Args:    cobra.NoArgs,
	}, false, func(cmd *cobra.Command, _ []string) error {
		return o.get(cmd, cwcatalogue.Revision(revision))
	})
	cmd.Flags().Uint64Var(&revision, "revision", 0, "an earlier revision; 0 is the present one")
	return cmd
}

func (o *operator) get(cmd *cobra.Command, revision cwcatalogue.Revision) error {
	ctx, store := cmd.Context(), o.store()
	c, err := store.Load(ctx)
	if err != nil {
		return err
	}
	if revision != 0 {
		old, err := store.At(ctx, revision)
		if err != nil {
			return &ExitError{Code: ExitUsage, Cause: err}
		}
		c = old.WithRevision(c.Revision)
	}
	text, err := cwcodec.Encode(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s\n", text)
	return err
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "List every fault of a catalogue file, with line and field; changes nothing",
		Example: "  cicadawalk catalogue check catalogue.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			groups := 0
			for _, e := range c.Entries {
				groups += len(e.Groups)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: no faults; %d services, %d groups, based on revision %d\n", args[0], len(c.Entries), groups, c.Revision)
			return nil
		},
	}
}

// readFile reads and checks a catalogue; - is standard input.
func readFile(cmd *cobra.Command, name string) (cwcatalogue.Catalogue, error) {
	var text []byte
	var err error
	if name == "-" {
		text, err = io.ReadAll(cmd.InOrStdin())
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return cwcatalogue.Catalogue{}, &ExitError{Code: ExitUsage, Cause: err}
	}
	c, err := cwcodec.Decode(text)
	if err != nil {
		return c, &ExitError{Code: ExitUsage, Cause: &FileError{Name: name, Cause: err}}
	}
	return c, nil
}

// FileError reports a file with faults.
type FileError struct {
	Name  string
	Cause error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("%s has faults; nothing was changed:\n%v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

func applyCommand() *cobra.Command {
	var o operator
	var yes bool
	cmd := o.command(&cobra.Command{
		Use:   "apply FILE",
		Short: "Show what a catalogue file changes, and apply it with --yes",
		Long: `Shows what the file would change and what callers may notice. Without --yes it
stops there. The file's revision must be the one that it was made from, as
'catalogue get' printed it: if somebody else changed the catalogue since, nothing
is applied, and you are shown who changed what.`,
		Example: "  cicadawalk catalogue apply catalogue.json --platform http://127.0.0.1:7000 --yes --note 'more connections'",
		Args:    cobra.ExactArgs(1),
	}, true, func(cmd *cobra.Command, args []string) error {
		next, err := readFile(cmd, args[0])
		if err != nil {
			return err
		}
		return o.apply(cmd, next, yes)
	})
	cmd.Flags().BoolVar(&yes, "yes", false, "apply, instead of only showing")
	return cmd
}

// apply shows what a catalogue changes and, if told so, applies it.
func (o *operator) apply(cmd *cobra.Command, next cwcatalogue.Catalogue, yes bool) error {
	ctx, store, out := cmd.Context(), o.store(), cmd.OutOrStdout()
	current, err := store.Load(ctx)
	if err != nil {
		return err
	}
	diffs := cwcatalogue.Diff(current, next)
	if len(diffs) == 0 && current.Revision == next.Revision {
		fmt.Fprintln(out, "nothing changes")
		return nil
	}
	summary := make([]string, 0, len(diffs))
	for _, d := range diffs {
		summary = append(summary, d.Text)
		fmt.Fprintln(out, "-", d.Text)
		if d.Traffic != "" {
			fmt.Fprintln(out, "    callers may notice:", d.Traffic)
		}
	}
	if !yes {
		if current.Revision != next.Revision {
			fmt.Fprintf(out, "this file is based on revision %d, but the catalogue is at revision %d: it would be refused\n", next.Revision, current.Revision)
		}
		fmt.Fprintln(out, "nothing was applied; repeat with --yes to apply this")
		return nil
	}
	rev, err := store.Apply(ctx, next, o.change(summary))
	if err != nil {
		return conflictCode(err)
	}
	fmt.Fprintf(out, "applied as revision %d; it is in force at every proxy within seconds\n", rev)
	return nil
}

func conflictCode(err error) error {
	var conflict *cwstore.ConflictError
	if errors.As(err, &conflict) {
		return &ExitError{Code: ExitConflict, Cause: err}
	}
	return err
}

func historyCommand() *cobra.Command {
	var o operator
	return o.command(&cobra.Command{
		Use:   "history",
		Short: "Print the audit trail: who changed what, and what the proxies did",
		Args:  cobra.NoArgs,
	}, false, func(cmd *cobra.Command, _ []string) error {
		return printHistory(cmd.Context(), cmd.OutOrStdout(), o.store())
	})
}

func printHistory(ctx context.Context, w io.Writer, store cwstore.Store) error {
	changes, err := store.History(ctx)
	if err != nil {
		return err
	}
	acts, err := store.Acts(ctx)
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
		fmt.Fprintf(w, "%s  %s: %s of %s, before: %s, after: %s\n", a.At.Format(time.RFC3339), a.Who, a.Kind, a.Subject, a.Before, a.After)
		acts = acts[1:]
	}
	return nil
}

func printChange(w io.Writer, c cwstore.Change) {
	fmt.Fprintf(w, "%s  %s: revision %d (change %s) %s\n", c.At.Format(time.RFC3339), c.Who, c.Revision, c.ID, c.Note)
	for _, s := range c.Summary {
		fmt.Fprintf(w, "    %s\n", s)
	}
	for name, after := range c.After {
		fmt.Fprintf(w, "    %s before: %s\n", name, c.Before[name])
		fmt.Fprintf(w, "    %s after:  %s\n", name, after)
	}
}
