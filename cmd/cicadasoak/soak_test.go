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

// seeds are those that CI plays. A seed that ever failed stays here, with a line
// on the cause.
var seeds = []struct {
	seed string
	args []string
}{
	// A planned stop with a reload, a store that loses answers and is slow, paths
	// cut both ways and one way, a dark primary.
	{"103", short},
	// A planned stop with a reload between a cut path and a dark primary.
	{"1", short},
	// Statements that crossed the end of a resting session counted as cut off.
	{"1001", short},
	// A store that came back from an older copy: all that it told looked older than
	// what was known, and no instance had the newest desired state.
	{"6", short},
	// The entry of a primary that lived lapsed, and reads ran by the word of one of
	// the two members that were left.
	{"33006", lapsing},
	// The same right after the primary had been promoted, for seconds.
	{"33024", lapsing},
}

var (
	short = []string{"--duration", "5s"}
	// A target counts as gone some seconds after its entry, so this takes longer.
	lapsing = []string{"--duration", "20s", "--keyless"}
)

// Some seconds of each seed, with the proxy as it is built from here.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cicadawalk")
	out, err := exec.Command("go", "build", "-o", program, "../cicadawalk").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	for _, s := range seeds {
		t.Run("seed "+s.seed, func(t *testing.T) {
			root := cwcommand.SoakRoot()
			var report bytes.Buffer
			root.SetOut(&report)
			root.SetErr(os.Stderr)
			root.SetArgs(append([]string{"--program", program, "--first-seed", s.seed, "--seeds", "1", "--instances", "7", "--callers", "12"}, s.args...))
			qt.Assert(t, root.Execute(), qt.IsNil, qt.Commentf("%s", report.String()))
			t.Log(report.String())
		})
	}
}

func TestBadFlags(t *testing.T) {
	root := cwcommand.SoakRoot()
	root.SetArgs([]string{"--seeds", "0"})
	err := root.Execute()
	qt.Assert(t, err, qt.ErrorAs, new(*cwcommand.ExitError))
}
