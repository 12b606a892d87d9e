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
var seeds = []string{
	// A planned stop with a reload, a store that loses answers and is slow, paths
	// cut both ways and one way, a dark primary.
	"103",
	// A planned stop with a reload between a cut path and a dark primary.
	"1",
	// Statements that crossed the end of a resting session counted as cut off.
	"1001",
	// A store that came back from an older copy: all that it told looked older than
	// what was known, and no instance had the newest desired state.
	"6",
}

// A few seconds of each seed, with the proxy as it is built from here.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cicadawalk")
	out, err := exec.Command("go", "build", "-o", program, "../cicadawalk").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	for _, seed := range seeds {
		t.Run("seed "+seed, func(t *testing.T) {
			root := cwcommand.SoakRoot()
			var report bytes.Buffer
			root.SetOut(&report)
			root.SetErr(os.Stderr)
			root.SetArgs([]string{"--program", program, "--first-seed", seed, "--seeds", "1", "--duration", "5s", "--instances", "7", "--callers", "12"})
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
