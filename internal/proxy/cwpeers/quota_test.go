package cwpeers

import (
	"context"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Guards against refused operations because no quota issuer of another data centre is
// connected yet.
func TestRemoteQuotaIssuersWaitForConnection(t *testing.T) {
	runManyGroups(t, func(w manyGroupsTest) {
		issuers := w.QuotaIssuers("north", true)
		w.Assert(issuers, qt.HasLen, 3*cwholder.MinPerDataCentre)
		for _, i := range issuers {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			v, err := i.Remote.AskQuota(ctx, cwport.QuotaRequest{Workspace: "north"})
			cancel()
			w.Assert(err, qt.IsNil)
			w.Assert(v.Allowed, qt.IsTrue)
		}
	})
	t.Run("those that cannot be connected are left out", func(t *testing.T) {
		runManyGroups(t, func(w manyGroupsTest) {
			w.net.withLock(func() {
				for name := range w.placement.Instances() {
					w.net.refused[name] = true
				}
			})
			w.QuotaIssuers("north", true)
			time.Sleep(time.Millisecond)
			w.Assert(w.QuotaIssuers("north", true), qt.HasLen, 0)
		})
	})
}

// Guards against an instance that believes that it kept a shard all the time although
// another one may have kept it before: when it is new, or when another one is removed.
func TestQuotaListing(t *testing.T) {
	self, other := instance("a", "z"), instance("b", "z")
	start := func(registered bool) (*Peers, *clockwork.FakeClock) {
		clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
		n := newRowTable()
		if registered {
			n.rows[InstanceKey(self)] = row(self).Value
		}
		p := &Peers{Self: self, Table: n, Clock: clock, Log: log.New(io.Discard)}
		qt.Assert(t, p.QuotaListing("north").Known, qt.IsFalse)
		instances, err := p.readDataCentre(t.Context())
		qt.Assert(t, err, qt.IsNil)
		p.setDataCentreInstances(append(instances, self))
		return p, clock
	}
	t.Run("restart", func(t *testing.T) {
		p, _ := start(true)
		l := p.QuotaListing("north")
		qt.Assert(t, l.GainedAt, qt.Equals, time.Time{})
		qt.Assert(t, l.Known && l.Issuer, qt.IsTrue)
	})
	t.Run("new instance", func(t *testing.T) {
		p, clock := start(false)
		qt.Assert(t, p.QuotaListing("north").GainedAt, qt.Equals, clock.Now())
	})
	t.Run("changes of the list", func(t *testing.T) {
		p, clock := start(true)
		clock.Advance(time.Second)
		p.ApplyRows([]cwport.Row{row(self), row(other), row(instance("c", "y"))}, true)
		added := clock.Now()
		clock.Advance(time.Second)
		removed := row(other)
		removed.Removed = true
		p.ApplyRows([]cwport.Row{removed}, false)
		l := p.QuotaListing("north")
		qt.Assert(t, l.AddedAt, qt.Equals, added)
		qt.Assert(t, l.GainedAt, qt.Equals, clock.Now())
		clock.Advance(time.Second)
		p.ApplyRows([]cwport.Row{row(instance("d", "y"))}, false)
		qt.Assert(t, p.QuotaListing("north"), qt.Equals, l)
	})
	t.Run("shard of others", func(t *testing.T) {
		p, _ := start(true)
		p.ApplyRows([]cwport.Row{row(self), row(other), row(instance("c", "z")), row(instance("d", "z"))}, true)
		issuers := 0
		for n := range 100 {
			if p.QuotaListing("workspace " + strconv.Itoa(n)).Issuer {
				issuers++
			}
		}
		qt.Assert(t, issuers > 30 && issuers < 70, qt.IsTrue, qt.Commentf("%d", issuers))
	})
}
