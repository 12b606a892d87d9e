package cwdirectory

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Timeouts and pauses of following another instance.
const (
	// feederLookupInterval is how often an instance without a feeder looks for one, and
	// startupLookupInterval the same until it has a desired state.
	feederLookupInterval  = 100 * time.Millisecond
	startupLookupInterval = 10 * time.Millisecond
	// rootCheckInterval is how often a root checks whether it still is one: the tree
	// changes with the list of instances, and hardly ever otherwise.
	rootCheckInterval = time.Second
	// feederRetryPause is the pause after a feeder did not answer, or answered with rows
	// that could not be used.
	feederRetryPause = 200 * time.Millisecond
	// followerRetryPause is the pause between requests of an instance with a feeder to a
	// store that does not answer it. The feeder asks more often and reports the store's
	// return; these requests cover a store that rejects the feeder and not this instance.
	followerRetryPause = 2 * time.Second
	// firstListMaxAge is how old the list of instances may be until this instance has a
	// place in the tree. Instances that start together register within about a second, so
	// a single read finds most of them.
	firstListMaxAge = 1500 * time.Millisecond
	// placementTimeout is how long a starting instance waits for a feeder, and
	// firstFeedTimeout how long it then waits for the first rows from it, until it asks
	// the store. The feeder may be starting, too.
	placementTimeout = 6 * time.Second
	firstFeedTimeout = 4 * time.Second
	// ownStaleAfter is how old own rows may be before the store is asked. Nothing is
	// unsafe while a change of them is missing.
	ownStaleAfter = 2 * ownPollWait
)

// StaleAfter holds the age of data from a feeder, by topic, beyond which the store is
// asked. The age counts from the store's last confirmation.
type StaleAfter struct{ Desired, Targets time.Duration }

func (s StaleAfter) staleness(t cwport.Topic) cwfeed.Staleness {
	return cwfeed.Staleness{MaxAge: [cwport.TopicCount]time.Duration{cwport.TopicDesired: s.Desired, cwport.TopicTargets: s.Targets, cwport.TopicOwn: ownStaleAfter}[t]}
}

// changeSource is where an instance receives changes from.
type changeSource uint8

const (
	// fromStore is the source of a root, and of an instance without Feeders.
	fromStore changeSource = iota
	// fromFeeder is the source of an instance below another one in the tree.
	fromFeeder
	// fromNone is the source before this instance has a place in the tree.
	fromNone
)

func (s changeSource) String() string { return [...]string{"store", "feeder", "nobody"}[s] }

func (d *Directory) changeSource() changeSource {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source
}

// setSource sets where changes are received from.
func (d *Directory) setSource(s changeSource) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.source == s {
		return
	}
	d.Log.Info("newsSource", "before", d.source, "now", s)
	d.source = s
	close(d.pollDueChanged)
	d.pollDueChanged = make(chan struct{})
}

// loopFeeder requests changes from this instance's feeder as long as it has one.
func (d *Directory) loopFeeder(ctx context.Context) error {
	for ctx.Err() == nil {
		f, root := d.Feeders.Feeder()
		switch {
		case root:
			d.setSource(fromStore)
			d.sleep(ctx, rootCheckInterval)
		case f == nil:
			if d.changeSource() == fromStore {
				d.setSource(fromNone)
			}
			d.sleep(ctx, d.lookupInterval())
		default:
			d.recordFeederFound()
			d.pollFeeder(ctx, f)
		}
	}
	return nil
}

// lookupInterval returns the pause until the next lookup of a feeder.
func (d *Directory) lookupInterval() time.Duration {
	if d.isLoaded(cwport.TopicDesired) {
		return feederLookupInterval
	}
	return startupLookupInterval
}

// recordFeederFound sets startDeadline anew when this instance has its first feeder.
func (d *Directory) recordFeederFound() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.feederFound {
		d.feederFound = true
		d.startDeadline = d.Clock.Now().Add(firstFeedTimeout)
	}
}

// pollFeeder sends one request to a feeder and applies the answer.
func (d *Directory) pollFeeder(ctx context.Context, f cwport.Feeder) {
	sent, q := d.Clock.Now(), d.changesRequest()
	n, err := f.ServeChanges(ctx, q)
	if err != nil {
		if ctx.Err() == nil {
			d.Log.Warn("feederLost", "feeder", f.Name(), "cause", err)
			d.sleep(ctx, feederRetryPause)
		}
		return
	}
	inc(d.Counts.FeederAnswers)
	d.setSource(fromFeeder)
	d.setUnavailable(cwport.TopicTargets, n.TargetsUnavailable)
	changed, missing := false, false
	for _, t := range applyOrder {
		changes := n.Topics[t]
		answer := cwfeed.FeederResponse{Sent: sent, Held: n.Held, Age: changes.Age}
		if !d.isLoaded(t) && !d.acceptsFirst(t, n, answer) {
			missing = true
			continue
		}
		d.applyBatch(t, d.Decoder.Decode(t, changes.Version, changes.Rows), changes.Complete, answer.Confirmed())
		changed = changed || len(changes.Rows) > 0
	}
	switch {
	case missing:
		// The feeder would send the rows that were not applied again at once.
		d.sleep(ctx, feederRetryPause)
	case changed:
		d.sleep(ctx, ownBatchDelay)
	}
}

// applyOrder is the order in which the topics of one answer are applied. Own rows come
// before targets because they store the members of groups, which are added to the first
// list of targets.
var applyOrder = [...]cwport.Topic{cwport.TopicDesired, cwport.TopicOwn, cwport.TopicTargets}

// acceptsFirst reports whether the first rows of a topic can be accepted from a feeder.
// They are as good as a snapshot that was read from the store when the feeder's data was
// confirmed, so they must not be stale.
//
// This bounds the load on the store when hundreds of instances start at once, which would
// otherwise each read the whole list of targets and all own rows from it, some megabytes.
func (d *Directory) acceptsFirst(t cwport.Topic, n cwport.ChangesResponse, a cwfeed.FeederResponse) bool {
	if t == cwport.TopicTargets && !d.isLoaded(cwport.TopicOwn) {
		return false
	}
	if t == cwport.TopicTargets && n.TargetsIncomplete {
		// The feeder uses members whose entries are missing, and its rows do not include
		// them. An instance that has never seen them would take two of three members for
		// the whole group.
		d.recordIncomplete(t)
		return false
	}
	return n.Topics[t].Complete && !d.StaleAfter.staleness(t).IsStale(a.Confirmed(), d.Clock.Now())
}

// recordIncomplete makes this instance request the first rows of a topic from the store,
// and not from a feeder for MinRemovalDelay.
func (d *Directory) recordIncomplete(t cwport.Topic) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.topics[t].feederIncompleteAt = d.Clock.Now()
	close(d.pollDueChanged)
	d.pollDueChanged = make(chan struct{})
}

// changesRequest returns a request for the changes since the known versions. The first
// request to a feeder has no wait and is answered at once, because until then the feeder
// is not this instance's source, and stale topics ask the store.
func (d *Directory) changesRequest() cwport.ChangesRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := cwport.ChangesRequest{}
	if d.source == fromFeeder {
		q.Wait = d.StaleAfter.staleness(cwport.TopicDesired).FeederWait()
	}
	for _, t := range cwport.Topics {
		q.After[t] = d.topics[t].version
		if s := &d.topics[t]; !s.loaded && d.Clock.Since(s.feederIncompleteAt) < MinRemovalDelay {
			// The feeder would answer at once with all rows of the topic, which this
			// instance cannot use. An instance whose requests the store rejects since its
			// start would thus ask its feeder in a busy loop, so it excludes the topic.
			q.After[t] = cwport.SkipTopic
		}
	}
	return q
}

// awaitPollDue waits until this instance has to ask the store for a topic, as
// untilPollDue determines it. It does not wait if must is true. It returns false once ctx
// has ended.
func (d *Directory) awaitPollDue(ctx context.Context, t cwport.Topic, must bool) bool {
	for ctx.Err() == nil {
		wait, dueChanged := d.untilPollDue(t)
		if must || wait <= 0 {
			return true
		}
		select {
		case <-dueChanged:
		case <-d.Clock.After(wait):
		case <-ctx.Done():
		}
	}
	return false
}

// untilPollDue returns how long to wait before asking the store for a topic, not positive
// if it is due, and a channel that is closed when that may have changed. A root is
// always due; another instance when its data is stale or no feeder supplies the first
// rows in time.
func (d *Directory) untilPollDue(t cwport.Topic) (time.Duration, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stale := d.StaleAfter.staleness(t).MaxAge
	s := &d.topics[t]
	switch {
	case d.source == fromStore || !s.loaded && !s.feederIncompleteAt.IsZero():
		return 0, d.pollDueChanged
	case !s.loaded:
		return d.startDeadline.Sub(d.Clock.Now()), d.pollDueChanged
	case d.source == fromNone && t == cwport.TopicOwn:
		stale = firstListMaxAge
	}
	return stale - d.Clock.Since(d.topics[t].confirmed), d.pollDueChanged
}
