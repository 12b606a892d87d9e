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
	if err := r.start(0, zones); err != nil {
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
	if err := r.start(0, zones); err != nil {
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

// Times of the case of a zone cut, from the begin of the load.
const (
	steadyTime = 7 * time.Second
	// joinTime is the time between the start of the new database and the drain of the
	// old one, drainedFor how long the old one has been draining when the cut begins, and
	// drainTime how long it drains in all.
	joinTime   = 2 * time.Second
	drainedFor = 5500 * time.Millisecond
	drainTime  = 8500 * time.Millisecond
	// cutTime is how long the cut lasts, and returnTime the time until the entries of the
	// databases are back.
	cutTime     = 5500 * time.Millisecond
	returnTime  = time.Second
	settledTime = 3 * time.Second
	writers     = 2
	writePause  = 80 * time.Millisecond
)

// playZoneCut is the case of a service with one synchronous replica, of which the primary
// is replaced by a database in the same data centre. The disruption is that this data centre
// is partitioned from the others while the old database drains.
func playZoneCut(r *caseRun) ([]string, error) {
	const zone = "isb-b"
	if err := r.start(1, []string{zone, "isb-a", "rwp-c"}); err != nil {
		return nil, err
	}
	for _, z := range zones {
		if _, err := r.addProxy("front-"+z+"-1", z, true); err != nil {
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
	if err := r.group.add("i-0", zone, loopbackIP(104)); err != nil {
		return nil, err
	}
	time.Sleep(joinTime)
	r.group.drain("i-1")
	time.Sleep(drainedFor)
	if !r.group.leads("i-0") {
		return nil, fmt.Errorf("the planned change of primary did not lead to i-0")
	}
	planned := r.group.promotionCount()
	var lapse *time.Timer
	if r.trouble {
		r.rec.printf("%s is partitioned from the other zones and from the store", zone)
		r.network.setCut(zone)
		lapse = time.AfterFunc(lapseTime, func() { r.group.setListed(zone, false) })
	}
	time.Sleep(drainTime - drainedFor)
	r.group.end("i-1")
	time.Sleep(cutTime - (drainTime - drainedFor))
	if r.trouble {
		r.rec.printf("%s is back", zone)
		r.network.setCut("")
		lapse.Stop()
		time.Sleep(returnTime)
		r.group.setListed(zone, true)
	}
	time.Sleep(settledTime)
	close(stop)
	load.Wait()
	r.rec.printf("acknowledged: %d", len(acked.ids))
	return r.group.lostWrites(acked, planned), nil
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
func (g *group) lostWrites(acked *ackedWrites, since int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	acked.mu.Lock()
	defer acked.mu.Unlock()
	var out []string
	for _, p := range g.promotions[since:] {
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
