package cwcommand

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/spf13/cobra"
)

// Limits of the explain command.
const (
	// contextWindow is the time before the first and after the last line of a
	// request for which lines about its group and instance are shown. It covers
	// the detection of a failed primary and the promotion of the next one.
	contextWindow = 3 * time.Second
	// maxLineBytes is the length of the longest log line that is accepted.
	maxLineBytes = 1 << 20
)

// groupEvents are the log messages about a group that can explain a failed request.
var groupEvents = []string{
	"claimSeen", "primaryKnown", "primaryChanged", "primaryNotChanged", "targetLost", "membersCounted",
	"promotionUnknown", "order", "orderTooLate", "targetRestarted", "restartChecked", "emptyMemberCounts",
	"memberEjected", "memberReadmitted", "primaryIsOutlier", "observerNotUsable", "observerUsable", "demandExchangeBegan", "demandExchangeEnded",
}

// instanceEvents are the log messages about an instance that can explain a failed
// request.
var instanceEvents = []string{
	"storeLost", "storeRegained", "pathSuspected", "pathAnswers", "isolated", "reconnected", "draining", "drained", "started", "stopped",
	"historyLost", "linesLeftOut", "newsSource", "feederLost",
}

// workspaceEvents are the log messages about a workspace that can explain why a request
// was refused as over the quota, or was served. They may be logged by other instances.
var workspaceEvents = []string{"quotaChanged"}

// logLine is one parsed line of a log file.
type logLine struct {
	at     time.Time
	file   string
	text   string
	fields map[string]string
}

// UnknownRequestError reports a request id that no log file contains.
type UnknownRequestError struct{ ID string }

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line has id=%s: the request was served, or its lines were dropped (look for linesLeftOut)", e.ID)
}

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Show what happened to a request, from the logs of instances",
		Long: `Reads log files of one or more instances and prints, ordered by time, the lines of
the request with the id, and the events of its group, its workspace's quota and its
instance shortly before and after. Exits with code 1 if no line has the id.`,
		Example: "  cicadawalk explain 5c0e7a21d94b36f8 front-*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []logLine
			for _, path := range args[1:] {
				more, err := readLogFile(path)
				if err != nil {
					return &ExitError{Code: ExitUsage, Err: err}
				}
				lines = append(lines, more...)
			}
			return explain(cmd.OutOrStdout(), args[0], lines)
		},
	}
}

func readLogFile(path string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return parseLog(filepath.Base(path), f)
}

// parseLog reads logfmt lines and skips lines without a valid time. Text before the
// time, such as a name that a log collector adds, replaces the file's name.
func parseLog(file string, r io.Reader) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		before, rest, ok := strings.Cut(sc.Text(), "time=")
		if !ok {
			continue
		}
		l := logLine{file: cmp.Or(strings.TrimSpace(before), file), text: "time=" + rest, fields: map[string]string{}}
		d := logfmt.NewDecoder(strings.NewReader(l.text))
		for d.ScanRecord() {
			for d.ScanKeyval() {
				l.fields[string(d.Key())] = string(d.Value())
			}
		}
		at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
		if d.Err() != nil || err != nil {
			continue
		}
		l.at = at
		out = append(out, l)
	}
	return out, sc.Err()
}

// explain prints the lines of a request and the related lines around them, ordered
// by time.
func explain(w io.Writer, id string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var requestLines []logLine
	for _, l := range lines {
		if l.fields["id"] == id {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return &ExitError{Code: ExitFailed, Err: &UnknownRequestError{ID: id}}
	}
	from, to := requestLines[0].at.Add(-contextWindow), requestLines[len(requestLines)-1].at.Add(contextWindow)
	for _, l := range lines {
		if l.at.Before(from) || l.at.After(to) || !isRelevant(l, id, requestLines) {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s %s\n", l.file, l.text); err != nil {
			return err
		}
	}
	return nil
}

// isRelevant reports whether a line has the request's id, is about the request's
// group or workspace, or is about an instance that handled the request.
func isRelevant(l logLine, id string, requestLines []logLine) bool {
	if l.fields["id"] == id {
		return true
	}
	for _, o := range requestLines {
		group := o.fields["group"]
		if group != "" && l.fields["group"] == group && slices.Contains(groupEvents, l.fields["msg"]) {
			return true
		}
		workspace := o.fields["workspace"]
		if workspace != "" && l.fields["workspace"] == workspace && slices.Contains(workspaceEvents, l.fields["msg"]) {
			return true
		}
		if l.file == o.file && slices.Contains(instanceEvents, l.fields["msg"]) {
			return true
		}
	}
	return false
}
