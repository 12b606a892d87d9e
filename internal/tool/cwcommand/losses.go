package cwcommand

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// defaultSpan is the length of a row's time: a few statement timeouts, short
// enough to tell a failover from what came before it.
const defaultSpan = 2 * time.Second

// loss is why statements were not served.
type loss struct {
	// from is the beginning of a row's time.
	from        time.Time
	group, code string
	// why is the reason without ids and figures.
	why string
}

// lossCount is how often, and for how long the statements had been held.
type lossCount struct {
	loss
	n    int
	held time.Duration
}

func lossesCommand() *cobra.Command {
	span := defaultSpan
	cmd := &cobra.Command{
		Use:   "losses FILE...",
		Short: "Count what was not served, by time, group and cause",
		Long: `Reads log files of one or more instances and prints a table of the statements
that were not served: a row for each stretch of time, group and cause, with how
many there were and how long they were held on average. Lines that an instance
left out to bound its log are counted by kind in rows of their own.`,
		Example: "  cicadawalk losses --span 2s front-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if span <= 0 {
				return &ExitError{Code: ExitUsage, Cause: &SpanError{Span: span}}
			}
			var lines []logLine
			for _, path := range args {
				more, err := readLog(path)
				if err != nil {
					return &ExitError{Code: ExitUsage, Cause: err}
				}
				lines = append(lines, more...)
			}
			return printLosses(cmd.OutOrStdout(), countLosses(lines, span))
		},
	}
	cmd.Flags().DurationVar(&span, "span", span, "length of a row's time")
	return cmd
}

// SpanError reports a length of time that is not positive.
type SpanError struct{ Span time.Duration }

func (e *SpanError) Error() string { return fmt.Sprintf("--span must be positive, not %v", e.Span) }

// countLosses counts by time, group and cause, the most frequent of a time first.
func countLosses(lines []logLine, span time.Duration) []lossCount {
	counts := make(map[loss]*lossCount)
	for _, l := range lines {
		key, n, held := lossOf(l, span)
		if n == 0 {
			continue
		}
		c := counts[key]
		if c == nil {
			c = &lossCount{loss: key}
			counts[key] = c
		}
		c.n += n
		c.held += held
	}
	out := make([]lossCount, 0, len(counts))
	for _, c := range counts {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b lossCount) int {
		return cmp.Or(a.from.Compare(b.from), cmp.Compare(b.n, a.n), cmp.Compare(a.group, b.group), cmp.Compare(a.why, b.why))
	})
	return out
}

// lossOf returns what a line tells, and of how many statements; none if it is
// about something else.
func lossOf(l logLine, span time.Duration) (key loss, n int, held time.Duration) {
	key.from = l.at.Truncate(span)
	switch l.fields["msg"] {
	case "statementFailed":
		key.group, key.code, key.why = l.fields["group"], l.fields["code"], plain(l.fields["why"])
		return key, 1, millisOf(l.fields["tookMs"])
	case "linesLeftOut":
		key.code, key.why = "leftOut", l.fields["kind"]
		return key, int(countOf(l.fields["lines"])), 0
	}
	return key, 0, 0
}

func countOf(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		// A line that tells no number still tells of one statement.
		return 1
	}
	return n
}

func millisOf(text string) time.Duration {
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		// The line is counted; how long its statement took is not known.
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// plain drops the words of a reason that hold ids and figures, and the promise
// that follows it, so that equal causes read alike.
func plain(why string) string {
	why, _, _ = strings.Cut(why, " notRun=")
	words := strings.Fields(why)
	words = slices.DeleteFunc(words, func(w string) bool { return strings.ContainsAny(w, "0123456789") })
	return strings.Join(words, " ")
}

func printLosses(w io.Writer, rows []lossCount) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "from\tcount\theldMs\tgroup\tcode\twhy"); err != nil {
		return err
	}
	for _, r := range rows {
		held := r.held.Milliseconds() / int64(r.n)
		if _, err := fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%s\n", r.from.Format("15:04:05.0"), r.n, held, r.group, r.code, r.why); err != nil {
			return err
		}
	}
	return t.Flush()
}
