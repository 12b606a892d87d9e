package cwdirectory

import (
	"context"
	"math"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Times of following another instance.
const (
	// feederStep is how often an instance without a feeder looks for one.
	feederStep = 100 * time.Millisecond
	// rootStep is how often a root looks whether it still is one: the tree
	// changes with the list of instances, and hardly ever otherwise.
	rootStep = time.Second
	// feederRetry is the pause after a feeder that did not answer.
	feederRetry = 200 * time.Millisecond
	// followerRetry is the pause between two questions of a follower to a store
	// that does not answer it. Its feeder asks more often and tells of the
	// store's return; this is for a store that turns the feeder away and not the
	// follower.
	followerRetry = 2 * time.Second
	// firstLook is how old the list of instances may be before this instance has
	// a place in the tree. Instances that start together register within about a
	// second, so one look finds most of them.
	firstLook = 1500 * time.Millisecond
	// ownStale is how old the product's own rows may be. Nothing is unsafe while
	// one is missing.
	ownStale = 2 * ownWait
)

// Stale is how old the word of a feeder may be before the store is asked.
type Stale struct{ Desired, Targets time.Duration }

func (s Stale) ages(t cwport.Topic) cwfeed.Ages {
	return cwfeed.Ages{Stale: [cwport.TopicCount]time.Duration{cwport.Desired: s.Desired, cwport.Targets: s.Targets, cwport.Own: ownStale}[t]}
}

// newsSource is where an instance's news come from.
type newsSource uint8

const (
	// fromStore is the source of a root, and of an instance without Feeders.
	fromStore newsSource = iota
	fromFeeder
	// fromNobody is the source before this instance has a place in the tree.
	fromNobody
)

func (s newsSource) String() string { return [...]string{"store", "feeder", "nobody"}[s] }

func (d *Directory) newsSource() newsSource {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source
}

// setSource notes where news come from.
func (d *Directory) setSource(s newsSource) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.source == s {
		return
	}
	d.Log.Info("newsSource", "before", d.source, "now", s)
	d.source = s
	close(d.turned)
	d.turned = make(chan struct{})
}

// loopFollow asks this instance's feeder for news.
func (d *Directory) loopFollow(ctx context.Context) error {
	for ctx.Err() == nil {
		f, root := d.Feeders.Feeder()
		switch {
		case root:
			d.setSource(fromStore)
			d.sleep(ctx, rootStep)
		case f == nil:
			if d.newsSource() == fromStore {
				d.setSource(fromNobody)
			}
			d.sleep(ctx, feederStep)
		default:
			d.follow(ctx, f)
		}
	}
	return nil
}

// follow asks a feeder once.
func (d *Directory) follow(ctx context.Context, f cwport.Feeder) {
	sent, q := d.Clock.Now(), d.newsQuestion()
	n, err := f.TellNews(ctx, q)
	if err != nil {
		if ctx.Err() == nil {
			d.Log.Warn("feederLost", "feeder", f.Name(), "cause", err)
			d.sleep(ctx, feederRetry)
		}
		return
	}
	inc(d.Counts.FeederAnswers)
	d.setSource(fromFeeder)
	d.setAway(cwport.Targets, n.TargetsAway)
	changed := false
	for _, t := range cwport.Topics {
		tn := n.Topics[t]
		if !d.read(t) {
			// The feeder counts entries that have lapsed, and cannot tell them. The
			// first list comes from the store.
			continue
		}
		answer := cwfeed.FeederAnswer{Sent: sent, Held: n.Held, Age: tn.Age}
		d.take(t, d.Decoder.Decode(t, tn.Version, tn.Rows), tn.Whole, answer.Confirmed())
		changed = changed || len(tn.Rows) > 0
	}
	if changed {
		d.sleep(ctx, ownSettle)
	}
}

// newsQuestion asks for what has changed. The first question to a feeder is
// answered at once: until it was, this instance looks for its place, and its
// topics ask the store when they are stale.
func (d *Directory) newsQuestion() cwport.NewsQuestion {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := cwport.NewsQuestion{}
	if d.source == fromFeeder {
		q.Wait = d.Stale.ages(cwport.Desired).FollowWait()
	}
	for _, t := range cwport.Topics {
		q.After[t] = d.topics[t].after
		if !d.topics[t].read {
			// The failure: an instance that the store turns away since its start asks
			// its feeder in a busy loop, which always has all rows of the topic for
			// it. They do not count here before the first snapshot, so none are asked
			// for.
			q.After[t] = math.MaxUint64
		}
	}
	return q
}

// awaitTurn waits until this instance has to ask the store about a topic: at
// once if it must, and otherwise when what it knows is stale. It returns false
// once ctx has ended.
func (d *Directory) awaitTurn(ctx context.Context, t cwport.Topic, must bool) bool {
	for ctx.Err() == nil {
		left, turned := d.untilTurn(t)
		if must || left <= 0 {
			return true
		}
		select {
		case <-turned:
		case <-d.Clock.After(left):
		case <-ctx.Done():
		}
	}
	return false
}

// untilTurn returns how long what is known of a topic may still be relied on.
func (d *Directory) untilTurn(t cwport.Topic) (time.Duration, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stale := d.Stale.ages(t).Stale
	switch {
	case d.source == fromStore:
		return 0, d.turned
	case d.source == fromNobody && t == cwport.Own:
		stale = firstLook
	}
	return stale - d.Clock.Since(d.topics[t].confirmed), d.turned
}
