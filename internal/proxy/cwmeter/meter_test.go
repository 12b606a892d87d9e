package cwmeter

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

var errSilent = errors.New("silent")

// fleet is some issuers of the quota of one workspace.
type fleet struct {
	near, far []cwport.QuotaIssuer
	asked     map[string]int
}

func (f *fleet) QuotaIssuers(_ string, far bool) []cwport.QuotaIssuer {
	if far {
		return f.far
	}
	return f.near
}

// issuer returns an issuer that answers as told.
func (f *fleet) issuer(name string, v cwport.Verdict, err error) cwport.QuotaIssuer {
	return cwport.QuotaIssuer{Name: name, Ask: func(context.Context, string) (cwport.Verdict, error) {
		f.asked[name]++
		return v, err
	}}
}

const workspace = "north"

func newMeter(f *fleet) (*Meter, *clockwork.FakeClock) {
	f.asked = make(map[string]int)
	clock := clockwork.NewFakeClock()
	m := &Meter{
		Rule:  cwcatalogue.QuotaTolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		Peers: f, Clock: clock, Log: log.New(io.Discard), DataCentres: 1,
		Quota: func(w string) (cwcatalogue.Quota, bool) {
			return cwcatalogue.Quota{Rate: 100, Burst: 100}, w == workspace
		},
	}
	m.Start()
	return m, clock
}

var (
	allowed = cwport.Verdict{Allowed: true}
	spent   = cwport.Verdict{RetryAfter: 300 * time.Millisecond}
)

func TestTake(t *testing.T) {
	t.Run("the first issuer that has quota left", func(t *testing.T) {
		f := &fleet{}
		m, _ := newMeter(f)
		f.near = []cwport.QuotaIssuer{f.issuer("a", spent, nil), f.issuer("b", allowed, nil)}
		f.far = []cwport.QuotaIssuer{f.issuer("c", allowed, nil)}
		qt.Assert(t, m.Take(workspace).Allowed, qt.IsTrue)
		qt.Assert(t, f.asked, qt.DeepEquals, map[string]int{"a": 1, "b": 1})
	})
	t.Run("another data centre's, where the own is spent", func(t *testing.T) {
		f := &fleet{}
		m, _ := newMeter(f)
		f.near = []cwport.QuotaIssuer{f.issuer("a", spent, nil)}
		f.far = []cwport.QuotaIssuer{f.issuer("c", allowed, nil)}
		qt.Assert(t, m.Take(workspace).Allowed, qt.IsTrue)
	})
	t.Run("its own", func(t *testing.T) {
		f := &fleet{near: []cwport.QuotaIssuer{{Name: "self"}}}
		m, clock := newMeter(f)
		clock.Advance(time.Minute)
		qt.Assert(t, m.Take(workspace).Allowed, qt.IsTrue)
	})
}

// A workspace sends ten times its quota. Each operation that is refused asked
// every issuer of every data centre in vain, and callers of other workspaces
// waited for instances that did little else.
func TestSpentQuotaIsNotAskedForAgain(t *testing.T) {
	f := &fleet{}
	m, clock := newMeter(f)
	f.near, f.far = []cwport.QuotaIssuer{f.issuer("a", spent, nil)}, []cwport.QuotaIssuer{f.issuer("c", spent, nil)}
	for range 100 {
		v := m.Take(workspace)
		qt.Assert(t, v.Allowed || v.Unknown, qt.IsFalse)
		qt.Assert(t, v.RetryAfter, qt.Equals, spent.RetryAfter)
	}
	qt.Assert(t, f.asked, qt.DeepEquals, map[string]int{"a": 1, "c": 1})
	clock.Advance(spent.RetryAfter)
	m.Take(workspace)
	qt.Assert(t, f.asked["a"], qt.Equals, 2)
}

// The issuer of a quota freezes. Each operation of the workspace waited for it
// anew before it asked the next one.
func TestSilentIssuerIsLeftAlone(t *testing.T) {
	f := &fleet{}
	m, clock := newMeter(f)
	f.near = []cwport.QuotaIssuer{f.issuer("a", cwport.Verdict{}, errSilent), f.issuer("b", allowed, nil)}
	for range 10 {
		qt.Assert(t, m.Take(workspace).Allowed, qt.IsTrue)
	}
	qt.Assert(t, f.asked, qt.DeepEquals, map[string]int{"a": 1, "b": 10})
	clock.Advance(silentFor)
	m.Take(workspace)
	qt.Assert(t, f.asked["a"], qt.Equals, 2)
}

// Nobody can be asked: the operation waits for a connection for a moment and is
// refused then, since nobody else would keep the sum.
func TestUnknownQuotaIsRefused(t *testing.T) {
	f := &fleet{}
	m, clock := newMeter(f)
	got := make(chan cwport.Verdict, 1)
	go func() { got <- m.Take(workspace) }()
	for {
		select {
		case v := <-got:
			qt.Assert(t, v, qt.Equals, cwport.Verdict{Unknown: true, RetryAfter: unknownRetry})
			return
		default:
			clock.Advance(patienceStep)
		}
	}
}

func TestTellQuota(t *testing.T) {
	f := &fleet{}
	m, clock := newMeter(f)
	qt.Assert(t, m.TellQuota("nobody").Unknown, qt.IsTrue)
	clock.Advance(time.Minute)
	n := 0
	for m.TellQuota(workspace).Allowed {
		n++
	}
	// One of two shards: half of the burst of 100 with its overage of 10 and of
	// three quarters of the slack of 20.
	qt.Assert(t, n, qt.Equals, 62)
	v := m.TellQuota(workspace)
	qt.Assert(t, v.RetryAfter > 0 && v.RetryAfter <= 20*time.Millisecond, qt.IsTrue)
}
