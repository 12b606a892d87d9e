package cwpeers

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// startFollower runs the Peers of an instance whose parent in the tree is another
// instance.
func startFollower(t *testing.T) (*qt.C, *Peers, *fakeNetwork, *clockwork.FakeClock) {
	var names []string
	var rows []cwport.Row
	for i := range 20 {
		names = append(names, fmt.Sprintf("front-%d", i))
		rows = append(rows, row(instance(names[i], "z")))
	}
	var self cwholder.Instance
	for _, name := range names {
		if _, ok := (cwfeed.DistributionTree{}).Parent(name, names); ok {
			self = instance(name, "z")
		}
	}
	n := &fakeNetwork{unresponsive: map[string]bool{}, rows: map[string][]byte{}, refused: map[string]bool{}}
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	p := &Peers{Self: self, Table: n, Dial: n.dial, Clock: clock, Log: log.New(io.Discard)}
	p.ApplyRows(rows, true)
	c := runPeers(t, p, clock)
	return c, p, n, clock
}

// awaitFeeder waits until there is a connected feeder and returns it.
func awaitFeeder(c *qt.C, p *Peers, clock *clockwork.FakeClock) cwport.Feeder {
	c.Helper()
	var f cwport.Feeder
	eventually(c, clock, func() bool {
		f, _ = p.Feeder()
		return f != nil
	})
	return f
}

func TestFeeder(t *testing.T) {
	t.Run("an instance without a row has none", func(t *testing.T) {
		c, p, _, _ := startFollower(t)
		p.ApplyRows([]cwport.Row{{Key: InstanceKey(p.Self), Removed: true}}, false)
		f, root := p.Feeder()
		c.Assert(f, qt.IsNil)
		c.Assert(root, qt.IsFalse)
	})
	t.Run("instances of other data centres are no feeders", func(t *testing.T) {
		c, p, _, _ := startFollower(t)
		rows := []cwport.Row{row(instance("far", "y"))}
		p.mu.Lock()
		for name := range p.placement.Instances() {
			if name != p.Self.ID {
				rows = append(rows, cwport.Row{Key: InstanceKey(instance(name, "z")), Removed: true})
			}
		}
		p.mu.Unlock()
		p.ApplyRows(rows, false)
		_, root := p.Feeder()
		c.Assert(root, qt.IsTrue)
	})
	t.Run("a feeder without a snapshot keeps its connection", func(t *testing.T) {
		c, p, n, clock := startFollower(t)
		first := awaitFeeder(c, p, clock)
		n.withLock(func() { n.changesErr = &cwport.NotLoadedError{} })
		_, err := first.ServeChanges(context.Background(), cwport.ChangesRequest{})
		c.Assert(err, qt.ErrorAs, new(*cwport.NotLoadedError))
		f, _ := p.Feeder()
		c.Assert(f.Name(), qt.Equals, first.Name())
	})
}

// Guards against a feeder that freezes while its row stays: the instance must find
// another feeder, and return to the first when it answers again. Otherwise all
// instances below it would ask the store.
func TestUnresponsiveFeederIsReplaced(t *testing.T) {
	c, p, n, clock := startFollower(t)
	first := awaitFeeder(c, p, clock)
	n.withLock(func() { n.unresponsive[first.Name()], n.refused[first.Name()] = true, true })
	ctx, cancel := context.WithCancel(context.Background())
	// The timeout of the request runs on real time.
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := first.ServeChanges(ctx, cwport.ChangesRequest{Wait: time.Hour})
	c.Assert(err, qt.ErrorAs, new(*cwport.NoResponseError))
	next, _ := p.Feeder()
	c.Assert(next == nil || next.Name() != first.Name(), qt.IsTrue, qt.Commentf("the frozen feeder is asked again"))
	eventually(c, clock, func() bool {
		f, root := p.Feeder()
		return root || f != nil && f.Name() != first.Name()
	})
	n.withLock(func() { n.unresponsive[first.Name()], n.refused[first.Name()] = false, false })
	eventually(c, clock, func() bool {
		f, _ := p.Feeder()
		return f != nil && f.Name() == first.Name()
	})
}

// Guards against a start at which each instance gives up its feeder while the answer is
// on its way.
func TestFirstAnswerHasLongerMargin(t *testing.T) {
	known := cwport.ChangesRequest{After: [cwport.TopicCount]cwfeed.Version{5, 5, 5}}
	qt.Assert(t, marginOf(known), qt.Equals, answerMargin)
	qt.Assert(t, marginOf(cwport.ChangesRequest{}), qt.Equals, firstAnswerMargin)
	known.After[cwport.TopicTargets] = cwport.SkipTopic
	qt.Assert(t, marginOf(known), qt.Equals, answerMargin)
	known.After[cwport.TopicOwn] = 0
	qt.Assert(t, marginOf(known), qt.Equals, firstAnswerMargin)
}
