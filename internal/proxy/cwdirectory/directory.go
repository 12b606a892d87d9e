// Package cwdirectory keeps an instance up to date with the contents of the platform's
// store. There are three topics: the desired state, the list of targets, and the rows
// that the instances write themselves (own rows).
//
// For each topic the instance reads a snapshot of all rows and then follows the changes.
// The instances of a data centre form a tree (see cwfeed). Its roots read from the store
// by long polling, resuming at the version of the last answer. Every other instance
// requests the same rows from its parent in the tree, its feeder, and any instance can be
// the feeder of others. An instance whose data is older than a limit asks the store
// itself.
//
// While the store is unavailable, the last known state stays in force. The entry of a
// target also lapses if the target cannot renew it because the store is unavailable, so a
// target is removed only some time after its entry disappeared.
package cwdirectory

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Timeouts and pauses of requests to the store.
const (
	// pollAnswerMargin is how much longer than its requested wait a long poll may take
	// before its answer counts as lost.
	pollAnswerMargin = 700 * time.Millisecond
	// ownPollWait is how long the store may hold a long poll for own rows. It is long
	// because nothing is unsafe while a change of them is missing.
	ownPollWait = 10 * time.Second
	// snapshotTimeout bounds the request for a snapshot, which the store answers in some
	// milliseconds, or some hundreds of them when it is slow.
	snapshotTimeout = 2 * time.Second
	// unavailableTimeout bounds a request for changes while the store is unavailable or
	// a feeder is expected. The store answers it without holding it, even when slow in
	// some hundreds of milliseconds.
	unavailableTimeout = time.Second
	// minRetryPause and maxRetryPause bound the pause between requests while the store is
	// unavailable: a newer desired state must be in force within seconds of its return.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// targetsBatchDelay and ownBatchDelay are the pauses between an answer with changes
	// and the next request, so that one request collects several changes. Targets and
	// instances start together, and each single change would wake every instance: of 92
	// requests that one of 77 instances sent in 62 s, 24 were for single targets in the
	// first three seconds. The delay is safe: a target that is shutting down still serves
	// for seconds, and claims are read again before one is made.
	targetsBatchDelay = time.Second
	ownBatchDelay     = 150 * time.Millisecond
	// unavailablePause is the pause between requests to an unavailable store for the
	// topics other than the desired state. The desired state is requested more often on
	// behalf of all topics; the others follow as soon as it is answered. After a single
	// failure they retry after minRetryPause.
	unavailablePause = 1500 * time.Millisecond
	// MinRemovalDelay is the least time between the disappearance of a target's entry and
	// the removal of the target. Entries that lapsed while the store was unavailable are
	// written again within about two seconds of its return.
	MinRemovalDelay = 2500 * time.Millisecond
)

// Sink receives the state that a Directory follows, in order.
type Sink interface {
	// SetCatalogue replaces the desired state.
	SetCatalogue(c cwcatalogue.Catalogue)
	// SetTargets sets all targets. It is called with a complete list while no targets
	// are known.
	SetTargets(all []cwport.ListedTarget)
	// UpdateTargets adds or updates the targets in listed and removes those in removed.
	UpdateTargets(listed []cwport.ListedTarget, removed []cwgroup.MemberID)
	// ApplyRows applies own rows; whole is true if these are all of them.
	ApplyRows(rows []cwport.Row, whole bool)
	// SetEra sets the era of the store's data, before any data of that era is passed. A
	// call after the first means that the store was restored from an older copy.
	SetEra(era uint64)
}

// PollWaits holds how long the store may hold a long poll, by topic.
//
// The waits also bound the effect of a lost answer. If a connection stops delivering
// data without an error, the instance continues with an old desired state, or sends
// work to a target that is shutting down, until the poll times out. That takes at most
// the wait plus pollAnswerMargin.
type PollWaits struct{ Desired, Targets time.Duration }

// Directory follows the topics of a Source and passes their state to a Sink. Other
// instances request changes from it with ServeChanges. Set the exported fields before Run.
type Directory struct {
	PollWaits PollWaits
	// RemovalDelay is how long after the disappearance of its entry a target is removed,
	// counting only time in which the store was available without interruption. Values
	// below MinRemovalDelay count as MinRemovalDelay.
	RemovalDelay time.Duration

	Source cwport.Source
	Sink   Sink
	Clock  clockwork.Clock
	Log    *log.Logger

	// Feeders finds the instance from which to request changes; nil to always ask the
	// store.
	Feeders cwport.Feeders
	// Decoder decodes the rows that a feeder sends, and rows that remain after known
	// ones were dropped. It is needed only with Feeders.
	Decoder cwport.Decoder
	// StaleAfter holds the age of each topic's data beyond which the store is asked. It
	// is needed only with Feeders.
	StaleAfter StaleAfter

	// RememberedTargets returns the targets that were known before this instance
	// started, as stored in own rows; nil if none are stored. It is called once, after
	// the own rows were read or ownRowsTimeout has passed.
	RememberedTargets func() []cwport.ListedTarget

	// Counts are the metrics to increment; nil counters are skipped.
	Counts Counts

	// applyMu is held while a batch is applied, so that an older one is never applied
	// after a newer one. It is locked before mu.
	applyMu sync.Mutex

	mu     sync.Mutex
	topics [cwport.TopicCount]topicState
	// source is where changes are received from. pollDueChanged is closed and replaced
	// when that changes, or when a topic must be read from the store.
	source         changeSource
	pollDueChanged chan struct{}
	// changesAvailable is closed and replaced with each batch of changes and each
	// confirmation of the desired state.
	changesAvailable chan struct{}
	// lastRequestAt is when another instance last requested changes.
	lastRequestAt time.Time
	// era is the newest known era of the store; eraKnown is true once any is known.
	era      uint64
	eraKnown bool
	// revision is that of the newest desired state received. storeBehind is true while
	// the store has an older one, after a restore.
	revision    cwcatalogue.Revision
	storeBehind bool
	// unavailable is true while the store does not answer requests about targets;
	// availableSince is when it last began to answer again.
	unavailable    bool
	availableSince time.Time
	// startDeadline is until when topics without a snapshot wait for a feeder instead of
	// asking the store. feederFound is true once there was a feeder.
	startDeadline time.Time
	feederFound   bool
	// desiredConfirmed is closed with the next confirmation of the desired state; nil if
	// no topic waits for it.
	desiredConfirmed chan struct{}
	// knownTargets are the targets in use, including those whose entries have
	// disappeared. missingSince is when such an entry disappeared, or when the store
	// became available again after that.
	knownTargets map[cwgroup.MemberID]cwport.ListedTarget
	missingSince map[cwgroup.MemberID]time.Time
	// rememberedOnly are the targets from RememberedTargets whose entries this instance
	// has never seen.
	rememberedOnly map[cwgroup.MemberID]bool
	// loggedFaults are the malformed rows that were logged.
	loggedFaults map[rowID]bool
}

// Counts holds the metrics of a Directory. Nil counters are skipped.
type Counts struct {
	// StoreRequests counts requests to the store, FeederAnswers answers received from
	// feeders, and FeedAnswersSent answers given to other instances.
	StoreRequests, FeederAnswers, FeedAnswersSent *metrics.Counter
	// StoreRestores counts the times that the store was found to be restored from an
	// older copy. OutdatedAnswers counts complete answers that were ignored because
	// newer data was known.
	StoreRestores, OutdatedAnswers *metrics.Counter
}

// inc increments a counter that may be nil.
func inc(c *metrics.Counter) {
	if c != nil {
		c.Inc()
	}
}

// topicState is the state of one topic.
type topicState struct {
	// cancelPoll cancels the long poll in progress; nil if there is none.
	cancelPoll context.CancelFunc
	// feederIncompleteAt is when a feeder last could not supply a complete first list;
	// zero if that never happened.
	feederIncompleteAt time.Time
	// version is the version up to which the topic is known; it never decreases.
	version cwfeed.Version
	// loaded is true once a snapshot was applied.
	loaded bool
	// confirmed is a time at which the store certainly had nothing newer than what is
	// known. It never decreases.
	confirmed time.Time
	// changeLog holds the rows and changes for other instances.
	changeLog cwfeed.ChangeLog[cwport.Row]
}

// rowID identifies a row of a topic.
type rowID struct {
	topic cwport.Topic
	key   string
}

// Run follows all topics until ctx ends. It always returns nil.
func (d *Directory) Run(ctx context.Context) error {
	d.initState()
	eg, ctx := errgroup.WithContext(ctx)
	if d.Feeders != nil {
		d.setSource(fromNone)
		eg.Go(func() error { return d.loopFeeder(ctx) })
	}
	for _, t := range cwport.Topics {
		eg.Go(func() error { return d.loopTopic(ctx, t) })
	}
	eg.Go(func() error { return d.loopRemoval(ctx) })
	return eg.Wait()
}

// Confirmed returns a time at which the store certainly had no newer desired state
// than the one last passed to the sink; zero before the first.
func (d *Directory) Confirmed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.topics[cwport.TopicDesired].confirmed
}

// initState initializes the unexported fields once. ServeChanges calls it too, since
// another instance may send a request before Run.
func (d *Directory) initState() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.knownTargets != nil {
		return
	}
	if d.Feeders != nil {
		d.startDeadline = d.Clock.Now().Add(placementTimeout)
	}
	d.knownTargets = make(map[cwgroup.MemberID]cwport.ListedTarget)
	d.missingSince = make(map[cwgroup.MemberID]time.Time)
	d.rememberedOnly = make(map[cwgroup.MemberID]bool)
	d.loggedFaults = make(map[rowID]bool)
	d.pollDueChanged, d.changesAvailable = make(chan struct{}), make(chan struct{})
}

// applyBatch applies a batch. confirmed is a time at which the store certainly had
// nothing newer; whole is true if the batch has all rows of the topic.
func (d *Directory) applyBatch(t cwport.Topic, b cwport.Batch, whole bool, confirmed time.Time) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.updateEra(t, b)
	outdated := b.Version < d.versionOf(t)
	if outdated || t == cwport.TopicDesired && d.updateRevision(b, whole) {
		// The batch is ignored as older than what is known, so it must not count as a
		// confirmation that there is nothing newer. Otherwise an instance that is
		// permanently behind would claim to be up to date, and go on trusting API keys
		// that were revoked.
		confirmed = time.Time{}
	}
	b, changed := d.dropKnown(t, b, whole)
	if changed {
		d.notifySink(t, b, whole)
	}
	d.recordBatch(t, b, whole, confirmed)
}

// dropKnown drops the rows of a batch that are known already, and reports whether
// anything is left to apply.
//
// Answers of a feeder and of the store can arrive at about the same time. If the older
// one were applied last, a target that has left would be used again.
func (d *Directory) dropKnown(t cwport.Topic, b cwport.Batch, whole bool) (cwport.Batch, bool) {
	d.mu.Lock()
	known := d.topics[t].version
	d.mu.Unlock()
	if whole && b.Version < known {
		d.logOutdated(t, b, known)
	}
	if whole {
		return b, b.Version >= known
	}
	var newer []cwport.Row
	for _, r := range b.Raw {
		if r.Version > known {
			newer = append(newer, r)
		}
	}
	if len(newer) == len(b.Raw) {
		return b, b.Changed() || len(b.RowErrors) > 0
	}
	b = d.Decoder.Decode(t, b.Version, newer)
	return b, b.Changed() || len(b.RowErrors) > 0
}

// recordBatch updates the version, change log and confirmation of a topic, and wakes the
// requests of other instances.
func (d *Directory) recordBatch(t cwport.Topic, b cwport.Batch, whole bool, confirmed time.Time) {
	entries := d.changeLogEntries(b.Raw)
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.topics[t]
	if whole {
		s.loaded = true
		s.changeLog.Replace(b.Version, entries)
	} else {
		s.changeLog.Apply(b.Version, entries)
	}
	s.version = max(s.version, b.Version)
	if confirmed.After(s.confirmed) {
		s.confirmed = confirmed
		d.wakeStoreWaiters(t)
	}
	if t == cwport.TopicDesired || whole || b.Changed() {
		close(d.changesAvailable)
		d.changesAvailable = make(chan struct{})
	}
}

// wakeStoreWaiters wakes the topics that wait for the store to become available, if t is
// the desired state. The caller holds mu.
func (d *Directory) wakeStoreWaiters(t cwport.Topic) {
	if t == cwport.TopicDesired && d.desiredConfirmed != nil {
		close(d.desiredConfirmed)
		d.desiredConfirmed = nil
	}
}

// changeLogEntries converts rows to entries of a topic's change log.
func (d *Directory) changeLogEntries(rows []cwport.Row) []cwfeed.Entry[cwport.Row] {
	compress := d.requestedRecently()
	out := make([]cwfeed.Entry[cwport.Row], 0, len(rows))
	for _, r := range rows {
		out = append(out, cwfeed.Entry[cwport.Row]{Key: r.Key, Version: r.Version, Removed: r.Removed, Row: d.rowForChangeLog(r, compress)})
	}
	return out
}

// notifySink logs the faults of a batch and passes the rest to the sink.
func (d *Directory) notifySink(t cwport.Topic, b cwport.Batch, whole bool) {
	d.logFaults(t, b)
	switch t {
	case cwport.TopicDesired:
		if b.Catalogue != nil {
			d.Sink.SetCatalogue(*b.Catalogue)
		}
	case cwport.TopicTargets:
		d.applyTargets(b, whole)
	default:
		if whole || len(b.OwnRows) > 0 {
			d.Sink.ApplyRows(b.OwnRows, whole)
		}
	}
}

// logFaults logs each malformed row once, however often it is written. The row of a target
// is logged again if it was valid in between, in a snapshot or a change.
func (d *Directory) logFaults(t cwport.Topic, b cwport.Batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range b.Updated {
		delete(d.loggedFaults, rowID{t, string(l.ID)})
	}
	for _, f := range b.RowErrors {
		id := rowID{t, f.Key}
		if d.loggedFaults[id] {
			continue
		}
		d.loggedFaults[id] = true
		d.Log.Error("rowUnreadable", "topic", t, "key", f.Key, "version", f.Version, "cause", f.Cause)
	}
}

// batchDelay returns the pause between an answer with changes of a topic and the next
// request. It is zero for the desired state, which is applied at once.
func batchDelay(t cwport.Topic) time.Duration {
	switch t {
	case cwport.TopicTargets:
		return targetsBatchDelay
	case cwport.TopicOwn:
		return ownBatchDelay
	}
	return 0
}

func (d *Directory) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-d.Clock.After(pause):
	case <-ctx.Done():
	}
}
