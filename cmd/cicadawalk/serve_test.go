package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Callers are cut off in the middle of a planned stop: SIGHUP came shortly after
// SIGTERM, nobody listened for it any more, and the process ended at once.
func TestReloadDuringAShutdownCutsNothing(t *testing.T) {
	c := qt.New(t)
	const text = `{"node_name":"front-1","zone":"z","zones":{"z":"r"},"listen":{"front":%q,"ready":%q},
"limits":{"memory_mb":284},"bounds":{"grace_s":2,"drain_ms":7000,"config_ms":3000,"stability_window_ms":4000},
"platform":{"address":%q},"cloud_api":{"address":%q}}`
	var addrs []any
	for range 4 {
		addrs = append(addrs, freeAddr(c, "127.0.0.1"))
	}
	path := filepath.Join(c.TempDir(), "node.json")
	c.Assert(os.WriteFile(path, fmt.Appendf(nil, text, addrs...), 0o600), qt.IsNil)
	cmd := exec.Command(filepath.Join(bin, "cicadawalk"), "serve", "--settings", path)
	c.Assert(cmd.Start(), qt.IsNil)
	c.Cleanup(func() { _ = cmd.Process.Kill() })
	// Long enough for the process to take signals.
	time.Sleep(time.Second)
	c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	c.Assert(cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	time.Sleep(200 * time.Millisecond)
	c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	c.Assert(cmd.Wait(), qt.IsNil)
	c.Assert(cmd.ProcessState.ExitCode(), qt.Equals, 0)
}
