package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// storeZone is the place of the platform's store and of its promotion call.
const storeZone = "platform"

// pathPoll is how often something that waits for a path looks whether it is back.
const pathPoll = 2 * time.Millisecond

// network says which places reach each other. A path that is cut is silent: what is sent
// arrives once it is back, unless its sender has closed the connection.
type network struct {
	mu sync.Mutex
	// cutZone is the data centre that is partitioned from all others and from the store;
	// empty if there is none.
	cutZone string
}

// setCut partitions a data centre, or ends the partition if zone is empty.
func (n *network) setCut(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutZone = zone
}

// reaches reports whether there is a path between two places.
func (n *network) reaches(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutZone == "" || (a == n.cutZone) == (b == n.cutZone)
}

// await waits until there is a path. It returns false if ctx ends first.
func (n *network) await(ctx context.Context, a, b string) bool {
	for !n.reaches(a, b) {
		select {
		case <-time.After(pathPoll):
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}

// zoneOf returns the data centre in the name of a proxy, front-ZONE-N.
func zoneOf(name string) string {
	name = strings.TrimPrefix(name, "front-")
	if i := strings.LastIndex(name, "-"); i >= 0 {
		return name[:i]
	}
	return name
}

// storePath is the path of one proxy to the store. Since the paths between proxies go
// through links, it gives the proxy the addresses of its links in place of those of the
// other proxies.
type storePath struct {
	network *network
	store   *store
	proxy   string
	// convert replaces the addresses of the other proxies.
	convert func([]byte) []byte
}

// ServeHTTP implements http.Handler.
func (p *storePath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.network.await(r.Context(), zoneOf(p.proxy), storeZone) {
		return
	}
	status, body := p.store.handle(r, p.convert)
	if !p.network.await(r.Context(), zoneOf(p.proxy), storeZone) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// links are the paths between proxies: one address for each pair.
type links struct {
	network *network

	mu sync.Mutex
	// byPair has the address of the link from one proxy to the address of another.
	byPair map[[2]string]string
	all    []net.Listener
}

// address returns the address at which a proxy reaches the one that listens at to, which
// is in another zone. It starts the link if there is none.
func (l *links) address(from, to, toZone string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pair := [2]string{from, to}
	if a, ok := l.byPair[pair]; ok {
		return a, nil
	}
	ln, err := net.Listen("tcp4", loopbackIP(201)+":0")
	if err != nil {
		return "", err
	}
	l.byPair[pair], l.all = ln.Addr().String(), append(l.all, ln)
	go l.accept(ln, zoneOf(from), to, toZone)
	return ln.Addr().String(), nil
}

func (l *links) accept(ln net.Listener, fromZone, to, toZone string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go l.join(c, fromZone, to, toZone)
	}
}

// join connects a connection with its destination once there is a path.
func (l *links) join(c net.Conn, fromZone, to, toZone string) {
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if !l.network.await(ctx, fromZone, toZone) {
		return
	}
	d, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	done := make(chan struct{}, 2)
	go l.pass(d, c, fromZone, toZone, done)
	go l.pass(c, d, fromZone, toZone, done)
	<-done
}

// pass passes bytes on while there is a path.
func (l *links) pass(to, from net.Conn, a, b string, done chan<- struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !l.network.await(context.Background(), a, b) {
			break
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	done <- struct{}{}
}

// close ends all links.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ln := range l.all {
		_ = ln.Close()
	}
}

// converter returns a function that replaces the addresses of the other proxies in a row by
// those of the links of one proxy.
func (r *caseRun) converter(proxy string) func([]byte) []byte {
	return func(value []byte) []byte {
		for _, o := range r.peers() {
			address := fmt.Sprintf("%s:%d", o.ip, peerPort)
			if o.name == proxy || !bytes.Contains(value, []byte(address)) {
				continue
			}
			link, err := r.links.address(proxy, address, o.zone)
			if err != nil {
				continue
			}
			value = bytes.ReplaceAll(value, []byte(address), []byte(link))
		}
		return value
	}
}
