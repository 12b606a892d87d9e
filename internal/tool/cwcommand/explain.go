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

// Bounds of an explanation.
const (
	// around is how long before and after a request's own lines the lines about
	// its group are shown: detection and promotion of a change of primary.
	around = 3 * time.Second
	// maxLine is the longest log line that is read.
	maxLine = 1 << 20
)

// groupEvents are the messages about a group that can explain a request.
var groupEvents = []string{
	"claimSeen", "primaryKnown", "primaryChanged", "primaryNotChanged", "targetLost", "membersCounted",
	"promotionUnknown", "order", "orderTooLate", "targetRestarted", "restartChecked", "emptyMemberCounts",
}

// instanceEvents are the messages about an instance that can explain one.
var instanceEvents = []string{
	"storeLost", "storeRegained", "pathSuspected", "isolated", "reconnected", "draining", "drained", "started", "stopped",
	"historyLost", "linesLeftOut", "newsSource", "feederLost",
}

// logLine is one line of a log file.
type logLine struct {
	at     time.Time
	file   string
	text   string
	fields map[string]string
}

// UnknownRequestError reports an id that no file names.
type UnknownRequestError struct{ ID string }

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line has id=%s; it was served, or its lines were left out (look for linesLeftOut)", e.ID)
}

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Tell a request's story from the logs of instances",
		Long: `Reads log files of one or more instances and prints, in the order of time, the
lines of the request with the id, and what its group and its instance went
through around it. Exit code 1 if no line names the id.`,
		Example: "  cicadawalk explain 5c0e7a21d94b36f8 front-*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []logLine
			for _, path := range args[1:] {
				more, err := readLog(path)
				if err != nil {
					return &ExitError{Code: ExitUsage, Cause: err}
				}
				lines = append(lines, more...)
			}
			return explain(cmd.OutOrStdout(), args[0], lines)
		},
	}
}

func readLog(path string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return parseLog(filepath.Base(path), f)
}

// parseLog reads lines of key=value pairs. What stands before the time, such as
// the name that a collector puts there, is taken for the file's name.
func parseLog(file string, r io.Reader) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
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

// explain prints the lines that tell the story of a request.
func explain(w io.Writer, id string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var own []logLine
	for _, l := range lines {
		if l.fields["id"] == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return &ExitError{Code: ExitFailed, Cause: &UnknownRequestError{ID: id}}
	}
	from, to := own[0].at.Add(-around), own[len(own)-1].at.Add(around)
	for _, l := range lines {
		if l.at.Before(from) || l.at.After(to) || !belongs(l, id, own) {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s %s\n", l.file, l.text); err != nil {
			return err
		}
	}
	return nil
}

// belongs reports whether a line is the request's own, about its group, or about
// an instance that served it.
func belongs(l logLine, id string, own []logLine) bool {
	if l.fields["id"] == id {
		return true
	}
	for _, o := range own {
		group := o.fields["group"]
		if group != "" && l.fields["group"] == group && slices.Contains(groupEvents, l.fields["msg"]) {
			return true
		}
		if l.file == o.file && slices.Contains(instanceEvents, l.fields["msg"]) {
			return true
		}
	}
	return false
}
