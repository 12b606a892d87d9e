// Command standin plays one case of the review: it starts the proxies as separate
// processes, stands in for the platform's store, the databases and the clients, and
// checks one rule by what the clients and the databases have seen.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotReady = 2
)

// caseRun is what the cases share.
type caseRun struct {
	program string
	dir     string
	// trouble is false for the run without the disruption.
	trouble bool
	rec     *recorder
	store   *store
	group   *group
	network *network
	links   *links

	mu      sync.Mutex
	proxies []*proxy
}

// cases has the function of each case. It returns the violations that it saw.
var cases = map[string]func(*caseRun) ([]string, error){
	"bytes":    playBytes,
	"linefeed": playLineFeed,
	"zonecut":  playZoneCut,
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/cicadawalk", "the proxy")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.String("keep", "", "folder for settings and logs of the proxies; a temporary one if empty")
	flag.Parse()
	os.Exit(play(*name, *program, *record, *keep, *trouble))
}

func play(name, program, record, keep string, trouble bool) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", name)
		return exitNotReady
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotReady
	}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotReady
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	path, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotReady
	}
	n := &network{}
	r := &caseRun{
		program: path, dir: dir, trouble: trouble, rec: rec, store: newStore(), network: n,
		links: &links{network: n, byPair: make(map[[2]string]string)},
	}
	defer r.stop()
	go r.exitOnSignal()
	broken, err := f(r)
	for _, b := range broken {
		rec.printf("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	switch {
	case len(broken) > 0:
		return exitBroken
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotReady
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// stop ends everything that was started.
func (r *caseRun) stop() {
	for _, p := range r.proxies {
		go p.stop()
	}
	for _, p := range r.proxies {
		<-p.exited
	}
	if r.group != nil {
		r.group.close()
	}
	r.links.close()
}

// peers returns the proxies that were started.
func (r *caseRun) peers() []*proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.proxies)
}

// exitOnSignal ends the proxies and this process on SIGINT or SIGTERM.
func (r *caseRun) exitOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	for _, p := range r.peers() {
		_ = p.cmd.Process.Kill()
	}
	os.Exit(exitNotReady)
}

// start starts three databases in the given data centres, the first as the primary, and
// writes the desired state.
func (r *caseRun) start(syncReplicas int, zones []string) error {
	r.group = newGroup(r.rec, r.store, r.network, syncReplicas)
	for i, zone := range zones {
		if err := r.group.add(fmt.Sprintf("i-%d", i+1), zone, loopbackIP(101+i)); err != nil {
			return err
		}
	}
	desired := struct{ SyncReplicas int }{syncReplicas}
	r.store.put("op", "config", document("desired.json.tmpl", desired))
	return nil
}

// zones are the data centres.
var zones = []string{"isb-a", "isb-b", "rwp-c"}

// addProxy starts one proxy with a path of its own to the store.
func (r *caseRun) addProxy(name, zone string, firstStart bool) (*proxy, error) {
	ln, err := net.Listen("tcp4", loopbackIP(200)+":0")
	if err != nil {
		return nil, err
	}
	path := &storePath{network: r.network, store: r.store, proxy: name, convert: r.converter(name)}
	srv := &http.Server{Handler: path, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	p, err := startProxy(r.rec, r.program, r.dir, name, zone, loopbackIP(1+len(r.peers())), ln.Addr().String(), firstStart)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proxies = append(r.proxies, p)
	return p, nil
}

// awaitServing waits until all proxies are ready and serve a write.
func (r *caseRun) awaitServing() error {
	for _, p := range r.proxies {
		if err := p.awaitReady(); err != nil {
			return err
		}
	}
	for _, p := range r.proxies {
		if err := r.awaitWrite(p); err != nil {
			return err
		}
	}
	return nil
}

// awaitWrite waits until a write through a proxy succeeds.
func (r *caseRun) awaitWrite(p *proxy) error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		s, err := connect(r.rec, p, "booking")
		if err != nil {
			continue
		}
		_, a, err := s.query("WRITE probe 0")
		s.close()
		if err == nil && a.acknowledged() {
			return nil
		}
	}
	return fmt.Errorf("%s serves no write", p.name)
}
