package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// machine is one process of the system, started as the deploy file says.
type machine struct {
	name, zone, ip     string
	front, ready, peer string
	api                *link
	dir                string
	cmd                *exec.Cmd
	ended              chan struct{}
}

// freeAddress returns a free address on an IP.
func freeAddress(ip string) string {
	ln := listen(ip + ":0")
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// settings returns the settings file of the machine; first is true at the first start of the whole
// system. The figures are those of a small site.
func (m *machine) settings(zones []string, storeAddress, apiAddress string, first bool) []byte {
	all := make(map[string]string)
	for _, z := range zones {
		all[z] = "pk-north"
	}
	_, peerPort, _ := net.SplitHostPort(m.peer)
	b, err := json.MarshalIndent(map[string]any{
		names["machine"]: m.name, "role": "proxy", "machine_class": "front", "serves": []string{"front"},
		"ip": m.ip, "zone": m.zone, "region": "pk-north", "zones": all,
		"listen":         map[string]string{"front": m.front, "ready": m.ready},
		"internal_ports": []json.Number{"7440", json.Number(peerPort)},
		"seeds":          []string{}, "bootstrap": first,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4300, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		"fault_tolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 7000,
			"grace_s": 6, "loss_slack_ms": 200, "config_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000, "recovery_s": 12,
			"require_fencing": false, "thaw_slack_ms": 300,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 3.0, "part_writes_s": 300,
			"row_bytes": 65536, "across": true, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
		"cloud_api": map[string]any{"address": apiAddress, "per_s": 50.0, "duties": []string{"failover"}, "duty_per_s": 50.0},
	}, "", "  ")
	if err != nil {
		panic(err)
	}
	return b
}

// start starts the process.
func (m *machine) start(program string, settings []byte) error {
	path := filepath.Join(m.dir, m.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(program, "serve", "--metrics-port", "7440")
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.dir, names["settings"] + "=" + path}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func() {
		_ = m.cmd.Wait()
		_ = out.Close()
		close(m.ended)
	}()
	return nil
}

// awaitReady waits until the machine answers its probe with 200.
func (m *machine) awaitReady(within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get("http://" + m.ready + names["readiness"])
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// kill ends the process.
func (m *machine) kill() {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.ended
}
