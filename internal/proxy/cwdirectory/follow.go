package cwdirectory

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Times of following another instance.
const (
	// feederStep is how often an instance without a feeder looks for one, and startStep
	// the same while it knows nothing yet.
	feederStep = 100 * time.Millisecond
	startStep  = 10 * time.Millisecond
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
	// placeWait is how long a start waits for a place in the tree, and feedWait how long
	// then for the first rows of a feeder, which may be starting, too, until the store
	// is asked for them.
	placeWait = 6 * time.Second
	feedWait  = 4 * time.Second
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
			d.sleep(ctx, d.lookPause())
		default:
			d.notePlaced()
			d.follow(ctx, f)
		}
	}
	return nil
}

// lookPause returns the pause until the next look for a feeder.
func (d *Directory) lookPause() time.Duration {
	if d.read(cwport.Desired) {
		return feederStep
	}
	return startStep
}

// notePlaced notes that this instance has a feeder.
func (d *Directory) notePlaced() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.placed {
		d.placed = true
		d.startsAt = d.Clock.Now().Add(feedWait)
	}
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
	changed, missing := false, false
	for _, t := range takeOrder {
		tn := n.Topics[t]
		answer := cwfeed.FeederAnswer{Sent: sent, Held: n.Held, Age: tn.Age}
		if !d.read(t) && !d.takesFirst(t, n, answer) {
			missing = true
			continue
		}
		d.take(t, d.Decoder.Decode(t, tn.Version, tn.Rows), tn.Whole, answer.Confirmed())
		changed = changed || len(tn.Rows) > 0
	}
	switch {
	case missing:
		// What was not taken would be told again at once.
		d.sleep(ctx, feederRetry)
	case changed:
		d.sleep(ctx, ownSettle)
	}
}

// takeOrder is the order in which topics of one answer are taken: who belongs to the
// groups is remembered in the product's own rows, and counts with the first targets.
var takeOrder = [...]cwport.Topic{cwport.Desired, cwport.Own, cwport.Targets}

// takesFirst reports whether the first rows of a topic are taken from a feeder. They are
// what an instance knows that read them from the store when the feeder's were confirmed,
// and heard nothing since; so they may be no older than what it relies on.
//
// The load it answers: hundreds of instances start at once, and each reads the whole list
// of targets and all rows of the product from the store, some megabytes.
func (d *Directory) takesFirst(t cwport.Topic, n cwport.News, a cwfeed.FeederAnswer) bool {
	if t == cwport.Targets && !d.read(cwport.Own) {
		return false
	}
	if t == cwport.Targets && n.TargetsUnsettled {
		// The failure: the feeder counts members whose entries are missing, and cannot
		// tell them. Who has never seen them takes two of three members for the group.
		d.noteUnsettled(t)
		return false
	}
	return n.Topics[t].Whole && !d.Stale.ages(t).IsStale(a.Confirmed(), d.Clock.Now())
}

// noteUnsettled has the store be asked for the first rows of a topic, and no feeder for a
// while.
func (d *Directory) noteUnsettled(t cwport.Topic) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.topics[t].unsettled = d.Clock.Now()
	close(d.turned)
	d.turned = make(chan struct{})
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
		if s := &d.topics[t]; !s.read && d.Clock.Since(s.unsettled) < MinGoneAfter {
			// The failure: an instance that the store turns away since its start asks
			// its feeder in a busy loop, which always has all rows of the topic for
			// it. They do not count here, so none are asked for.
			q.After[t] = cwport.NotAsked
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
	s := &d.topics[t]
	switch {
	case d.source == fromStore || !s.read && !s.unsettled.IsZero():
		return 0, d.turned
	case !s.read:
		return d.startsAt.Sub(d.Clock.Now()), d.turned
	case d.source == fromNobody && t == cwport.Own:
		stale = firstLook
	}
	return stale - d.Clock.Since(d.topics[t].confirmed), d.turned
}
