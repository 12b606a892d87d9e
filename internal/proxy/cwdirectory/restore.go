package cwdirectory

import (
	"context"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// updateEra records the era of a batch. If it shows that the store was restored from an
// older copy, it cancels the long polls in progress, so that all topics are read anew at
// once.
func (d *Directory) updateEra(t cwport.Topic, b cwport.Batch) {
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
	inc(d.Counts.StoreRestores)
	d.Log.Warn("storeRestored", "topic", t, "era", era, "before", before, "version", b.Version)
}

// cancelPolls cancels all long polls in progress. The caller holds mu.
func (d *Directory) cancelPolls() {
	for i := range d.topics {
		if cancel := d.topics[i].cancelPoll; cancel != nil {
			cancel()
		}
	}
}

// Era returns the newest known era of the store, which increases with each restore; zero
// if none is known or the store reports none.
func (d *Directory) Era() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.era
}

// beginPoll registers a request for the changes after a version with the function that
// cancels it. It returns false if the store is in a later era, so that a snapshot is
// needed.
//
// When one topic learns that the store was restored from an older copy, the others would
// otherwise continue with rows that the store has lost until their long polls end, ten
// seconds for own rows.
func (d *Directory) beginPoll(t cwport.Topic, after cwfeed.Version, cancel context.CancelFunc) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.era > after.Era() {
		return false
	}
	d.topics[t].cancelPoll = cancel
	return true
}

// endPoll records that the request has ended, and reports whether the store is known to
// be in a later era than the requested version.
func (d *Directory) endPoll(t cwport.Topic, after cwfeed.Version) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.topics[t].cancelPoll = nil
	return d.era > after.Era()
}

// updateRevision records the revision of the store's desired state, and reports whether
// it is older than the newest known one.
//
// A store that was restored from a copy with an older desired state has lost later
// changes, and this instance may not have read all of them, such as the revocation of an
// API key. Until the operator has written the lost changes again, an answer of the store
// is no confirmation that there is nothing newer, and no key is trusted because of it.
func (d *Directory) updateRevision(b cwport.Batch, whole bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.storeBehind
	switch {
	case b.Catalogue != nil:
		d.storeBehind = b.Catalogue.Revision < d.revision
		d.revision = max(d.revision, b.Catalogue.Revision)
	case whole:
		d.storeBehind = d.revision > 0
	}
	if d.storeBehind && !before {
		d.Log.Warn("desiredStateOlder", "version", b.Version, "known", d.revision)
	}
	if before && !d.storeBehind {
		d.Log.Info("desiredStateBack", "version", b.Version, "revision", d.revision)
	}
	return d.storeBehind
}

// keepDraining marks the listed entries of targets that are known to be draining. The
// caller holds mu.
//
// A target may have announced that it is shutting down, and the store may then be
// restored from a copy without that announcement. Until the target writes its entry
// again, new work would be sent to it and be lost when it stops. So an entry from before
// the restore does not revoke the announcement. An entry that the target writes later, or
// after it has started again, is used as it is.
func (d *Directory) keepDraining(listed []cwport.ListedTarget) {
	for i, l := range listed {
		known, ok := d.knownTargets[l.ID]
		if ok && known.Draining && !l.Draining && known.StartedAt.Equal(l.StartedAt) {
			listed[i].Draining = true
			d.Log.Info("targetStillLeaves", "target", l.ID)
		}
	}
}

// logOutdated logs and counts a snapshot that was ignored because newer data is known.
func (d *Directory) logOutdated(t cwport.Topic, b cwport.Batch, known cwfeed.Version) {
	inc(d.Counts.OutdatedAnswers)
	var revision cwcatalogue.Revision
	if b.Catalogue != nil {
		revision = b.Catalogue.Revision
	}
	d.Log.Warn("answerOutdated", "topic", t, "version", b.Version, "known", known, "rows", len(b.Raw), "revision", revision)
}
