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

// bin is where TestMain builds the programs.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cicadawalk")
	if err != nil {
		panic(err)
	}
	bin = dir
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// trial is the README's trial as separate processes: three databases, the
// platform and two proxies.
type trial struct {
	c         *qt.C
	platform  string
	databases []*exec.Cmd
	proxies   []*exec.Cmd
	addrs     []string
	https     []string
}

// given holds the addresses that were given out. The kernel may hand out a port
// again before the program that it was meant for listens on it; of two programs
// with one address the second one ends at once.
var given sync.Map

// freeAddr returns an address on a loopback host that nothing listens on, and
// that no other test was given.
func freeAddr(c *qt.C, host string) string {
	for {
		ln, err := net.Listen("tcp", host+":0")
		c.Assert(err, qt.IsNil)
		addr := ln.Addr().String()
		c.Assert(ln.Close(), qt.IsNil)
		if _, taken := given.LoadOrStore(addr, true); !taken {
			return addr
		}
	}
}

func (tr *trial) start(program string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(bin, program), args...)
	tr.c.Assert(cmd.Start(), qt.IsNil)
	tr.c.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

func (tr *trial) run(program string, args ...string) (string, int) {
	out, err := exec.Command(filepath.Join(bin, program), args...).CombinedOutput()
	if ee, ok := err.(*exec.ExitError); ok {
		return string(out), ee.ExitCode()
	}
	tr.c.Assert(err, qt.IsNil)
	return string(out), 0
}

func startTrial(t *testing.T) *trial {
	c := qt.New(t)
	tr := &trial{c: c}
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
		tr.databases = append(tr.databases, tr.start("cicadastandin", args...))
	}
	var peers []string
	for i := range 2 {
		host := fmt.Sprintf("127.0.%d.1", i+1)
		tr.addrs = append(tr.addrs, freeAddr(c, host))
		peers = append(peers, freeAddr(c, host))
		tr.https = append(tr.https, freeAddr(c, host))
	}
	text, err := os.ReadFile("../../examples/trial-instances.json")
	c.Assert(err, qt.IsNil)
	list := strings.NewReplacer("127.0.1.1:6544", peers[0], "127.0.2.1:6544", peers[1]).Replace(string(text))
	instances := filepath.Join(dir, "instances.json")
	c.Assert(os.WriteFile(instances, []byte(list), 0o600), qt.IsNil)
	platform := freeAddr(c, "127.0.0.1")
	tr.platform = "http://" + platform
	tr.start("cicadastandin", "platform", "--listen", platform, "--instances", instances, "--list-lag", "100ms")

	text, err = os.ReadFile("../../examples/trial.json")
	c.Assert(err, qt.IsNil)
	cat := strings.NewReplacer("127.0.1.1:5432", db[0], "127.0.2.1:5432", db[1], "127.0.3.1:5432", db[2]).Replace(string(text))
	file := filepath.Join(dir, "catalogue.json")
	c.Assert(os.WriteFile(file, []byte(cat), 0o600), qt.IsNil)
	waitFor(c, "the platform", func() bool {
		_, code := tr.run("cicadawalk", "catalogue", "apply", file, "--yes", "--who", "maria", "--platform", tr.platform)
		return code == 0
	})
	for i := range 2 {
		tr.proxies = append(tr.proxies, tr.start("cicadawalk", "proxy",
			"--instance", fmt.Sprintf("entry-%d", i+1), "--data-centre", []string{"hall-rufino", "hall-chivilcoy"}[i],
			"--listen", tr.addrs[i], "--peer-listen", peers[i], "--http-listen", tr.https[i],
			"--platform", tr.platform, "--list-lag", "200ms"))
	}
	waitFor(c, "the proxies", func() bool {
		for i := range tr.addrs {
			conn, err := pgx.Connect(context.Background(), tr.url(i))
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
	return tr
}

func (tr *trial) url(i int) string {
	return "postgres://casero@" + tr.addrs[i] + "/libro-rondas?sslmode=disable"
}

func waitFor(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for range 300 {
		if ok() {
			return
		}
		<-time.After(50 * time.Millisecond)
	}
	c.Fatalf("%s did not come up", what)
}

// The promises with real processes: a kill -9, a freeze by SIGSTOP and a
// proxy's SIGTERM in the middle of roaming load. Nothing acknowledged may be
// lost, doubled or stale.
func TestProcessesUnderFailure(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(tr *trial)
	}{
		{"primary killed", func(tr *trial) { _ = tr.databases[0].Process.Kill() }},
		{"primary frozen and woken", func(tr *trial) {
			_ = tr.databases[0].Process.Signal(syscall.SIGSTOP)
			time.AfterFunc(2*time.Second, func() { _ = tr.databases[0].Process.Signal(syscall.SIGCONT) })
		}},
		{"proxy killed", func(tr *trial) { _ = tr.proxies[1].Process.Kill() }},
		{"proxy frozen and woken", func(tr *trial) {
			_ = tr.proxies[1].Process.Signal(syscall.SIGSTOP)
			time.AfterFunc(2*time.Second, func() { _ = tr.proxies[1].Process.Signal(syscall.SIGCONT) })
		}},
		{"primary and a proxy killed together", func(tr *trial) {
			_ = tr.databases[0].Process.Kill()
			_ = tr.proxies[1].Process.Kill()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := startTrial(t)
			time.AfterFunc(time.Second, func() { tc.fault(tr) })
			rep, err := cwload.Run(context.Background(), cwload.Plan{
				URLs: []string{tr.url(0), tr.url(1)}, Sessions: 8, Duration: 4 * time.Second,
				WriteShare: 0.3, Rate: 300, RoamEvery: 15, Keys: true, Seed: 2, Table: "ronda",
			}, tr.url(0))
			tr.c.Assert(err, qt.IsNil)
			tr.c.Check(rep.OK(), qt.IsTrue, qt.Commentf("%+v", rep))
			tr.c.Check(rep.Acknowledged > 0, qt.IsTrue)
		})
	}
}

// An operator's first day: status says that all is well, a bad file is refused
// with line and field, a race names who was first, and SIGTERM ends with 0.
func TestOperators(t *testing.T) {
	tr := startTrial(t)
	c := tr.c
	waitFor(c, "all being well", func() bool {
		out, code := tr.run("cicadawalk", "status", "--proxies", strings.Join(tr.https, ","))
		return code == 0 && strings.Contains(out, "All is well. Nobody has to act.")
	})
	out, code := tr.run("cicadawalk", "catalogue", "get", "--platform", tr.platform)
	c.Assert(code, qt.Equals, 0)
	edited := filepath.Join(c.TempDir(), "edited.json")
	c.Assert(os.WriteFile(edited, []byte(strings.Replace(out, `"slots": 3`, `"slots": 4`, 1)), 0o600), qt.IsNil)
	apply := []string{"catalogue", "apply", edited, "--platform", tr.platform, "--who", "jorge"}
	out, code = tr.run("cicadawalk", apply...)
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.Contains, "nothing was applied")
	_, code = tr.run("cicadawalk", append(apply, "--yes")...)
	c.Assert(code, qt.Equals, 0)
	out, code = tr.run("cicadawalk", append(apply, "--yes")...)
	c.Assert(code, qt.Equals, 3)
	c.Assert(out, qt.Contains, "revision 2 by jorge")

	c.Assert(os.WriteFile(edited, []byte("{\n \"colour\": 1\n}"), 0o600), qt.IsNil)
	out, code = tr.run("cicadawalk", "catalogue", "check", edited)
	c.Assert(code, qt.Equals, 2)
	c.Assert(out, qt.Contains, "line 2: colour")

	_, code = tr.run("cicadawalk", "stop", "plan", "libro-1-3", "--platform", tr.platform, "--who", "ana")
	c.Assert(code, qt.Equals, 0)
	out, _ = tr.run("cicadawalk", "stop", "list", "--platform", tr.platform)
	c.Assert(out, qt.Contains, "libro-1-3  planned by ana")
	_, code = tr.run("cicadawalk", "stop", "plan", "absent", "--platform", tr.platform, "--who", "ana")
	c.Assert(code, qt.Equals, 2)
	out, code = tr.run("cicadawalk", "catalogue", "get", "--revision", "1", "--platform", tr.platform)
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.Contains, `"slots": 3`)
	c.Assert(out, qt.Contains, `"revision": 3`)
	_, code = tr.run("cicadawalk", "catalogue", "get", "--revision", "77", "--platform", tr.platform)
	c.Assert(code, qt.Equals, 2)
	out, _ = tr.run("cicadawalk", "catalogue", "history", "--platform", tr.platform)
	for _, want := range []string{"maria: revision 1", "jorge: revision 2", "ana: revision 3"} {
		c.Assert(out, qt.Contains, want)
	}
	out, code = tr.run("cicadawalk", "proxy", "--listen", "nowhere", "--list-lag", "-1s")
	c.Assert(code, qt.Equals, 2)
	for _, want := range []string{"--listen (CICADAWALK_LISTEN)", "--instance", "--platform", "--list-lag"} {
		c.Assert(out, qt.Contains, want)
	}
	c.Assert(tr.proxies[0].Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(tr.proxies[0].Wait(), qt.IsNil)
}
