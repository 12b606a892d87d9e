package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Properties of the databases.
const (
	// replicationInterval is the interval at which replicas in other data centres receive
	// records.
	replicationInterval = time.Millisecond
	// promotionTime is the time from the order to the promotion, and stepDownTime the
	// time for which a replaced primary goes on once it can reach the new one.
	promotionTime = 300 * time.Millisecond
	stepDownTime  = time.Second
	// lapseTime is how long an entry stays without a word of its database: three check-ins.
	lapseTime = 3600 * time.Millisecond
	// syncTimeout limits the wait of a commit for a replica.
	syncTimeout = 20 * time.Second
	// connectionLimit is the number of connections from all callers.
	connectionLimit = 36
	service         = "hire-ledger"
)

// record is one commit in the log of a database.
type record struct {
	term, index uint64
	id          string
	writes      map[string]string
}

func (r record) position() string { return fmt.Sprintf("%d.%d", r.term, r.index) }

// database is one database of the group. Its fields are guarded by the lock of the group.
type database struct {
	group      *group
	id, zone   string
	address    string
	listener   net.Listener
	primary    bool
	term       uint64
	fence      uint64
	log        []record
	draining   bool
	down       bool
	sequence   int
	conns      map[net.Conn]bool
	replacedAt time.Time
}

// statementRun is a caller's statement that a database has run.
type statementRun struct {
	database, id, text string
}

// promoted is a completed promotion with the log at that time.
type promoted struct {
	id  string
	at  time.Time
	log []record
}

// group is the databases of one service.
type group struct {
	rec     *recorder
	store   *store
	network *network
	// sync is the number of replicas that must have received a commit before it is
	// acknowledged.
	sync int

	mu         sync.Mutex
	databases  []*database
	runs       []statementRun
	promotions []promoted
	stop       chan struct{}
}

func newGroup(rec *recorder, s *store, n *network, syncReplicas int) *group {
	g := &group{rec: rec, store: s, network: n, sync: syncReplicas, stop: make(chan struct{})}
	s.promote = g.promote
	go g.replicateUntilStopped()
	return g
}

// add starts a database, as the primary if it is the first one, and lists it. The
// replica begins with an empty log and receives that of the primary.
func (g *group) add(id, zone, ip string) error {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d := &database{
		group: g, id: id, zone: zone, address: ln.Addr().String(), listener: ln,
		primary: len(g.databases) == 0, term: 1, conns: make(map[net.Conn]bool),
	}
	g.databases = append(g.databases, d)
	go d.accept()
	d.list()
	g.rec.printf("database %s starts in %s", id, zone)
	return nil
}

// list writes the entry of the database. The caller holds the lock of the group.
func (d *database) list() {
	d.sequence++
	e := struct {
		Address, Zone, State, Role string
		Sequence                   int
	}{Address: d.address, Zone: d.zone, State: "ready", Role: "replica", Sequence: d.sequence}
	if d.draining {
		e.State = "draining"
	}
	if d.primary {
		e.Role = "primary"
	}
	d.group.store.put("servers", d.id, document("entry.json.tmpl", e))
}

// find returns the database with an id; nil if there is none. The caller holds mu.
func (g *group) find(id string) *database {
	for _, d := range g.databases {
		if d.id == id {
			return d
		}
	}
	return nil
}

// newestPrimary returns the running primary of the highest term; nil if there is none.
// The caller holds mu.
func (g *group) newestPrimary() *database {
	return g.newest(func(*database) bool { return true })
}

// upstreamOf returns the newest primary that a database reaches; nil if there is none. The
// caller holds mu.
func (g *group) upstreamOf(d *database) *database {
	return g.newest(func(p *database) bool { return g.network.reaches(d.zone, p.zone) })
}

// newest returns the running primary of the highest term for which ok is true. The caller
// holds mu.
func (g *group) newest(ok func(*database) bool) *database {
	var best *database
	for _, d := range g.databases {
		if d.primary && !d.down && ok(d) && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// drain makes a database report that it leaves. It goes on serving and receiving.
func (g *group) drain(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.find(id)
	d.draining = true
	d.list()
	g.rec.printf("database %s reports that it is draining", id)
}

// end ends a database that has drained.
func (g *group) end(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.find(id).stop()
	g.store.remove("servers", id)
	g.rec.printf("database %s has ended", id)
}

// setListed removes the entries of the running databases of a data centre, which have
// lapsed, or writes them again.
func (g *group) setListed(zone string, listed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.databases {
		switch {
		case d.down || d.zone != zone:
		case listed:
			d.list()
		default:
			g.store.remove("servers", d.id)
		}
	}
}

// leads reports whether a database is the newest primary.
func (g *group) leads(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.newestPrimary()
	return p != nil && p.id == id
}

// promotionCount returns the number of completed promotions.
func (g *group) promotionCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.promotions)
}

// stop closes all connections of the database. The caller holds the lock of the group.
func (d *database) stop() {
	d.down = true
	_ = d.listener.Close()
	for c := range d.conns {
		_ = c.Close()
	}
}

// close ends all databases.
func (g *group) close() {
	close(g.stop)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.databases {
		d.stop()
	}
}

// promote answers the platform's call that names the next primary.
func (g *group) promote(id, holder, token string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.find(id)
	if d == nil || d.down {
		return 409
	}
	g.rec.printf("promotion of %s is ordered by %s with token %s", id, holder, token)
	if d == g.newestPrimary() {
		return 200
	}
	time.AfterFunc(promotionTime, func() { g.lead(d) })
	return 200
}

// lead makes a database the primary of the next term, with the log that it has.
func (g *group) lead(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.down {
		return
	}
	for _, o := range g.databases {
		d.term = max(d.term, o.term)
	}
	d.term++
	d.primary, d.fence = true, 0
	g.promotions = append(g.promotions, promoted{id: d.id, at: time.Now(), log: append([]record(nil), d.log...)})
	d.list()
	g.rec.printf("database %s leads term %d with %d records", d.id, d.term, len(d.log))
}

func (g *group) replicateUntilStopped() {
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(replicationInterval):
		}
		g.mu.Lock()
		g.replicate()
		g.mu.Unlock()
	}
}

// replicate makes the replicas receive the log of the newest primary that they reach, unless
// they are paused for a later term. The caller holds mu.
func (g *group) replicate() {
	for _, d := range g.databases {
		p := g.upstreamOf(d)
		switch {
		case p == nil || d == p || d.down:
		case d.primary:
			g.stepDown(d)
		default:
			d.receive(p)
		}
	}
}

// receive makes a replica receive the log of a primary. The caller holds the lock of the
// group.
func (d *database) receive(p *database) {
	if p.term >= max(d.term, d.fence) {
		d.term, d.fence = p.term, 0
		d.log = p.log[:len(p.log):len(p.log)]
	}
}

// stepDown makes a replaced primary a replica when its time is over. The caller holds mu.
func (g *group) stepDown(d *database) {
	if d.replacedAt.IsZero() {
		d.replacedAt = time.Now()
	}
	if time.Since(d.replacedAt) >= stepDownTime {
		d.primary = false
		d.list()
	}
}

// commit appends a record at the primary. Replicas in the same data centre receive it at
// once, the others within replicationInterval. The caller holds the lock of the group.
func (d *database) commit(id string, writes map[string]string) record {
	r := record{term: d.term, index: 1, id: id, writes: writes}
	if n := len(d.log); n > 0 {
		r.index = d.log[n-1].index + 1
	}
	// The array of the log is shared with replicas up to their length.
	d.log = append(d.log[:len(d.log):len(d.log)], r)
	for _, o := range d.group.databases {
		if o.zone == d.zone && !o.down && !o.primary {
			o.receive(d)
		}
	}
	return r
}

// awaitReplica waits until enough replicas have received a record. It returns false if
// they do not in time, or if the database ends.
func (g *group) awaitReplica(d *database, r record) bool {
	end := time.Now().Add(syncTimeout)
	for {
		g.mu.Lock()
		n := 0
		for _, o := range g.databases {
			if o != d && !o.down && o.has(r) {
				n++
			}
		}
		down := d.down
		g.mu.Unlock()
		if n >= g.sync {
			return !down
		}
		if down || time.Now().After(end) {
			return false
		}
		time.Sleep(replicationInterval)
	}
}

// has reports whether the log of a database has a record. The caller holds the lock of the
// group.
func (d *database) has(r record) bool {
	for i := len(d.log) - 1; i >= 0 && d.log[i].index >= r.index; i-- {
		if d.log[i].index == r.index {
			return d.log[i].id == r.id && d.log[i].term == r.term
		}
	}
	return false
}

func (d *database) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(c)
	}
}

// register counts a connection. It returns false if there are too many.
func (d *database) register(c net.Conn) bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.down || len(d.conns) >= connectionLimit {
		return false
	}
	d.conns[c] = true
	return true
}

func (d *database) unregister(c net.Conn) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	delete(d.conns, c)
	_ = c.Close()
}

// serve serves one connection until it ends.
func (d *database) serve(c net.Conn) {
	in := bufio.NewReader(c)
	if !d.register(c) {
		_, _ = fmt.Fprintf(c, "ERROR %s %s\r\n", names.TooManyCode, d.id)
		_ = c.Close()
		return
	}
	defer d.unregister(c)
	m, err := readMessage(in)
	if err != nil {
		return
	}
	f := strings.Split(m, " ")
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != service || len(f) > 3 && f[3] != d.id {
		_, _ = fmt.Fprintf(c, "ERROR %s %s\r\n", names.WrongTargetCode, d.id)
		return
	}
	peer := zoneOf(f[2])
	if !d.group.network.await(context.Background(), peer, d.zone) {
		return
	}
	s := &dbSession{database: d, settings: map[string]string{}, prepared: map[string]string{}, state: "I"}
	if _, err := fmt.Fprintf(c, "READY I %s\r\n", s.end()); err != nil {
		return
	}
	for {
		m, err := readMessage(in)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(m, " ")
		id, text, ok := strings.Cut(rest, " ")
		if word != "QUERY" || !ok {
			return
		}
		if !d.group.network.await(context.Background(), peer, d.zone) {
			return
		}
		answer, ok := s.query(id, text)
		if !ok || !d.group.network.await(context.Background(), peer, d.zone) {
			return
		}
		if _, err := c.Write([]byte(answer + "READY " + s.state + " " + s.end() + "\r\n")); err != nil {
			return
		}
	}
}

// position returns the end of the log. The caller holds the lock of the group.
func (d *database) position() string {
	if len(d.log) == 0 {
		return fmt.Sprintf("%d.0", d.term)
	}
	return d.log[len(d.log)-1].position()
}

// parsePosition parses TERM.NUMBER.
func parsePosition(s string) (term, index uint64) {
	t, n, _ := strings.Cut(s, ".")
	term, _ = strconv.ParseUint(t, 10, 64)
	index, _ = strconv.ParseUint(n, 10, 64)
	return term, index
}
