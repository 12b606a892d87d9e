package cwdirectory

import (
	"context"
	"errors"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// poll is where the questions to the store about one topic stand.
type poll struct {
	topic cwport.Topic
	// fresh is true if the next answer is a snapshot; historyLost is true if that is so
	// because changes were missed.
	fresh, historyLost bool
	// away is true while the store does not answer; pause is the next wait.
	away  bool
	pause time.Duration
	// lapsed is true if entries may have lapsed that no answer has shown yet.
	lapsed bool
}

// loop asks the store about one topic whenever it is this instance's turn.
func (d *Directory) loop(ctx context.Context, t cwport.Topic) error {
	p := &poll{topic: t, fresh: true, pause: retryMin}
	for d.awaitTurn(ctx, t, p.fresh && d.read(t)) {
		if p.fresh && !p.historyLost && d.read(t) {
			// A feeder has told the first rows.
			p.fresh = false
			continue
		}
		b, confirmed, err := d.ask(ctx, p)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			d.unanswered(ctx, p, err)
			continue
		}
		if !d.answered(ctx, p, b) {
			continue
		}
		d.take(t, b, p.fresh, confirmed)
		p.fresh, p.historyLost = false, false
		if b.Changed() {
			d.sleep(ctx, settle(t))
		}
	}
	return nil
}

// unanswered notes a question without an answer, and waits before the next.
func (d *Directory) unanswered(ctx context.Context, p *poll, err error) {
	var history *cwport.HistoryError
	if errors.As(err, &history) {
		d.Log.Warn("historyLost", "topic", p.topic, "after", history.After)
		p.fresh, p.historyLost = true, true
		// A store that drops its history again and again is not asked in a busy
		// loop.
		d.sleep(ctx, retryMin)
		return
	}
	if !p.away {
		d.Log.Warn("storeLost", "topic", p.topic, "cause", err)
	}
	d.setAway(p.topic, true)
	p.lapsed = p.lapsed || p.topic == cwport.Targets && !d.read(p.topic)
	d.awaitStore(ctx, p)
	p.away = true
	p.pause = min(p.pause*2, retryMax)
}

// answered notes an answer, and reports whether it counts.
//
// The failure: an instance starts while the store is away. With the store's
// return it reads a list without the members of a group whose entries lapsed
// meanwhile and are not back yet; two of three members count as all of them, one
// alone as a majority, and a read is served by a member that lacks what the
// missing two acknowledged. Nobody else knows what this instance has never seen,
// so the list is read anew once entries have had the time to come back.
func (d *Directory) answered(ctx context.Context, p *poll, b cwport.Batch) bool {
	if p.away {
		d.Log.Info("storeRegained", "topic", p.topic, "version", b.Version)
	}
	d.setAway(p.topic, false)
	p.away, p.pause = false, retryMin
	if p.lapsed {
		d.Log.Info("targetsAwaited", "listed", len(b.Listed), "waitMs", MinGoneAfter.Milliseconds())
		d.sleep(ctx, MinGoneAfter)
		p.lapsed = false
		return false
	}
	if p.topic == cwport.Targets {
		d.awaitRemembered(ctx)
	}
	return true
}

// ask asks for a snapshot or for changes, and tells when the store certainly had
// nothing more than the answer.
//
// The failure: the store comes back just after a long question was sent into
// its silence, and the instance notices only once that has timed out. While the
// store is away questions are therefore short.
func (d *Directory) ask(ctx context.Context, p *poll) (cwport.Batch, time.Time, error) {
	t, sent := p.topic, d.Clock.Now()
	inc(d.Counts.StoreQuestions)
	if p.fresh {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		b, err := d.Source.Snapshot(ctx, t)
		return b, sent, err
	}
	wait, timeout := d.wait(t), d.wait(t)+pollSlack
	if p.away || wait == 0 {
		wait, timeout = 0, awayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	after := d.after(t)
	if !d.beginPoll(t, after, cancel) {
		return cwport.Batch{}, time.Time{}, &cwport.HistoryError{After: after}
	}
	b, err := d.Source.Changes(ctx, t, after, wait)
	if d.pollEnded(t, after) && err != nil {
		err = &cwport.HistoryError{After: after}
	}
	answer := cwfeed.StoreAnswer{Sent: sent, Answered: d.Clock.Now(), Wait: wait, News: b.Changed()}
	return b, answer.Confirmed(), err
}

func (d *Directory) read(t cwport.Topic) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.topics[t].read
}

func (d *Directory) after(t cwport.Topic) cwfeed.Version {
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
	case d.source != fromStore && !d.older:
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
func (d *Directory) awaitStore(ctx context.Context, p *poll) {
	t, pause, first := p.topic, p.pause, !p.away
	follower := d.newsSource() != fromStore && !p.fresh
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
