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
	assertOutlivesSignals(c, exec.Command(filepath.Join(programDir, "cicadawalk"), "serve", "--settings", path))
}

// Guards against sessions that are cut off by a SIGHUP, which nothing handled in a proxy of
// the PostgreSQL side, or by the end of whoever read its log.
func TestSignalsDoNotEndProxyAtOnce(t *testing.T) {
	c := qt.New(t)
	log, reader, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	cmd := exec.Command(filepath.Join(programDir, "cicadawalk"), "proxy", "--instance", "entry-1", "--data-centre", "hall-rufino",
		"--platform", "http://"+freeAddr(c, "127.0.0.1"), "--listen", freeAddr(c, "127.0.0.1"),
		"--peer-listen", freeAddr(c, "127.0.0.1"), "--http-listen", freeAddr(c, "127.0.0.1"))
	cmd.Stderr = reader
	c.Assert(log.Close(), qt.IsNil)
	assertOutlivesSignals(c, cmd)
}

// assertOutlivesSignals starts a proxy and checks that it ends with code 0 after signals in
// series, and not before the first SIGTERM.
func assertOutlivesSignals(c *qt.C, cmd *exec.Cmd) {
	c.Assert(cmd.Start(), qt.IsNil)
	c.Cleanup(func() { _ = cmd.Process.Kill() })
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	// The process needs some time until it handles signals.
	time.Sleep(time.Second)
	c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	select {
	case err := <-ended:
		c.Fatalf("the process ended: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		// The process may have ended before the last ones.
		_ = cmd.Process.Signal(s)
		time.Sleep(100 * time.Millisecond)
	}
	c.Assert(<-ended, qt.IsNil)
}
