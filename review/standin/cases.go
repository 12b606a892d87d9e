package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// sentStatements has the text of each statement that a client has sent, by id.
type sentStatements map[string]string

// changedRuns returns the runs of statements that no client sent, or sent with another
// text. EXECUTE is not compared, since names of prepared statements may be changed.
func (g *group) changedRuns(sent sentStatements) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for _, run := range g.runs {
		text, known := sent[run.id]
		switch {
		case !known:
			out = append(out, fmt.Sprintf("%s ran %s %q, which no client sent", run.database, run.id, run.text))
		case text != run.text:
			out = append(out, fmt.Sprintf("%s ran %s %q, the client sent %q", run.database, run.id, run.text, text))
		}
	}
	return out
}

// playBytes is the case of text that is not UTF-8. Clients write names in Latin-1. The
// disruption is a machine that is added to a data centre.
func playBytes(r *caseRun) ([]string, error) {
	if err := r.start(0); err != nil {
		return nil, err
	}
	for _, m := range []struct{ name, zone string }{
		{"front-isb-a-1", "isb-a"}, {"front-isb-a-2", "isb-a"}, {"front-isb-b-1", "isb-b"}, {"front-rwp-c-1", "rwp-c"},
	} {
		if _, err := r.addProxy(m.name, m.zone, true); err != nil {
			return nil, err
		}
	}
	if err := r.awaitServing(); err != nil {
		return nil, err
	}
	if r.trouble {
		if _, err := r.addProxy("front-isb-a-3", "isb-a", false); err != nil {
			return nil, err
		}
		if err := r.awaitServing(); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	r.group.forgetRuns()
	sent := sentStatements{}
	var broken []string
	for i, p := range r.proxies {
		s, err := connect(r.rec, p, "booking")
		if err != nil {
			return nil, err
		}
		item, data := fmt.Sprintf("customer%d", i), "Pe\xf1a y Mu\xf1oz"
		id, a, err := s.query("WRITE " + item + " " + data)
		sent[id] = "WRITE " + item + " " + data
		if err != nil || !a.acknowledged() {
			return nil, fmt.Errorf("%s serves no write: %v", p.name, a)
		}
		id, a, err = s.query("READ " + item)
		sent[id] = "READ " + item
		if err != nil || !a.acknowledged() {
			return nil, fmt.Errorf("%s serves no read: %v", p.name, a)
		}
		if got := strings.Join(a.rows, "|"); got != data {
			broken = append(broken, fmt.Sprintf("%s: the client wrote %q, was told that it is committed, and reads %q", p.name, data, got))
		}
		s.close()
	}
	return append(r.group.changedRuns(sent), broken...), nil
}

// forgetRuns forgets the runs so far.
func (g *group) forgetRuns() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs = nil
}

// playLineFeed is the case of a text with a line feed. The disruption is the line feed;
// without it the notes have a semicolon in its place.
func playLineFeed(r *caseRun) ([]string, error) {
	if err := r.start(0); err != nil {
		return nil, err
	}
	for _, zone := range zones {
		if _, err := r.addProxy("front-"+zone+"-1", zone, true); err != nil {
			return nil, err
		}
	}
	if err := r.awaitServing(); err != nil {
		return nil, err
	}
	r.group.forgetRuns()
	separator := ";"
	if r.trouble {
		separator = "\n"
	}
	sent := sentStatements{}
	for i, p := range r.proxies {
		notes := []string{
			"crusher 7 is back" + separator + "the belt is torn",
			"call the depot" + separator + "QUERY ffff00000000000" + fmt.Sprint(i) + " WRITE invoice17 paid",
		}
		for n, note := range notes {
			s, err := connect(r.rec, p, "booking")
			if err != nil {
				return nil, err
			}
			text := fmt.Sprintf("WRITE note%d-%d %s", i, n, note)
			id, _, _ := s.query(text)
			sent[id] = text
			time.Sleep(300 * time.Millisecond)
			s.close()
		}
	}
	return r.group.changedRuns(sent), nil
}

// ackedWrites has the times at which clients were told that their writes are committed,
// by id.
type ackedWrites struct {
	mu  sync.Mutex
	ids map[string]time.Time
}

func (w *ackedWrites) add(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids[id] = time.Now()
}

// Times of the case of a draining replica, from the begin of the load.
const (
	steadyTime = 7 * time.Second
	// joinTime is the time between the start of the new database and the drain of the
	// old one.
	joinTime = 2 * time.Second
	// drainedFor is how long the old one has been draining when the disruption begins.
	drainedFor = 5 * time.Second
	// deafTime is how long replicas receive nothing, and crashAfter when the primary crashes
	// meanwhile. The old database ends with the disruption.
	deafTime    = 6 * time.Second
	crashAfter  = 1500 * time.Millisecond
	writers     = 2
	writePause  = 80 * time.Millisecond
	settledTime = 3 * time.Second
)

// playDraining is the case of a service with one synchronous replica, of which a replica
// is replaced. The disruption is that the other replicas receive nothing for a while, and
// that the primary crashes meanwhile.
func playDraining(r *caseRun) ([]string, error) {
	if err := r.start(1); err != nil {
		return nil, err
	}
	for _, zone := range zones {
		if _, err := r.addProxy("front-"+zone+"-1", zone, true); err != nil {
			return nil, err
		}
	}
	if err := r.awaitServing(); err != nil {
		return nil, err
	}
	acked, stop := &ackedWrites{ids: make(map[string]time.Time)}, make(chan struct{})
	var load sync.WaitGroup
	for _, p := range r.proxies {
		for n := range writers {
			load.Go(func() { r.write(p, fmt.Sprintf("%s-%d", p.name, n), acked, stop) })
		}
	}
	time.Sleep(steadyTime)
	if err := r.group.add("i-4", zones[1], loopbackIP(104)); err != nil {
		return nil, err
	}
	time.Sleep(joinTime)
	r.group.drain("i-2")
	time.Sleep(drainedFor)
	if r.trouble {
		r.group.setDeaf(true, "i-3", "i-4")
		time.Sleep(crashAfter)
		r.group.crash("i-1")
		time.Sleep(deafTime - crashAfter)
		r.group.setDeaf(false, "i-3", "i-4")
	} else {
		time.Sleep(deafTime)
	}
	r.group.end("i-2")
	time.Sleep(settledTime)
	close(stop)
	load.Wait()
	return r.group.lostWrites(acked), nil
}

// write writes new items through a proxy until stop is closed.
func (r *caseRun) write(p *proxy, name string, acked *ackedWrites, stop <-chan struct{}) {
	var s *session
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(writePause):
		}
		if s == nil {
			var err error
			if s, err = connect(r.rec, p, "booking"); err != nil {
				continue
			}
		}
		id, a, err := s.query(fmt.Sprintf("WRITE %s-%d dispatched", name, n))
		switch {
		case err != nil:
			s.close()
			s = nil
		case a.acknowledged():
			acked.add(id)
		}
	}
}

// lostWrites returns the acknowledged writes that a promoted database lacked.
func (g *group) lostWrites(acked *ackedWrites) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	acked.mu.Lock()
	defer acked.mu.Unlock()
	var out []string
	for _, p := range g.promotions {
		has := make(map[string]bool, len(p.log))
		for _, r := range p.log {
			has[r.id] = true
		}
		for id, at := range acked.ids {
			if !has[id] && at.Before(p.at) {
				out = append(out, fmt.Sprintf("the write %s was acknowledged and is not in the log with which %s was promoted", id, p.id))
			}
		}
	}
	return out
}
