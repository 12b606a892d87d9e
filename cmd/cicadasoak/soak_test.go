package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/tool/cwcommand"
)

// seeds are the seeds that CI runs. Each seed that has ever failed stays here, with the
// faults or the cause of the failure.
var seeds = []struct {
	seed string
	args []string
}{
	// A planned stop with a reload, a store that loses answers and is slow, paths that
	// are cut in both directions and in one, a primary that does not answer.
	{"103", shortArgs},
	// A planned stop with a reload, between a cut path and a primary that does not
	// answer.
	{"1", shortArgs},
	// Statements that crossed the end of an idle session on the network counted as
	// interrupted.
	{"1001", shortArgs},
	// The store was restored from an older snapshot: all its answers looked older than
	// the data that instances had, and no instance got the newest desired state.
	{"6", shortArgs},
	// The entry of a running primary lapsed, and reads ran after an answer from only
	// one of the two remaining members.
	{"33006", lapseArgs},
	// The same, for several seconds right after the promotion of the primary.
	{"33024", lapseArgs},
}

var (
	shortArgs = []string{"--duration", "5s"}
	// A target counts as gone only some seconds after its entry lapsed, so these seeds
	// run longer.
	lapseArgs = []string{"--duration", "20s", "--keyless"}
)

// TestSoak runs the soak for a few seconds with each seed.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
	for _, s := range seeds {
		t.Run("seed "+s.seed, func(t *testing.T) {
			assertNothingBroken(t, append([]string{"--program", program, "--first-seed", s.seed, "--instances", "7", "--callers", "12"}, s.args...))
		})
	}
}

// Guards against records lost, and reads that miss them, while databases are replaced, data
// centres are cut off, replicas receive nothing and primaries crash.
func TestSoakWithReplacements(t *testing.T) {
	program := buildProgram(t)
	for _, tc := range []struct {
		seed string
		args []string
	}{
		// All instances were killed while two databases were leaving.
		{"52001", []string{"--synchronous"}},
		// Reads missed records of databases that were leaving.
		{"52003", nil},
	} {
		t.Run("seed "+tc.seed, func(t *testing.T) {
			assertNothingBroken(t, append([]string{
				"--program", program, "--first-seed", tc.seed, "--instances", "7", "--callers", "12", "--duration", "18s",
				"--keyless", "--replacements",
			}, tc.args...))
		})
	}
}

// Guards against a planned stop that leaves a statement, which the instance has read or
// forwarded, without an answer.
func TestStopAnswersWhatWasRead(t *testing.T) {
	program := buildProgram(t)
	for _, seed := range []string{"1", "2"} {
		t.Run("seed "+seed, func(t *testing.T) {
			assertNothingBroken(t, []string{"--program", program, "--first-seed", seed, "--instances", "9", "--callers", "36", "--stops", "--duration", "12s"})
		})
	}
}

// Guards against callers that end an instance, or shut out others, by the memory that they make it
// hold.
func TestCallersDoNotTakeTheMemory(t *testing.T) {
	assertNothingBroken(t, []string{
		"--program", buildProgram(t), "--first-seed", "1", "--instances", "4", "--callers", "24", "--memory", "--keyless",
		"--duration", "17s",
	})
}

// buildProgram builds the proxy and returns its path.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "cicadawalk")
	out, err := exec.Command("go", "build", "-o", program, "../cicadawalk").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return program
}

// assertNothingBroken runs the soak once and fails the test if a guarantee was violated.
func assertNothingBroken(t *testing.T, args []string) {
	root := cwcommand.SoakCommand()
	var report bytes.Buffer
	root.SetOut(&report)
	root.SetErr(os.Stderr)
	root.SetArgs(append(args, "--seeds", "1"))
	qt.Assert(t, root.Execute(), qt.IsNil, qt.Commentf("%s", report.String()))
	t.Log(report.String())
}

// Invalid flags must end the command with an exit code before anything is started.
func TestInvalidFlags(t *testing.T) {
	root := cwcommand.SoakCommand()
	root.SetArgs([]string{"--seeds", "0"})
	err := root.Execute()
	qt.Assert(t, err, qt.ErrorAs, new(*cwcommand.ExitError))
}
