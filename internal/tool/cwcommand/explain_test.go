package cwcommand

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const instanceXLog = `time=2026-01-02T03:04:05.1Z level=warn msg=targetLost group=s target=i-1 cause="connection refused"
time=2026-01-02T03:04:05.2Z level=info msg=statementFailed id=5c verb=write database=d group=s code=aborted why="it does not answer" tookMs=2
time=2026-01-02T03:04:05.2Z level=info msg=statementFailed id=77 verb=write database=e group=other workspace=w code=busy tookMs=2
time=2026-01-02T03:04:05.3Z level=info msg=claimSeen group=other term=2
not a log line
time=never msg=broken id=5c
`

const instanceYLog = `time=2026-01-02T03:04:05.15Z level=info msg=claimSeen group=s term=2 claim=y-1 done=false
time=2026-01-02T03:04:06.9Z level=info msg=primaryKnown group=s primary=i-2 term=2
time=2026-01-02T03:05:00Z level=info msg=primaryKnown group=s primary=i-3 term=3
time=2026-01-02T03:04:05.2Z level=warn msg=storeLost topic=own
time=2026-01-02T03:04:04.9Z level=info msg=quotaChanged workspace=w rate=33
time=2026-01-02T03:04:04.9Z level=info msg=quotaChanged workspace=v rate=33
`

func parseTestLogs(t *testing.T) []logLine {
	x, err := parseLog("x.log", strings.NewReader(instanceXLog))
	qt.Assert(t, err, qt.IsNil)
	y, err := parseLog("y.log", strings.NewReader(instanceYLog))
	qt.Assert(t, err, qt.IsNil)
	return append(x, y...)
}

// The lines that explain a failed request are in the logs of two instances: one lost
// the connection to the target, the other one replaced the primary. Lines of other
// groups, of other times, and without a valid time are left out.
func TestExplain(t *testing.T) {
	qt.Assert(t, explained(t, "5c"), qt.DeepEquals, []string{
		"x.log targetLost", "y.log claimSeen", "x.log statementFailed", "y.log primaryKnown",
	})
	t.Run("quota at another instance", func(t *testing.T) {
		qt.Assert(t, explained(t, "77"), qt.DeepEquals, []string{"y.log quotaChanged", "x.log statementFailed", "x.log claimSeen"})
	})
}

// explained returns the file and the message of each line that explains a request.
func explained(t *testing.T, id string) (got []string) {
	var out bytes.Buffer
	qt.Assert(t, explain(&out, id, parseTestLogs(t)), qt.IsNil)
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		file, rest, _ := strings.Cut(line, " ")
		_, msg, _ := strings.Cut(rest, "msg=")
		msg, _, _ = strings.Cut(msg, " ")
		got = append(got, file+" "+msg)
	}
	return got
}

func TestExplainUnknownRequest(t *testing.T) {
	err := explain(&bytes.Buffer{}, "none", parseTestLogs(t))
	var unknown *UnknownRequestError
	qt.Assert(t, errors.As(err, &unknown), qt.IsTrue)
}
