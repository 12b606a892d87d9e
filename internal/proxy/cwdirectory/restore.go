package cwdirectory

import (
	"context"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// noteEra notes that the store has come back from an older copy. Questions that
// began before it are ended: all topics are read anew at once.
func (d *Directory) noteEra(t cwport.Topic, b cwport.Batch) {
	era := b.Version.Era()
	d.mu.Lock()
	before, known := d.era, d.eraKnown
	d.era, d.eraKnown = max(before, era), true
	restored := known && era > before
	if restored {
		d.cancelPolls()
	}
	d.mu.Unlock()
	if !known || restored {
		d.Sink.SetEra(era)
	}
	if !restored {
		return
	}
	inc(d.Counts.Restores)
	d.Log.Warn("storeRestored", "topic", t, "era", era, "before", before, "version", b.Version)
}

// cancelPolls ends all questions to the store. The caller holds mu.
func (d *Directory) cancelPolls() {
	for i := range d.topics {
		if cancel := d.topics[i].cancelPoll; cancel != nil {
			cancel()
		}
	}
}

// Era returns the newest era of the store that is known; zero if it does not tell.
func (d *Directory) Era() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.era
}

// beginPoll notes a question for what came after a version, and how to cancel it. It
// returns false if the store is in a later era: then a snapshot is needed.
//
// The failure: one topic learns that the store has come back from an older copy,
// and the others go on for as long as their questions last, ten seconds for the
// product's own rows, with rows that the store has lost.
func (d *Directory) beginPoll(t cwport.Topic, after cwfeed.Version, cancel context.CancelFunc) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.era > after.Era() {
		return false
	}
	d.topics[t].cancelPoll = cancel
	return true
}

// pollEnded notes that a question has ended, and returns whether the store is known to
// be in a later era than the version that was asked for.
func (d *Directory) pollEnded(t cwport.Topic, after cwfeed.Version) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.topics[t].cancelPoll = nil
	return d.era > after.Era()
}

// tellsOlder takes which desired state the store has, and returns whether it is older
// than the newest that was known.
//
// The failure: the store comes back from a copy with an older desired state. It has
// lost what came after, of which this instance may not have read all: a key that
// was taken away, say. That there is nothing newer is not true until the operator
// has written again what was lost, and a key is not trusted by it.
func (d *Directory) tellsOlder(b cwport.Batch, whole bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.older
	switch {
	case b.Catalogue != nil:
		d.older = b.Catalogue.Revision < d.revision
		d.revision = max(d.revision, b.Catalogue.Revision)
	case whole:
		d.older = d.revision > 0
	}
	if d.older && !before {
		d.Log.Warn("desiredStateOlder", "version", b.Version, "known", d.revision)
	}
	if before && !d.older {
		d.Log.Info("desiredStateBack", "version", b.Version, "revision", d.revision)
	}
	return d.older
}

// keepLeaving marks the entries of targets that are known to leave. The caller holds
// mu.
//
// The failure: a target announces that it ends, and the store comes back from a copy
// in which it has not. Until it writes its entry again, new work goes to it and ends
// with it. What it said is not taken back by an entry of before; one that it writes
// later, or another start of it, counts as it stands.
func (d *Directory) keepLeaving(listed []cwport.Listing) {
	for i, l := range listed {
		k, ok := d.known[l.ID]
		if ok && k.Leaving && !l.Leaving && k.Born.Equal(l.Born) {
			listed[i].Leaving = true
			d.Log.Info("targetStillLeaves", "target", l.ID)
		}
	}
}

// noteOutdated notes all rows of a topic that were left out.
func (d *Directory) noteOutdated(t cwport.Topic, b cwport.Batch, known cwfeed.Version) {
	inc(d.Counts.Outdated)
	var revision cwcatalogue.Revision
	if b.Catalogue != nil {
		revision = b.Catalogue.Revision
	}
	d.Log.Warn("answerOutdated", "topic", t, "version", b.Version, "known", known, "rows", len(b.Raw), "revision", revision)
}
