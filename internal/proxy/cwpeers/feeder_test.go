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

// startFollower runs the peers of an instance that asks another one for news.
func startFollower(t *testing.T) (*qt.C, *Peers, *network, *clockwork.FakeClock) {
	var names []string
	var rows []cwport.Row
	for i := range 20 {
		names = append(names, fmt.Sprintf("front-%d", i))
		rows = append(rows, row(instance(names[i], "z")))
	}
	var self cwholder.Instance
	for _, name := range names {
		if _, ok := (cwfeed.Tree{}).Parent(name, names); ok {
			self = instance(name, "z")
		}
	}
	n := &network{silent: map[string]bool{}, rows: map[string][]byte{}, refused: map[string]bool{}}
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	p := &Peers{Self: self, Table: n, Dial: n.dial, Clock: clock, Log: log.New(io.Discard)}
	p.Rows(rows, true)
	c := runPeers(t, p, clock)
	return c, p, n, clock
}

// feederOf waits until there is an instance to ask.
func feederOf(c *qt.C, p *Peers, clock *clockwork.FakeClock) cwport.Feeder {
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
		p.Rows([]cwport.Row{{Key: KeyOf(p.Self), Removed: true}}, false)
		f, root := p.Feeder()
		c.Assert(f, qt.IsNil)
		c.Assert(root, qt.IsFalse)
	})
	t.Run("instances of other data centres are none", func(t *testing.T) {
		c, p, _, _ := startFollower(t)
		rows := []cwport.Row{row(instance("far", "y"))}
		p.mu.Lock()
		for name := range p.placement.Instances() {
			if name != p.Self.ID {
				rows = append(rows, cwport.Row{Key: KeyOf(instance(name, "z")), Removed: true})
			}
		}
		p.mu.Unlock()
		p.Rows(rows, false)
		_, root := p.Feeder()
		c.Assert(root, qt.IsTrue)
	})
	t.Run("one that has nothing to tell keeps its connection", func(t *testing.T) {
		c, p, n, clock := startFollower(t)
		first := feederOf(c, p, clock)
		n.set(func() { n.newsErr = &cwport.NoNewsError{} })
		_, err := first.TellNews(context.Background(), cwport.NewsQuestion{})
		c.Assert(err, qt.ErrorAs, new(*cwport.NoNewsError))
		f, _ := p.Feeder()
		c.Assert(f.Name(), qt.Equals, first.Name())
	})
}

// The instance that tells this one the news freezes, and its row stays. This one
// must find another, and come back to the first when it lives again; all
// instances below it would ask the store otherwise.
func TestSilentFeederIsReplaced(t *testing.T) {
	c, p, n, clock := startFollower(t)
	first := feederOf(c, p, clock)
	n.set(func() { n.silent[first.Name()], n.refused[first.Name()] = true, true })
	ctx, cancel := context.WithCancel(context.Background())
	// The wait for an answer runs on real time.
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := first.TellNews(ctx, cwport.NewsQuestion{Wait: time.Hour})
	c.Assert(err, qt.ErrorAs, new(*cwport.LostError))
	again, _ := p.Feeder()
	c.Assert(again == nil || again.Name() != first.Name(), qt.IsTrue, qt.Commentf("it is asked once more"))
	eventually(c, clock, func() bool {
		f, root := p.Feeder()
		return root || f != nil && f.Name() != first.Name()
	})
	n.set(func() { n.silent[first.Name()], n.refused[first.Name()] = false, false })
	eventually(c, clock, func() bool {
		f, _ := p.Feeder()
		return f != nil && f.Name() == first.Name()
	})
}

// Guards against starts at which each feeder is given up with its answer on the way.
func TestFirstNewsMayTakeLonger(t *testing.T) {
	known := cwport.NewsQuestion{After: [cwport.TopicCount]cwfeed.Version{5, 5, 5}}
	qt.Assert(t, slackOf(known), qt.Equals, newsSlack)
	qt.Assert(t, slackOf(cwport.NewsQuestion{}), qt.Equals, firstSlack)
	known.After[cwport.Targets] = cwport.NotAsked
	qt.Assert(t, slackOf(known), qt.Equals, newsSlack)
	known.After[cwport.Own] = 0
	qt.Assert(t, slackOf(known), qt.Equals, firstSlack)
}
