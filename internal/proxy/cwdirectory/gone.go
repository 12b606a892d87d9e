package cwdirectory

import (
	"context"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

func (d *Directory) takeTargets(b cwport.Batch, fresh bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	first := fresh && len(d.known) == 0
	removed := b.Removed
	if fresh {
		removed = d.missing(b.Listed)
	}
	if fresh && !first && b.Version.Era() > d.topics[cwport.Targets].after.Era() {
		d.keepLeaving(b.Listed)
	}
	for _, l := range b.Listed {
		d.known[l.ID] = l
		delete(d.vanished, l.ID)
		delete(d.recalled, l.ID)
	}
	d.logListed(b.Listed)
	lapsed := d.vanish(removed, now)
	if first {
		d.Sink.SetListings(append(b.Listed, d.recall(now)...))
		return
	}
	if changed := slices.Concat(b.Listed, lapsed); len(changed) > 0 {
		d.Sink.ChangeListings(changed, nil)
	}
}

// logEach is up to how many targets that are told together are logged one by one: the
// members of several groups, and not those of a fleet.
const logEach = 32

func (d *Directory) logListed(listed []cwport.Listing) {
	if len(listed) > logEach {
		d.Log.Info("targetsListed", "count", len(listed), "known", len(d.known))
		return
	}
	for _, l := range listed {
		d.Log.Info("targetListed", "target", l.ID, "service", l.Service, "address", l.Address, "dataCentre", l.DataCentre, "leaving", l.Leaving, "role", l.Role)
	}
}

// vanish notes that entries are missing, and returns the targets whose were there. The
// caller holds mu.
func (d *Directory) vanish(removed []cwgroup.MemberID, now time.Time) []cwport.Listing {
	var lapsed []cwport.Listing
	for _, id := range removed {
		l, ok := d.known[id]
		if !ok || !d.vanished[id].IsZero() {
			continue
		}
		d.vanished[id] = now
		d.Log.Info("targetVanished", "target", id)
		l.Lapsed = true
		d.known[id] = l
		lapsed = append(lapsed, l)
	}
	return lapsed
}

// rememberedWait bounds the wait for the product's own rows before the first list
// of targets counts without them. The store answers about both at the same time;
// where it tells of one table and not of the other, callers are served all the
// same.
const rememberedWait = 2 * time.Second

// awaitRemembered waits until the product's own rows are known, which tell what
// Remembered returns.
func (d *Directory) awaitRemembered(ctx context.Context) {
	if d.Remembered == nil || d.read(cwport.Targets) {
		return
	}
	end := d.Clock.After(rememberedWait)
	for {
		d.mu.Lock()
		known, renewed := d.topics[cwport.Own].read, d.renewed
		d.mu.Unlock()
		if known {
			return
		}
		select {
		case <-renewed:
		case <-end:
			d.Log.Warn("membersNotRemembered", "waitedMs", rememberedWait.Milliseconds())
			return
		case <-ctx.Done():
			return
		}
	}
}

// recall returns the remembered targets that the first list lacks. They count
// until it is sure that their entries stay away. The caller holds mu.
//
// The failure: an instance starts within seconds of an outage of the store, or
// while a target is away. It has never seen the entries that lapsed, and takes
// what is listed for whole groups: two of three members confirm and promote by
// themselves, and what the third acknowledged with one of them is lost.
func (d *Directory) recall(now time.Time) []cwport.Listing {
	if d.Remembered == nil {
		return nil
	}
	var out []cwport.Listing
	for _, l := range d.Remembered() {
		if _, ok := d.known[l.ID]; ok {
			continue
		}
		d.Log.Info("targetRemembered", "target", l.ID, "service", l.Service, "address", l.Address)
		l.Lapsed = true
		d.known[l.ID], d.vanished[l.ID], d.recalled[l.ID] = l, now, true
		out = append(out, l)
	}
	return out
}

// Tells reports whether the store tells of targets.
func (d *Directory) Tells() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.away && d.topics[cwport.Targets].read
}

// missing returns the known targets that a snapshot does not have. The caller
// holds mu.
func (d *Directory) missing(listed []cwport.Listing) []cwgroup.MemberID {
	there := make(map[cwgroup.MemberID]bool, len(listed))
	for _, l := range listed {
		there[l.ID] = true
	}
	var out []cwgroup.MemberID
	for id := range d.known {
		if _, gone := d.vanished[id]; !there[id] && !gone {
			out = append(out, id)
		}
	}
	return out
}

// setAway notes whether the store answers about targets.
//
// The failure: the store goes away, comes back for a moment in which this
// instance learns that entries have lapsed, and goes away again. They were
// written anew, but nobody tells; the instance takes living targets as gone and
// refuses everything until the next return. The time after which a target counts
// as gone therefore runs only while the store is there, from its last return.
func (d *Directory) setAway(t cwport.Topic, away bool) {
	if t != cwport.Targets {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away && !away {
		d.backAt = d.Clock.Now()
		for id := range d.vanished {
			d.vanished[id] = d.Clock.Now()
		}
	}
	d.away = away
}

// loopGone takes targets out whose entry stayed away.
func (d *Directory) loopGone(ctx context.Context) error {
	for ctx.Err() == nil {
		d.sleep(ctx, goneStep)
		d.dropGone()
	}
	return nil
}

// goneStep is how often vanished targets are looked at.
const goneStep = 500 * time.Millisecond

func (d *Directory) dropGone() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	var gone []cwgroup.MemberID
	for id, at := range d.vanished {
		if !d.staysAway(id, at, now) {
			continue
		}
		d.Log.Info("targetGone", "target", id)
		gone = append(gone, id)
		delete(d.vanished, id)
		delete(d.recalled, id)
		delete(d.known, id)
	}
	if len(gone) > 0 {
		d.Sink.ChangeListings(nil, gone)
	}
}

// staysAway reports whether a target whose entry vanished at a time is gone. The
// caller holds mu.
//
// The failure: the store falls silent right after it told that entries lapsed.
// No question to it has failed yet when the time is up, and living targets count
// as gone. So the store must have said, late enough, that they are not back.
func (d *Directory) staysAway(id cwgroup.MemberID, vanished, now time.Time) bool {
	after := max(d.GoneAfter, MinGoneAfter)
	if d.recalled[id] {
		// Its entry went before this instance started.
		after = MinGoneAfter
	}
	if d.away || now.Sub(vanished) < after {
		return false
	}
	return d.topics[cwport.Targets].confirmed.Sub(vanished) >= MinGoneAfter
}
