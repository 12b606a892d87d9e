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

// defaultInterval is the default length of the interval that a row covers. It is a
// few statement timeouts long, and short enough to separate a failover from the
// time before it.
const defaultInterval = 2 * time.Second

// lossKey identifies a row of the table: the statements of one interval and group
// that failed for the same reason.
type lossKey struct {
	// start is the beginning of the interval.
	start       time.Time
	group, code string
	// reason is the cause of the failure without ids and numbers.
	reason string
}

// lossCount is the number of failed statements with one key, and the total time for
// which they were held before they failed.
type lossCount struct {
	lossKey
	count int
	held  time.Duration
}

func lossesCommand() *cobra.Command {
	interval := defaultInterval
	cmd := &cobra.Command{
		Use:   "losses FILE...",
		Short: "Count failed statements by time, group and cause",
		Long: `Reads log files of one or more instances and prints a table of the statements
that were not served: one row for each interval, group and cause, with the number
of statements and the average time for which they were held. Lines that an
instance dropped to bound its log are counted by kind in separate rows.`,
		Example: "  cicadawalk losses --span 2s front-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if interval <= 0 {
				return &ExitError{Code: ExitUsage, Err: &IntervalError{Span: interval}}
			}
			var lines []logLine
			for _, path := range args {
				more, err := readLogFile(path)
				if err != nil {
					return &ExitError{Code: ExitUsage, Err: err}
				}
				lines = append(lines, more...)
			}
			return printLosses(cmd.OutOrStdout(), countLosses(lines, interval))
		},
	}
	cmd.Flags().DurationVar(&interval, "span", interval, "length of the interval that a row covers")
	return cmd
}

// IntervalError reports a --span that is not positive.
type IntervalError struct{ Span time.Duration }

func (e *IntervalError) Error() string { return fmt.Sprintf("--span must be positive, not %v", e.Span) }

// countLosses counts failed statements by interval, group and cause, ordered by time
// and, within an interval, with the most frequent first.
func countLosses(lines []logLine, interval time.Duration) []lossCount {
	counts := make(map[lossKey]*lossCount)
	for _, l := range lines {
		key, n, held := parseLoss(l, interval)
		if n == 0 {
			continue
		}
		c := counts[key]
		if c == nil {
			c = &lossCount{lossKey: key}
			counts[key] = c
		}
		c.count += n
		c.held += held
	}
	out := make([]lossCount, 0, len(counts))
	for _, c := range counts {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b lossCount) int {
		return cmp.Or(a.start.Compare(b.start), cmp.Compare(b.count, a.count), cmp.Compare(a.group, b.group), cmp.Compare(a.reason, b.reason))
	})
	return out
}

// parseLoss returns the key of a line, the number n of statements that it reports,
// and the time for which they were held. n is 0 for lines about something else.
func parseLoss(l logLine, interval time.Duration) (key lossKey, n int, held time.Duration) {
	key.start = l.at.Truncate(interval)
	switch l.fields["msg"] {
	case "statementFailed":
		key.group, key.code, key.reason = l.fields["group"], l.fields["code"], normalizeReason(l.fields["why"])
		return key, 1, parseMillis(l.fields["tookMs"])
	case "linesLeftOut":
		key.code, key.reason = "leftOut", l.fields["kind"]
		return key, int(parseCount(l.fields["lines"])), 0
	}
	return key, 0, 0
}

// parseCount parses the number of lines in a linesLeftOut line.
func parseCount(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		// A line without a number stands for at least one statement.
		return 1
	}
	return n
}

// parseMillis parses a duration in milliseconds; zero if it is missing or invalid.
func parseMillis(text string) time.Duration {
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		// The statement is counted although its duration is unknown.
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// normalizeReason removes words with digits and the trailing notRun and
// retryAfterMs fields, so that equal causes are counted together.
func normalizeReason(reason string) string {
	reason, _, _ = strings.Cut(reason, " notRun=")
	words := strings.Fields(reason)
	words = slices.DeleteFunc(words, func(w string) bool { return strings.ContainsAny(w, "0123456789") })
	return strings.Join(words, " ")
}

func printLosses(w io.Writer, rows []lossCount) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "from\tcount\theldMs\tgroup\tcode\twhy"); err != nil {
		return err
	}
	for _, r := range rows {
		held := r.held.Milliseconds() / int64(r.count)
		if _, err := fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%s\n", r.start.Format("15:04:05.0"), r.count, held, printable(r.group), printable(r.code), printable(r.reason)); err != nil {
			return err
		}
	}
	return t.Flush()
}
