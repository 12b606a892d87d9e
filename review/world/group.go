package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"
)

// position is a place in a log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

// less orders positions by term first.
func (p position) less(o position) bool {
	return p.term < o.term || p.term == o.term && p.number < o.number
}

// commit is one record of a log.
type commit struct {
	at position
	// statements are the ids of the statements that wrote, items what they wrote.
	statements []string
	items      map[string]string
}

// Times of a group, as the sheet of the site gives them.
const (
	replicationDelay = 20 * time.Millisecond
	promoteTime      = 700 * time.Millisecond
	stepDownTime     = time.Second
	checkIn          = 1200 * time.Millisecond
	work             = 4 * time.Millisecond
	handshake        = 12 * time.Millisecond
	slots            = 3
	queue            = 24
	maxConns         = 36
)

// database is one member of the group. Its fields are guarded by the group's lock.
type database struct {
	group    *group
	id, zone string
	address  string

	listener net.Listener
	conns    map[net.Conn]struct{}
	down     bool
	log      []commit
	// primary tells whether it leads term; a replica has the term of what it follows.
	primary bool
	term    uint64
	// paused is the term for which it receives nothing; zero if it receives.
	paused uint64
	// replacedSince is when a primary could first reach the one that replaced it.
	replacedSince time.Time
	busy          int
	sequence      int
	turn          chan struct{}
}

// group is a service: one primary and its replicas.
type group struct {
	service string
	store   *store
	rec     *record

	mu        sync.Mutex
	databases []*database
	// newest is the newest term in which a database was promoted.
	newest uint64
}

func newGroup(service string, s *store, rec *record) *group {
	return &group{service: service, store: s, rec: rec, newest: 1}
}

// add adds a database, the first one as the primary.
func (g *group) add(id, zone, ip string) {
	d := &database{group: g, id: id, zone: zone, term: 1, turn: make(chan struct{}, slots), conns: make(map[net.Conn]struct{})}
	d.primary = len(g.databases) == 0
	d.listener = listen(ip + ":0")
	d.address = d.listener.Addr().String()
	g.databases = append(g.databases, d)
	go d.run(d.listener)
	go d.loopCheckIn()
}

func (g *group) find(id string) *database {
	i := slices.IndexFunc(g.databases, func(d *database) bool { return d.id == id })
	if i < 0 {
		return nil
	}
	return g.databases[i]
}

// leader returns the running primary of the newest term; nil if there is none. The caller
// holds mu.
func (g *group) leader() *database {
	var best *database
	for _, d := range g.databases {
		if d.primary && !d.down && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// currentPrimary returns the id of the running primary of the newest term, empty if there is
// none.
func (g *group) currentPrimary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := g.leader(); d != nil && d.term == g.newest {
		return d.id
	}
	return ""
}

// loopReceive makes a replica receive the log of the primary, each at times of its own.
func (d *database) loopReceive() {
	time.Sleep(rand.N(replicationDelay))
	for {
		time.Sleep(replicationDelay)
		d.group.mu.Lock()
		d.receive(time.Now())
		d.group.mu.Unlock()
	}
}

// receive brings the database up to date with the primary of the newest term. The caller holds
// the group's lock.
func (d *database) receive(now time.Time) {
	p := d.group.leader()
	switch {
	case p == nil || d == p || d.down:
	case d.primary && d.term < p.term && d.replacedSince.IsZero():
		d.replacedSince = now
	case d.primary && now.Sub(d.replacedSince) < stepDownTime:
	case d.primary:
		d.stepDown()
	case d.paused > p.term:
	default:
		d.follow(p)
	}
}

// follow makes a replica's log that of its primary.
func (d *database) follow(p *database) {
	n := 0
	for n < len(d.log) && n < len(p.log) && d.log[n].at == p.log[n].at {
		n++
	}
	if n < len(d.log) {
		d.group.rec.line("database %s rolls back %d commits after %v", d.id, len(d.log)-n, d.end())
	}
	d.log = append(slices.Clip(d.log[:n]), p.log[n:]...)
	d.term = p.term
}

func (d *database) stepDown() {
	d.primary, d.replacedSince = false, time.Time{}
	d.group.rec.line("database %s is a replica from now on", d.id)
}

// end returns the end of the log.
func (d *database) end() position {
	if len(d.log) == 0 {
		return position{}
	}
	return d.log[len(d.log)-1].at
}

// promote makes a running database the primary of the next term some time later. It returns
// false if it is not running.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.find(id)
	if d == nil || d.down {
		return false
	}
	if d.primary && d.term == g.newest {
		return true
	}
	time.AfterFunc(promoteTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if d.down {
			return
		}
		g.newest++
		d.primary, d.term, d.replacedSince = true, g.newest, time.Time{}
		for _, o := range g.databases {
			o.paused = 0
		}
		g.rec.line("database %s leads term %d from %v on", id, d.term, d.end())
	})
	return true
}

// crash stops a database for a time. It comes back with its log.
func (g *group) crash(id string, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.find(id)
	g.rec.line("database %s crashes for %v", id, d)
	x.down = true
	_ = x.listener.Close()
	for c := range x.conns {
		_ = c.Close()
	}
	time.AfterFunc(d, x.restart)
}

func (d *database) restart() {
	ln := listen(d.address)
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.down, d.paused, d.listener, d.busy = false, 0, ln, 0
	if d.primary && d.term < d.group.newest {
		d.stepDown()
	}
	d.group.rec.line("database %s is back at %v", d.id, d.end())
	go d.run(ln)
}

// loopCheckIn writes the database's entry, and removes it after three check-ins without one.
func (d *database) loopCheckIn() {
	missed, primary := 0, false
	for next := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		d.group.mu.Lock()
		down, changed := d.down, d.primary != primary
		primary = d.primary
		d.group.mu.Unlock()
		if !changed && time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(checkIn)
		if down {
			if missed++; missed == 3 {
				d.group.store.remove("servers", d.id)
			}
			continue
		}
		missed = 0
		d.sequence++
		d.group.store.put("servers", d.id, d.entry(primary))
	}
}

// entry returns what the database says of itself in the store.
func (d *database) entry(primary bool) map[string]any {
	role := "replica"
	if primary {
		role = "primary"
	}
	return map[string]any{
		"service": d.group.service, "address": d.address, "zone": d.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_left_ms": 0, names["role"]: role, "sequence": d.sequence,
	}
}

// status returns the row that answers STATUS. The caller holds mu.
func (d *database) status() string {
	role := "replica"
	if d.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %v %d 0 %d %d", role, d.term, d.end(), d.paused, d.busy, len(d.conns))
}

// control runs a command of the proxies. The caller holds mu.
func (d *database) control(word string, term uint64) {
	switch word {
	case "PAUSE":
		if !d.primary && term > d.group.newest {
			d.paused = max(d.paused, term)
		}
	case "RESUME":
		d.paused = 0
	case "DEMOTE":
		if d.primary && d.term < term {
			d.stepDown()
		}
	}
}

func parseTerm(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 63)
	return n
}
