package cwdirectory

import (
	"context"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// applyTargets updates the known targets from a batch and passes the changes to the sink;
// whole is true if the batch has all entries there are.
func (d *Directory) applyTargets(b cwport.Batch, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	first := whole && len(d.knownTargets) == 0
	removed := b.Removed
	if whole {
		removed = d.missingFrom(b.Updated)
	}
	if whole && !first && b.Version.Era() > d.topics[cwport.TopicTargets].version.Era() {
		d.keepDraining(b.Updated)
	}
	for _, l := range b.Updated {
		d.knownTargets[l.ID] = l
		delete(d.missingSince, l.ID)
		delete(d.rememberedOnly, l.ID)
	}
	d.logTargets(b.Updated)
	lapsed := d.markMissing(removed, now)
	if first {
		d.Sink.SetTargets(append(b.Updated, d.addRemembered(now)...))
		return
	}
	if changed := slices.Concat(b.Updated, lapsed); len(changed) > 0 {
		d.Sink.UpdateTargets(changed, nil)
	}
}

// maxSingleLogLines is the largest number of targets listed at the same time that are
// logged one per line: enough for the members of several groups. More, as at the start of
// a large deployment, are logged as a count.
const maxSingleLogLines = 32

func (d *Directory) logTargets(listed []cwport.ListedTarget) {
	if len(listed) > maxSingleLogLines {
		d.Log.Info("targetsListed", "count", len(listed), "known", len(d.knownTargets))
		return
	}
	for _, l := range listed {
		d.Log.Info("targetListed", "target", l.ID, "service", l.Service, "address", l.Address, "dataCentre", l.DataCentre, "leaving", l.Draining, "role", l.Role)
	}
}

// markMissing records that the entries of targets have disappeared, and returns the
// targets for which that is new, marked as lapsed. The caller holds mu.
func (d *Directory) markMissing(removed []cwgroup.MemberID, now time.Time) []cwport.ListedTarget {
	var lapsed []cwport.ListedTarget
	for _, id := range removed {
		l, ok := d.knownTargets[id]
		if !ok || !d.missingSince[id].IsZero() {
			continue
		}
		d.missingSince[id] = now
		d.Log.Info("targetVanished", "target", id)
		l.EntryMissing = true
		d.knownTargets[id] = l
		lapsed = append(lapsed, l)
	}
	return lapsed
}

// ownRowsTimeout bounds the wait for own rows before the first list of targets is used
// without them. The store usually answers for both at the same time; if it answers for
// one table and not the other, callers are served all the same.
const ownRowsTimeout = 2 * time.Second

// awaitOwnRows waits before the first list of targets until own rows are known, from
// which RememberedTargets is derived, or ownRowsTimeout has passed.
func (d *Directory) awaitOwnRows(ctx context.Context) {
	if d.RememberedTargets == nil || d.isLoaded(cwport.TopicTargets) {
		return
	}
	end := d.Clock.After(ownRowsTimeout)
	for {
		d.mu.Lock()
		known, changesAvailable := d.topics[cwport.TopicOwn].loaded, d.changesAvailable
		d.mu.Unlock()
		if known {
			return
		}
		select {
		case <-changesAvailable:
		case <-end:
			d.Log.Warn("membersNotRemembered", "waitedMs", ownRowsTimeout.Milliseconds())
			return
		case <-ctx.Done():
			return
		}
	}
}

// addRemembered adds the remembered targets that the first list lacks, and returns them.
// They are used until it is certain that their entries do not come back. The caller holds
// mu.
//
// An instance may start within seconds of an outage of the store, or while a target is
// down, and has never seen the entries that lapsed. If it took the listed members for
// whole groups, two of three members could confirm and promote by themselves, and what
// the third acknowledged with one of them would be lost.
func (d *Directory) addRemembered(now time.Time) []cwport.ListedTarget {
	if d.RememberedTargets == nil {
		return nil
	}
	var out []cwport.ListedTarget
	for _, l := range d.RememberedTargets() {
		if _, ok := d.knownTargets[l.ID]; ok {
			continue
		}
		d.Log.Info("targetRemembered", "target", l.ID, "service", l.Service, "address", l.Address)
		l.EntryMissing = true
		d.knownTargets[l.ID], d.missingSince[l.ID], d.rememberedOnly[l.ID] = l, now, true
		out = append(out, l)
	}
	return out
}

// TargetsAvailable reports whether the list of targets was read and the store currently
// answers requests for it.
func (d *Directory) TargetsAvailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.unavailable && d.topics[cwport.TopicTargets].loaded
}

// missingFrom returns the known targets that a snapshot lacks, except those already
// recorded as missing. The caller holds mu.
func (d *Directory) missingFrom(listed []cwport.ListedTarget) []cwgroup.MemberID {
	present := make(map[cwgroup.MemberID]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
	}
	var out []cwgroup.MemberID
	for id := range d.knownTargets {
		if _, recorded := d.missingSince[id]; !present[id] && !recorded {
			out = append(out, id)
		}
	}
	return out
}

// setUnavailable records whether the store answers requests about targets. Other topics
// are ignored.
//
// The store may become available for a moment, in which this instance learns that entries
// have lapsed, and unavailable again. The entries were written anew, but this instance
// cannot learn it. If it removed these targets, which are alive, it would refuse
// everything until the store returns. So the time until removal counts from the store's
// last return, and targets are removed only while the store is available.
func (d *Directory) setUnavailable(t cwport.Topic, unavailable bool) {
	if t != cwport.TopicTargets {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable && !unavailable {
		d.availableSince = d.Clock.Now()
		for id := range d.missingSince {
			d.missingSince[id] = d.Clock.Now()
		}
	}
	d.unavailable = unavailable
}

// loopRemoval periodically removes the targets whose entries did not come back.
func (d *Directory) loopRemoval(ctx context.Context) error {
	for ctx.Err() == nil {
		d.sleep(ctx, removalCheckInterval)
		d.removeExpired()
	}
	return nil
}

// removalCheckInterval is how often targets with missing entries are checked.
const removalCheckInterval = 500 * time.Millisecond

// removeExpired removes the targets whose entries did not come back.
func (d *Directory) removeExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	var gone []cwgroup.MemberID
	for id, since := range d.missingSince {
		if !d.removalDue(id, since, now) {
			continue
		}
		d.Log.Info("targetGone", "target", id)
		gone = append(gone, id)
		delete(d.missingSince, id)
		delete(d.rememberedOnly, id)
		delete(d.knownTargets, id)
	}
	if len(gone) > 0 {
		d.Sink.UpdateTargets(nil, gone)
	}
}

// removalDue reports whether a target whose entry has been missing since the given time
// is to be removed. The caller holds mu.
//
// If the store stops answering right after it reported that entries lapsed, the time can
// be up before any request to it has failed, and targets that are alive would be removed.
// So the store must also have confirmed, at least MinRemovalDelay after an entry
// disappeared, that it is not back.
func (d *Directory) removalDue(id cwgroup.MemberID, missingSince, now time.Time) bool {
	delay := max(d.RemovalDelay, MinRemovalDelay)
	if d.rememberedOnly[id] {
		// The entry disappeared before this instance started.
		delay = MinRemovalDelay
	}
	if d.unavailable || now.Sub(missingSince) < delay {
		return false
	}
	return d.topics[cwport.TopicTargets].confirmed.Sub(missingSince) >= MinRemovalDelay
}
