package main

import (
	"errors"
	"fmt"
	"time"
)

// Load and times of the case.
const (
	// sessionsEach is the number of sessions that begin at each machine.
	sessionsEach = 6
	settleTime   = 6 * time.Second
	// firstCrash and secondCrash are how long a primary is down, and cutTime how long the path from
	// one machine to the platform's interface for promotions is cut.
	firstCrash  = 6 * time.Second
	secondCrash = 2500 * time.Millisecond
	cutTime     = 7 * time.Second
	// cutBefore is how long before the second crash the path is cut, and killAfter how long
	// after it the machine is killed, for downTime.
	cutBefore = 500 * time.Millisecond
	killAfter = 2 * time.Second
	downTime  = 3500 * time.Millisecond
	watchTime = 14 * time.Second
)

// latePromotion cuts the machine that ordered the last change of primary off from the platform's
// interface for promotions, and lets the primary crash. It checks that the platform sees no
// fence number after a higher one.
func latePromotion(w *world, trouble bool) (bool, error) {
	stop := make(chan struct{})
	var writers []*writer
	for i, m := range w.machines {
		for k := range sessionsEach {
			x := &writer{
				name: fmt.Sprintf("%c%d", 'a'+i, k), machines: append(append([]*machine(nil), w.machines[i:]...), w.machines[:i]...),
				database: routeName, rec: w.rec, interval: 40 * time.Millisecond,
			}
			w.rec.line("client %s begins at %s", x.name, m.name)
			writers = append(writers, x)
			go x.run(stop)
		}
	}
	time.Sleep(settleTime)
	first := w.awaitPrimary(time.Second)
	w.group.crash(first, firstCrash)
	time.Sleep(time.Second)
	second := w.awaitPrimary(10 * time.Second)
	if second == "" || second == first {
		return false, errors.New("the first primary was not replaced")
	}
	time.Sleep(firstCrash + 2*time.Second)
	second = w.awaitPrimary(time.Second)
	calls := w.api.all()
	holder := w.machine(calls[len(calls)-1].holder)
	if trouble {
		w.rec.line("%s is cut off from the interface for promotions for %v", holder.name, cutTime)
		holder.api.cut(cutTime)
	}
	time.Sleep(cutBefore)
	w.group.crash(second, secondCrash)
	time.Sleep(killAfter)
	if trouble {
		w.rec.line("%s is killed, and starts again after %v", holder.name, downTime)
		holder.kill()
		time.Sleep(downTime)
		if err := holder.start(w.program, holder.settings(zones, w.storeAddress, holder.api.address(), false)); err != nil {
			return false, err
		}
	}
	time.Sleep(watchTime)
	close(stop)
	time.Sleep(time.Second)
	w.reportLost(writers)
	return w.numbersRise(), nil
}

// numbersRise reports whether the platform saw no fence number after a higher one.
func (w *world) numbersRise() bool {
	held, highest := true, promotion{}
	for _, p := range w.api.all() {
		if p.number < highest.number {
			held = false
			w.rec.line("ONE is broken: %s promotes %s with %d at %.3f, after %s promoted %s with %d at %.3f", p.holder, p.id, p.number,
				p.at.Sub(w.rec.began).Seconds(), highest.holder, highest.id, highest.number, highest.at.Sub(w.rec.began).Seconds())
		}
		if p.number > highest.number {
			highest = p
		}
	}
	return held
}

// reportLost records which acknowledged writes the log of the primary lacks. No rule is judged
// by it.
func (w *world) reportLost(writers []*writer) {
	w.group.mu.Lock()
	present := make(map[string]bool)
	if p := w.group.leader(); p != nil {
		for _, c := range p.log {
			for _, id := range c.statements {
				present[id] = true
			}
		}
	}
	w.group.mu.Unlock()
	acknowledged, lost := 0, 0
	for _, x := range writers {
		for _, id := range x.all() {
			acknowledged++
			if !present[id] {
				lost++
				w.rec.line("acknowledged and not in the log: %s", id)
			}
		}
	}
	w.rec.line("%d writes were acknowledged, %d of them are not in the log of the primary", acknowledged, lost)
}
