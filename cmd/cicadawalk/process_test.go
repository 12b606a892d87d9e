package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"cicadawalk.example/cicadawalk/internal/tool/cwload"
)

// programDir is the folder into which TestMain builds the programs.
var programDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cicadawalk")
	if err != nil {
		panic(err)
	}
	programDir = dir
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// deployment is the trial deployment of the README as separate processes: three
// databases, the platform and two proxies.
type deployment struct {
	c           *qt.C
	platform    string
	databases   []*exec.Cmd
	proxies     []*exec.Cmd
	callerAddrs []string
	httpAddrs   []string
}

// assignedAddrs has the addresses that freeAddr returned. The kernel may assign a port
// again before the program that it is for listens on it; of two programs with the same
// address, the second one exits at once.
var assignedAddrs sync.Map

// freeAddr returns an address on a loopback host on which nothing listens and which it has
// not returned before.
func freeAddr(c *qt.C, host string) string {
	for {
		ln, err := net.Listen("tcp", host+":0")
		c.Assert(err, qt.IsNil)
		addr := ln.Addr().String()
		c.Assert(ln.Close(), qt.IsNil)
		if _, taken := assignedAddrs.LoadOrStore(addr, true); !taken {
			return addr
		}
	}
}

// startProgram starts a program, which is killed at the end of the test.
func (d *deployment) startProgram(program string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(programDir, program), args...)
	d.c.Assert(cmd.Start(), qt.IsNil)
	d.c.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

// runProgram runs a program and returns its output and its exit code.
func (d *deployment) runProgram(program string, args ...string) (string, int) {
	out, err := exec.Command(filepath.Join(programDir, program), args...).CombinedOutput()
	if ee, ok := err.(*exec.ExitError); ok {
		return string(out), ee.ExitCode()
	}
	d.c.Assert(err, qt.IsNil)
	return string(out), 0
}

// startDeployment starts the databases, the platform and the proxies, and waits until both
// proxies run statements.
func startDeployment(t *testing.T) *deployment {
	c := qt.New(t)
	d := &deployment{c: c}
	dir := c.TempDir()
	var db []string
	for i := range 3 {
		db = append(db, freeAddr(c, fmt.Sprintf("127.0.%d.1", i+1)))
	}
	for i, addr := range db {
		args := []string{"database", "--id", fmt.Sprintf("libro-1-%d", i+1), "--listen", addr}
		if i == 0 {
			args = append(args, "--primary")
		} else {
			args = append(args, "--follow", db[0], "--follow-id", "libro-1-1")
		}
		d.databases = append(d.databases, d.startProgram("cicadastandin", args...))
	}
	var peers []string
	for i := range 2 {
		host := fmt.Sprintf("127.0.%d.1", i+1)
		d.callerAddrs = append(d.callerAddrs, freeAddr(c, host))
		peers = append(peers, freeAddr(c, host))
		d.httpAddrs = append(d.httpAddrs, freeAddr(c, host))
	}
	text, err := os.ReadFile("../../examples/trial-instances.json")
	c.Assert(err, qt.IsNil)
	list := strings.NewReplacer("127.0.1.1:6544", peers[0], "127.0.2.1:6544", peers[1]).Replace(string(text))
	instances := filepath.Join(dir, "instances.json")
	c.Assert(os.WriteFile(instances, []byte(list), 0o600), qt.IsNil)
	platform := freeAddr(c, "127.0.0.1")
	d.platform = "http://" + platform
	d.startProgram("cicadastandin", "platform", "--listen", platform, "--instances", instances, "--list-lag", "100ms")

	text, err = os.ReadFile("../../examples/trial.json")
	c.Assert(err, qt.IsNil)
	catalogue := strings.NewReplacer("127.0.1.1:5432", db[0], "127.0.2.1:5432", db[1], "127.0.3.1:5432", db[2]).Replace(string(text))
	file := filepath.Join(dir, "catalogue.json")
	c.Assert(os.WriteFile(file, []byte(catalogue), 0o600), qt.IsNil)
	waitFor(c, "the platform", func() bool {
		_, code := d.runProgram("cicadawalk", "catalogue", "apply", file, "--yes", "--who", "maria", "--platform", d.platform)
		return code == 0
	})
	for i := range 2 {
		d.proxies = append(d.proxies, d.startProgram("cicadawalk", "proxy",
			"--instance", fmt.Sprintf("entry-%d", i+1), "--data-centre", []string{"hall-rufino", "hall-chivilcoy"}[i],
			"--listen", d.callerAddrs[i], "--peer-listen", peers[i], "--http-listen", d.httpAddrs[i],
			"--platform", d.platform, "--list-lag", "200ms"))
	}
	waitFor(c, "the proxies", func() bool {
		for i := range d.callerAddrs {
			conn, err := pgx.Connect(context.Background(), d.url(i))
			if err != nil {
				return false
			}
			_, err = conn.Exec(context.Background(), "CREATE TABLE IF NOT EXISTS probe (id bigint)")
			_ = conn.Close(context.Background())
			if err != nil {
				return false
			}
		}
		return true
	})
	return d
}

func (d *deployment) url(i int) string {
	return "postgres://casero@" + d.callerAddrs[i] + "/libro-rondas?sslmode=disable"
}

// waitFor calls ok every 50 ms until it returns true. It fails after 300 calls.
func waitFor(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for range 300 {
		if ok() {
			return
		}
		<-time.After(50 * time.Millisecond)
	}
	c.Fatalf("%s did not become ready", what)
}

// The consistency guarantees with separate processes: a primary or a proxy is killed, or
// suspended by SIGSTOP for two seconds, while sessions move between the proxies. No
// acknowledged record may be lost or duplicated, and no session may miss its own writes.
func TestProcessesUnderFailure(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(d *deployment)
	}{
		{"primary killed", func(d *deployment) { _ = d.databases[0].Process.Kill() }},
		{"primary suspended and resumed", func(d *deployment) {
			_ = d.databases[0].Process.Signal(syscall.SIGSTOP)
			time.AfterFunc(2*time.Second, func() { _ = d.databases[0].Process.Signal(syscall.SIGCONT) })
		}},
		{"proxy killed", func(d *deployment) { _ = d.proxies[1].Process.Kill() }},
		{"proxy suspended and resumed", func(d *deployment) {
			_ = d.proxies[1].Process.Signal(syscall.SIGSTOP)
			time.AfterFunc(2*time.Second, func() { _ = d.proxies[1].Process.Signal(syscall.SIGCONT) })
		}},
		{"primary and a proxy killed together", func(d *deployment) {
			_ = d.databases[0].Process.Kill()
			_ = d.proxies[1].Process.Kill()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t)
			time.AfterFunc(time.Second, func() { tc.fault(d) })
			rep, err := cwload.Run(context.Background(), cwload.Plan{
				URLs: []string{d.url(0), d.url(1)}, Sessions: 8, Duration: 4 * time.Second,
				WriteShare: 0.3, Rate: 300, SwitchProxyEvery: 15, RequestKeys: true, Seed: 2, Table: "ronda",
			}, d.url(0))
			d.c.Assert(err, qt.IsNil)
			d.c.Check(rep.NoViolations(), qt.IsTrue, qt.Commentf("%+v", rep))
			d.c.Check(rep.Acknowledged > 0, qt.IsTrue)
		})
	}
}

// The commands of operators: status reports that all is well, an invalid file is refused
// with line and field, a concurrent change names its author, and a proxy exits with code
// 0 after SIGTERM.
func TestOperatorCommands(t *testing.T) {
	d := startDeployment(t)
	c := d.c
	waitFor(c, "status to report that all is well", func() bool {
		out, code := d.runProgram("cicadawalk", "status", "--proxies", strings.Join(d.httpAddrs, ","))
		return code == 0 && strings.Contains(out, "All is well. Nobody has to act.")
	})
	out, code := d.runProgram("cicadawalk", "catalogue", "get", "--platform", d.platform)
	c.Assert(code, qt.Equals, 0)
	edited := filepath.Join(c.TempDir(), "edited.json")
	c.Assert(os.WriteFile(edited, []byte(strings.Replace(out, `"slots": 3`, `"slots": 4`, 1)), 0o600), qt.IsNil)
	apply := []string{"catalogue", "apply", edited, "--platform", d.platform, "--who", "jorge"}
	out, code = d.runProgram("cicadawalk", apply...)
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.Contains, "nothing was applied")
	_, code = d.runProgram("cicadawalk", append(apply, "--yes")...)
	c.Assert(code, qt.Equals, 0)
	out, code = d.runProgram("cicadawalk", append(apply, "--yes")...)
	c.Assert(code, qt.Equals, 3)
	c.Assert(out, qt.Contains, "revision 2 by jorge")

	c.Assert(os.WriteFile(edited, []byte("{\n \"colour\": 1\n}"), 0o600), qt.IsNil)
	out, code = d.runProgram("cicadawalk", "catalogue", "check", edited)
	c.Assert(code, qt.Equals, 2)
	c.Assert(out, qt.Contains, "line 2: colour")

	_, code = d.runProgram("cicadawalk", "stop", "plan", "libro-1-3", "--platform", d.platform, "--who", "ana")
	c.Assert(code, qt.Equals, 0)
	out, _ = d.runProgram("cicadawalk", "stop", "list", "--platform", d.platform)
	c.Assert(out, qt.Contains, "libro-1-3  planned by ana")
	_, code = d.runProgram("cicadawalk", "stop", "plan", "absent", "--platform", d.platform, "--who", "ana")
	c.Assert(code, qt.Equals, 2)
	out, code = d.runProgram("cicadawalk", "catalogue", "get", "--revision", "1", "--platform", d.platform)
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.Contains, `"slots": 3`)
	c.Assert(out, qt.Contains, `"revision": 3`)
	_, code = d.runProgram("cicadawalk", "catalogue", "get", "--revision", "77", "--platform", d.platform)
	c.Assert(code, qt.Equals, 2)
	out, _ = d.runProgram("cicadawalk", "catalogue", "history", "--platform", d.platform)
	for _, want := range []string{"maria: revision 1", "jorge: revision 2", "ana: revision 3"} {
		c.Assert(out, qt.Contains, want)
	}
	out, code = d.runProgram("cicadawalk", "proxy", "--listen", "nowhere", "--list-lag", "-1s")
	c.Assert(code, qt.Equals, 2)
	for _, want := range []string{"--listen (CICADAWALK_LISTEN)", "--instance", "--platform", "--list-lag"} {
		c.Assert(out, qt.Contains, want)
	}
	c.Assert(d.proxies[0].Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(d.proxies[0].Wait(), qt.IsNil)
}
