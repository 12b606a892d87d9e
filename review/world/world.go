package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// zones are the data centres of the test.
var zones = []string{"isb-a", "isb-b", "rwp-c"}

// Names of the test's service and of the route to it.
const (
	serviceName = "huvo11a"
	routeName   = "lepu270"
)

// world is everything that one test runs.
type world struct {
	rec      *record
	store    *store
	group    *group
	api      *platformAPI
	machines []*machine
	dir      string
	// program is the system's program, and storeAddress that of the store.
	program, storeAddress string
}

// newWorld starts the platform, three databases and the machines, and waits until the machines
// are ready.
func newWorld(rec *record, program string, machines int) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, store: newStore(), dir: dir, program: program}
	w.group = newGroup(serviceName, w.store, rec)
	w.api = &platformAPI{group: w.group, rec: rec}
	block := 16 + os.Getpid()%200
	ip := func(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", block, zone, host) }
	storeLn, apiLn := listen(ip(200, 1)+":0"), listen(ip(200, 2)+":0")
	w.storeAddress = storeLn.Addr().String()
	go w.store.run(storeLn)
	go w.api.run(apiLn)
	w.store.put("op", "config", desiredState())
	for i, z := range zones {
		w.group.add(fmt.Sprintf("i-%02x7f3a91c2", i+1), z, ip(100+i, 1))
	}
	for _, d := range w.group.databases {
		go d.loopReceive()
	}
	for i := range machines {
		z := i % len(zones)
		m := &machine{name: fmt.Sprintf("front-%s-%d", zones[z], i/len(zones)+1), zone: zones[z], ip: ip(z+1, i+1), dir: dir}
		m.front, m.ready, m.peer = freeAddress(m.ip), freeAddress(m.ip), freeAddress(m.ip)
		m.api = newLink(m.ip, apiLn.Addr().String())
		if err := m.start(program, m.settings(zones, w.storeAddress, m.api.address(), true)); err != nil {
			return w, err
		}
		w.machines = append(w.machines, m)
	}
	for _, m := range w.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return w, err
		}
	}
	return w, nil
}

// machine returns the machine with a name.
func (w *world) machine(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// endOnSignal ends the processes if the test itself is to end early.
func (w *world) endOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	<-c
	w.close("")
	os.Exit(exitNotRun)
}

// close ends all processes that the test started. The logs of the machines go to keep, if it is
// not empty.
func (w *world) close(keep string) {
	for _, m := range w.machines {
		m.kill()
		if keep != "" {
			if b, err := os.ReadFile(filepath.Join(w.dir, m.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, m.name+".log"), b, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.dir)
}

// desiredState is what the operator has written: one service and a route to it.
func desiredState() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": routeName, "prefix": "/", "kind": "primary", "timeout_ms": 1000, names["aim"]: 200, "priority": 1,
			"service": serviceName, "max_attempts": 2,
		}},
		"services": []map[string]any{{
			"name": serviceName, "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false, names["syncReplicas"]: 0,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, names["transactionIdle"]: 3000,
		},
	}
}

// awaitPrimary waits until the database that was promoted last runs and leads.
func (w *world) awaitPrimary(within time.Duration) string {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if id := w.group.currentPrimary(); id != "" {
			return id
		}
	}
	return ""
}
