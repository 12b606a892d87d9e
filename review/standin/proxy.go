package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	frontPort = 8784
	readyPort = 8785
	// peerPort is the port for the other proxies, the last of the internal ports.
	peerPort = 7455
	// readyTime is the time in which a proxy must be ready after its start.
	readyTime = 20 * time.Second
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 6 * time.Second
)

// proxy is one process of the system.
type proxy struct {
	name, zone, ip string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// loopbackIP returns an address that only this run uses: the second byte depends on the
// process, so that runs beside each other do not meet.
func loopbackIP(n int) string {
	return fmt.Sprintf("127.%d.%d.1", 20+os.Getpid()%200, n)
}

// startProxy starts a process with the command of the deploy file.
func startProxy(rec *recorder, program, dir, name, zone, ip, storeAddress string, firstStart bool) (*proxy, error) {
	settings := filepath.Join(dir, name+".json")
	data := struct {
		Name, Zone, IP, Store string
		FrontPort, ReadyPort  int
		FirstStart            bool
	}{name, zone, ip, storeAddress, frontPort, readyPort, firstStart}
	if err := os.WriteFile(settings, document("settings.json.tmpl", data), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p := &proxy{name: name, zone: zone, ip: ip, exited: make(chan struct{})}
	p.cmd = exec.Command(program, "serve", "--metrics-port", "7440")
	p.cmd.Env = append(os.Environ(), names.SettingsVariable+"="+settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	rec.printf("proxy %s starts in %s", name, zone)
	return p, nil
}

// awaitReady waits until the proxy reports that it is ready.
func (p *proxy) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.ip, readyPort, names.ReadinessPath))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// stop ends the process.
func (p *proxy) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(gracePeriod):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// session is a client's session at a proxy.
type session struct {
	rec   *recorder
	proxy string
	conn  net.Conn
	in    *bufio.Reader
}

// statementSeq numbers the statements of all clients.
var statementSeq atomic.Uint64

// nextID returns an id that no other statement has.
func nextID() string { return fmt.Sprintf("%016x", 0x5c0e7a21d9000000+statementSeq.Add(1)) }

// connect opens a session at a proxy.
func connect(rec *recorder, p *proxy, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", p.ip, frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{rec: rec, proxy: p.name, conn: conn, in: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s client\r\n", database); err != nil {
		return nil, err
	}
	m, err := readMessage(s.in)
	if err == nil && !strings.HasPrefix(m, "READY") {
		err = fmt.Errorf("startup: %s", m)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// query sends a statement and returns its id and the answer.
func (s *session) query(text string) (id string, a reply, err error) {
	id = nextID()
	s.rec.printf("client sends to %s: %s %q", s.proxy, id, text)
	_ = s.conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err = fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err == nil {
		a, err = readReply(s.in)
	}
	if err != nil {
		s.rec.printf("client has no answer to %s: %v", id, err)
		return id, a, err
	}
	s.rec.printf("client gets for %s: %s", id, a)
	return id, a, nil
}

func (s *session) close() { _ = s.conn.Close() }
