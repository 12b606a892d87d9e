package cwpeers

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Guards against a first request to an observer that fails because it is not connected,
// and against instances of one data centre that ask different observers.
func TestObserversAreConnectedOnRequest(t *testing.T) {
	runManyGroups(t, func(w manyGroupsTest) {
		var near, all []string
		for _, o := range w.Observers("g", manyGroupsCapacity) {
			all = append(all, o.Name)
			if !o.Remote {
				near = append(near, o.Name)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			r, err := o.Ask(ctx, cwport.MembersRequest{Group: "g"})
			cancel()
			w.Assert(err, qt.IsNil)
			w.Assert(r.Observes, qt.IsTrue)
		}
		var wantNear []string
		for _, h := range w.holders {
			if h.DataCentre == w.Self.DataCentre {
				wantNear = append(wantNear, h.ID)
			}
		}
		w.Assert(near, qt.DeepEquals, wantNear)
		w.Assert(all[:len(near)], qt.DeepEquals, near)
		w.Assert(all, qt.HasLen, len(w.holders))
	})
}

// Guards against an instance that asks itself, because its row has another address until it
// has registered.
func TestInstanceIsNotItsOwnObserver(t *testing.T) {
	self := instance("a", "dc")
	before := self
	before.Address = "10.0.0.2:1"
	p := &Peers{Self: self, Clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), Log: log.New(io.Discard)}
	p.ApplyRows([]cwport.Row{row(before)}, true)
	list := p.Observers("g", manyGroupsCapacity)
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Ask == nil, qt.IsTrue)
}
