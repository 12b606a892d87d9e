package cwdirectory

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Guards against followers that ignore the answers of their feeders as outdated after a
// restore of the store.
func TestRestoreReachesEveryInstance(t *testing.T) {
	runFleet(t, fleetSize, func(c *qt.C, fl *fleet) {
		for range 50 {
			fl.store.put(cwport.TopicTargets, "a", false)
		}
		time.Sleep(10 * time.Second)
		for range 2 {
			fl.store.restore(c)
			took := fl.changeDesired(c)
			c.Assert(took < maxConfigDelay, qt.IsTrue, qt.Commentf("in force after %v", took))
		}
		before := fl.store.count()
		time.Sleep(time.Minute)
		calls := fl.store.count() - before
		c.Assert(calls <= 120, qt.IsTrue, qt.Commentf("%d calls in a minute", calls))
		for _, name := range fl.names {
			c.Assert(fl.dirs[name].Era(), qt.Equals, uint64(2), qt.Commentf("%s", name))
		}
	})
}

// Guards against requests without a pause to a store that was restored to an older desired
// state.
func TestStoreBehindIsPolledByFew(t *testing.T) {
	runFleet(t, fleetSize, func(c *qt.C, fl *fleet) {
		fl.store.restore(c)
		time.Sleep(20 * time.Second)
		before := fl.store.count()
		time.Sleep(20 * time.Second)
		perSecond := float64(fl.store.count()-before) / 20
		c.Assert(perSecond <= 18, qt.IsTrue, qt.Commentf("%.1f calls a second", perSecond))
		took := fl.changeDesired(c)
		c.Assert(took < maxConfigDelay, qt.IsTrue, qt.Commentf("in force after %v", took))
	})
}

// restoredSource is a store that is restored from an older copy while requests are in
// progress. It answers requests for changes of the desired state, and holds those for the
// other topics.
type restoredSource struct {
	restored  atomic.Bool
	snapshots atomic.Int64
}

func (s *restoredSource) version() cwfeed.Version {
	if !s.restored.Load() {
		return 40
	}
	v, err := cwfeed.NewVersion(1, 3)
	if err != nil {
		panic(err)
	}
	return v
}

func (s *restoredSource) Snapshot(_ context.Context, t cwport.Topic) (cwport.Batch, error) {
	if t == cwport.TopicOwn {
		s.snapshots.Add(1)
	}
	return cwport.Batch{Version: s.version()}, nil
}

func (s *restoredSource) Changes(ctx context.Context, t cwport.Topic, after cwfeed.Version, wait time.Duration) (cwport.Batch, error) {
	if t != cwport.TopicDesired {
		<-ctx.Done()
		return cwport.Batch{}, ctx.Err()
	}
	if after.Era() != s.version().Era() {
		return cwport.Batch{}, &cwport.ChangesLostError{After: after}
	}
	select {
	case <-time.After(min(wait, 100*time.Millisecond)):
	case <-ctx.Done():
	}
	return cwport.Batch{Version: s.version()}, ctx.Err()
}

// Guards against instances that keep rows which a restore has lost until a long poll for
// them ends.
func TestRestoreCancelsLongPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &restoredSource{}
		runOne(t, &Directory{Source: src, Sink: &fakeSink{}}, func(c *qt.C) {
			time.Sleep(time.Second)
			c.Assert(src.snapshots.Load(), qt.Equals, int64(1))
			src.restored.Store(true)
			time.Sleep(time.Second)
			c.Assert(src.snapshots.Load(), qt.Equals, int64(2))
		})
	})
}

// Guards against trusting API keys on the strength of answers that were ignored as
// outdated.
func TestIgnoredAnswerConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	d := &Directory{Sink: &fakeSink{}, Decoder: decoder{}, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard)}
	d.initState()
	at := time.Unix(1000, 0)
	newer := at.Add(time.Minute)
	d.applyBatch(cwport.TopicDesired, cwport.Batch{Version: 9}, true, at)
	d.applyBatch(cwport.TopicDesired, cwport.Batch{Version: 8}, true, newer)
	c.Assert(d.Confirmed(), qt.Equals, at)
	d.applyBatch(cwport.TopicDesired, cwport.Batch{Version: 8}, false, newer)
	c.Assert(d.Confirmed(), qt.Equals, at)
	d.applyBatch(cwport.TopicDesired, cwport.Batch{Version: 9}, true, newer)
	c.Assert(d.Confirmed(), qt.Equals, newer)
}
