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

// Guards against followers that leave out what their feeders tell after a restore.
func TestRestoreReachesEveryInstance(t *testing.T) {
	run(t, fleetSize, func(c *qt.C, fl *fleet) {
		for range 50 {
			fl.store.put(cwport.Targets, "a", false)
		}
		time.Sleep(10 * time.Second)
		for range 2 {
			fl.store.restore(c)
			took := fl.change(c)
			c.Assert(took < configBound, qt.IsTrue, qt.Commentf("in force after %v", took))
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

// Guards against questions without a pause to a store that has an older desired state.
func TestStoreWithAnOlderDesiredStateIsAskedByFew(t *testing.T) {
	run(t, fleetSize, func(c *qt.C, fl *fleet) {
		fl.store.restore(c)
		time.Sleep(20 * time.Second)
		before := fl.store.count()
		time.Sleep(20 * time.Second)
		perSecond := float64(fl.store.count()-before) / 20
		c.Assert(perSecond <= 18, qt.IsTrue, qt.Commentf("%.1f calls a second", perSecond))
		took := fl.change(c)
		c.Assert(took < configBound, qt.IsTrue, qt.Commentf("in force after %v", took))
	})
}

// restoredSource is a store that came back from an older copy while questions were
// on their way. It answers about the desired state, and holds the other questions.
type restoredSource struct {
	restored  atomic.Bool
	snapshots atomic.Int64
}

func (s *restoredSource) version() cwfeed.Version {
	if !s.restored.Load() {
		return 40
	}
	v, err := cwfeed.At(1, 3)
	if err != nil {
		panic(err)
	}
	return v
}

func (s *restoredSource) Snapshot(_ context.Context, t cwport.Topic) (cwport.Batch, error) {
	if t == cwport.Own {
		s.snapshots.Add(1)
	}
	return cwport.Batch{Version: s.version()}, nil
}

func (s *restoredSource) Changes(ctx context.Context, t cwport.Topic, after cwfeed.Version, wait time.Duration) (cwport.Batch, error) {
	if t != cwport.Desired {
		<-ctx.Done()
		return cwport.Batch{}, ctx.Err()
	}
	if after.Era() != s.version().Era() {
		return cwport.Batch{}, &cwport.HistoryError{After: after}
	}
	select {
	case <-time.After(min(wait, 100*time.Millisecond)):
	case <-ctx.Done():
	}
	return cwport.Batch{Version: s.version()}, ctx.Err()
}

// Guards against seconds with rows that a restore has lost, for as long as a question waits.
func TestRestoreEndsQuestionsThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &restoredSource{}
		runAlone(t, &Directory{Source: src, Sink: &sink{}}, func(c *qt.C) {
			time.Sleep(time.Second)
			c.Assert(src.snapshots.Load(), qt.Equals, int64(1))
			src.restored.Store(true)
			time.Sleep(time.Second)
			c.Assert(src.snapshots.Load(), qt.Equals, int64(2))
		})
	})
}

// Guards against keys that are trusted by answers that were left out as older.
func TestAnswerThatIsLeftOutConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	d := &Directory{Sink: &sink{}, Decoder: decoder{}, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard)}
	d.prepare()
	at := time.Unix(1000, 0)
	later := at.Add(time.Minute)
	d.take(cwport.Desired, cwport.Batch{Version: 9}, true, at)
	d.take(cwport.Desired, cwport.Batch{Version: 8}, true, later)
	c.Assert(d.Confirmed(), qt.Equals, at)
	d.take(cwport.Desired, cwport.Batch{Version: 8}, false, later)
	c.Assert(d.Confirmed(), qt.Equals, at)
	d.take(cwport.Desired, cwport.Batch{Version: 9}, true, later)
	c.Assert(d.Confirmed(), qt.Equals, later)
}
