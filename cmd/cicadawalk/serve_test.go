package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A SIGHUP that arrives shortly after SIGTERM must not end the process. It did when the
// handler of SIGHUP was removed at the start of a shutdown, and sessions were interrupted.
func TestReloadDuringShutdownKeepsSessions(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("../../platform/testdata/node.json")
	c.Assert(err, qt.IsNil)
	settings := string(text)
	for i := range 4 {
		settings = strings.ReplaceAll(settings, fmt.Sprintf("ADDRESS%d", i+1), freeAddr(c, "127.0.0.1"))
	}
	_, port, err := net.SplitHostPort(freeAddr(c, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	settings = strings.ReplaceAll(settings, "PORT5", port)
	path := filepath.Join(c.TempDir(), "node.json")
	c.Assert(os.WriteFile(path, []byte(settings), 0o600), qt.IsNil)
	cmd := exec.Command(filepath.Join(programDir, "cicadawalk"), "serve", "--settings", path)
	c.Assert(cmd.Start(), qt.IsNil)
	c.Cleanup(func() { _ = cmd.Process.Kill() })
	// The process needs some time until it handles signals.
	time.Sleep(time.Second)
	c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	c.Assert(cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	time.Sleep(200 * time.Millisecond)
	c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	c.Assert(cmd.Wait(), qt.IsNil)
	c.Assert(cmd.ProcessState.ExitCode(), qt.Equals, 0)
}
