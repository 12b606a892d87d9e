package cwdirectory

import (
	"context"
	"errors"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// loop asks the store about one topic whenever it is this instance's turn.
//
// The failure: an instance starts while the store is away. With the store's
// return it reads a list without the members of a group whose entries lapsed
// meanwhile and are not back yet; two of three members count as all of them, one
// alone as a majority, and a read is served by a member that lacks what the
// missing two acknowledged. Nobody else knows what this instance has never seen,
// so the list counts once entries have had the time to come back.
func (d *Directory) loop(ctx context.Context, t cwport.Topic) error {
	fresh, away := true, false
	// lapsed is true if entries may have lapsed that no answer has shown yet.
	lapsed := false
	pause := retryMin
	for d.awaitTurn(ctx, t, fresh) {
		b, confirmed, err := d.ask(ctx, t, fresh, away)
		var history *cwport.HistoryError
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.As(err, &history):
			d.Log.Warn("historyLost", "topic", t, "after", history.After)
			fresh = true
			// A store that drops its history again and again is not asked in a
			// busy loop.
			d.sleep(ctx, retryMin)
			continue
		case err != nil:
			if !away {
				d.Log.Warn("storeLost", "topic", t, "cause", err)
			}
			d.setAway(t, true)
			lapsed = lapsed || t == cwport.Targets && !d.read(t)
			d.awaitStore(ctx, t, pause, !away, fresh)
			away = true
			pause = min(pause*2, retryMax)
			continue
		}
		if away {
			d.Log.Info("storeRegained", "topic", t, "version", b.Version)
		}
		d.setAway(t, false)
		away, pause = false, retryMin
		if lapsed {
			d.Log.Info("targetsAwaited", "listed", len(b.Listed), "waitMs", MinGoneAfter.Milliseconds())
			d.sleep(ctx, MinGoneAfter)
			lapsed = false
			continue
		}
		if t == cwport.Targets && !d.awaitRemembered(ctx) {
			return nil
		}
		d.take(t, b, fresh, confirmed)
		fresh = false
		if b.Changed() {
			d.sleep(ctx, settle(t))
		}
	}
	return nil
}

// ask asks for a snapshot or for changes, and tells when the store certainly had
// nothing more than the answer.
//
// The failure: the store comes back just after a long question was sent into
// its silence, and the instance notices only once that has timed out. While the
// store is away questions are therefore short.
func (d *Directory) ask(ctx context.Context, t cwport.Topic, fresh, away bool) (cwport.Batch, time.Time, error) {
	sent := d.Clock.Now()
	inc(d.Counts.StoreQuestions)
	if fresh {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		b, err := d.Source.Snapshot(ctx, t)
		return b, sent, err
	}
	wait, timeout := d.wait(t), d.wait(t)+pollSlack
	if away || wait == 0 {
		wait, timeout = 0, awayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	b, err := d.Source.Changes(ctx, t, d.after(t), wait)
	answer := cwfeed.StoreAnswer{Sent: sent, Answered: d.Clock.Now(), Wait: wait, News: b.Changed()}
	return b, answer.Confirmed(), err
}

func (d *Directory) read(t cwport.Topic) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.topics[t].read
}

func (d *Directory) after(t cwport.Topic) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.topics[t].after
}

// wait is how long the store may hold a question about a topic.
func (d *Directory) wait(t cwport.Topic) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := [cwport.TopicCount]time.Duration{cwport.Desired: d.Waits.Desired, cwport.Targets: d.Waits.Targets, cwport.Own: ownWait}[t]
	switch {
	case d.source != fromStore:
		// A feeder is expected to tell again.
		return 0
	case t == cwport.Targets && len(d.vanished) > 0:
		// Whether an entry stays away is known from an answer after MinGoneAfter.
		return min(own, MinGoneAfter)
	case d.Clock.Since(d.askedAt) < 2*d.Stale.ages(cwport.Desired).FollowWait():
		return min(own, d.Stale.ages(t).AskWait())
	}
	return own
}

// awaitStore waits before a topic asks a store that did not answer once more.
//
// The failure: a store that turns instances away is asked by each for every
// topic, twice a second; these calls are refused and counted, and take from what
// all instances may make. Only one topic asks often, the others wait for it; and
// an instance that has a feeder hears of the store's return from it. Nobody tells
// one that has not read its snapshot yet.
func (d *Directory) awaitStore(ctx context.Context, t cwport.Topic, pause time.Duration, first, fresh bool) {
	follower := d.newsSource() != fromStore && !fresh
	switch {
	case t == cwport.Desired && follower && !first:
		pause = followerRetry
	case t != cwport.Desired && follower:
		pause = ownStale
	case t != cwport.Desired && !first:
		pause = awayPause
	}
	var back <-chan struct{}
	if t != cwport.Desired && !first {
		back = d.storeBack()
	}
	select {
	case <-back:
	case <-d.Clock.After(pause):
	case <-ctx.Done():
	}
}

// storeBack returns a channel that is closed with the next confirmation of the
// desired state, by the store or by a feeder.
func (d *Directory) storeBack() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.back == nil {
		d.back = make(chan struct{})
	}
	return d.back
}
