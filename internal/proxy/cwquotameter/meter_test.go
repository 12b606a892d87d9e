package cwquotameter

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
	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

var errUnresponsive = errors.New("no answer from the issuer")

// fakeIssuers implements cwport.QuotaIssuers for one workspace, and counts the
// requests to each issuer by name.
type fakeIssuers struct {
	local, remote []cwport.QuotaIssuer
	asked         map[string]int
	listing       cwquota.Listing
}

func (f *fakeIssuers) QuotaIssuers(_ string, remote bool) []cwport.QuotaIssuer {
	if remote {
		return f.remote
	}
	return f.local
}

func (f *fakeIssuers) QuotaListing(string) cwquota.Listing { return f.listing }

// issuer returns an issuer that always gives the same answer.
func (f *fakeIssuers) issuer(name string, v cwport.QuotaDecision, err error) cwport.QuotaIssuer {
	return cwport.QuotaIssuer{Name: name, Remote: &fakeRemote{issuers: f, name: name, answer: v, err: err}}
}

// fakeRemote is an issuer that always gives the same answer.
type fakeRemote struct {
	issuers *fakeIssuers
	name    string
	answer  cwport.QuotaDecision
	err     error
	// last is the last request, and returned the grants that were returned.
	last     cwport.QuotaRequest
	returned chan cwport.QuotaGrant
}

func (r *fakeRemote) AskQuota(_ context.Context, q cwport.QuotaRequest) (cwport.QuotaDecision, error) {
	r.issuers.asked[r.name]++
	r.last = q
	return r.answer, r.err
}

func (r *fakeRemote) ReturnQuota(_ context.Context, _ string, g cwport.QuotaGrant) error {
	r.returned <- g
	return r.err
}

const workspace = "north"

var operation = cwport.QuotaRequest{Workspace: workspace}

func newMeter(f *fakeIssuers) (*Meter, *clockwork.FakeClock) {
	f.asked = make(map[string]int)
	clock := clockwork.NewFakeClock()
	m := &Meter{
		Tolerance: cwcatalogue.QuotaTolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		Issuers:   f, Clock: clock, Log: log.New(io.Discard), DataCentres: 1,
		QuotaOf: func(w string) (cwcatalogue.Quota, bool) {
			return cwcatalogue.Quota{Rate: 100, Burst: 100}, w == workspace
		},
	}
	m.Start()
	return m, clock
}

var (
	allowed = cwport.QuotaDecision{Allowed: true}
	spent   = cwport.QuotaDecision{RetryAfter: 300 * time.Millisecond}
)

func TestTake(t *testing.T) {
	t.Run("the first issuer that has quota left", func(t *testing.T) {
		f := &fakeIssuers{}
		m, _ := newMeter(f)
		f.local = []cwport.QuotaIssuer{f.issuer("a", spent, nil), f.issuer("b", allowed, nil)}
		f.remote = []cwport.QuotaIssuer{f.issuer("c", allowed, nil)}
		qt.Assert(t, m.Take(operation).Allowed, qt.IsTrue)
		qt.Assert(t, f.asked, qt.DeepEquals, map[string]int{"a": 1, "b": 1})
	})
	t.Run("an issuer of another data centre if the local ones have none left", func(t *testing.T) {
		f := &fakeIssuers{}
		m, _ := newMeter(f)
		f.local = []cwport.QuotaIssuer{f.issuer("a", spent, nil)}
		f.remote = []cwport.QuotaIssuer{f.issuer("c", allowed, nil)}
		qt.Assert(t, m.Take(operation).Allowed, qt.IsTrue)
	})
	t.Run("this instance as issuer", func(t *testing.T) {
		f := &fakeIssuers{local: []cwport.QuotaIssuer{{Name: "self"}}}
		m, clock := newMeter(f)
		clock.Advance(time.Minute)
		qt.Assert(t, m.Take(operation).Allowed, qt.IsTrue)
	})
}

// Guards against asking all issuers again that have no quota left. When a workspace
// sent ten times its quota, each refused operation asked every issuer of every data
// centre in vain, and callers of other workspaces waited for the busy instances. Each
// operation makes one request, for its place in the order of retries.
func TestExhaustedQuotaIsNotRequestedAgain(t *testing.T) {
	f := &fakeIssuers{}
	m, clock := newMeter(f)
	f.local, f.remote = []cwport.QuotaIssuer{f.issuer("a", spent, nil)}, []cwport.QuotaIssuer{f.issuer("c", spent, nil)}
	const operations = 100
	for range operations {
		v := m.Take(operation)
		qt.Assert(t, v.Allowed || v.Unknown, qt.IsFalse)
		qt.Assert(t, v.RetryAfter, qt.Equals, spent.RetryAfter)
	}
	qt.Assert(t, f.asked, qt.DeepEquals, map[string]int{"a": 1 + operations, "c": 1})
	clock.Advance(spent.RetryAfter)
	m.Take(operation)
	qt.Assert(t, f.asked, qt.DeepEquals, map[string]int{"a": 1 + operations + 2, "c": 2})
}

// Guards against waiting for a frozen issuer with each operation of the workspace
// before the next issuer is asked.
func TestUnresponsiveIssuerIsNotAskedAgainAtOnce(t *testing.T) {
	f := &fakeIssuers{}
	m, clock := newMeter(f)
	f.local = []cwport.QuotaIssuer{f.issuer("a", cwport.QuotaDecision{}, errUnresponsive), f.issuer("b", allowed, nil)}
	for range 10 {
		qt.Assert(t, m.Take(operation).Allowed, qt.IsTrue)
	}
	qt.Assert(t, f.asked, qt.DeepEquals, map[string]int{"a": 1, "b": 10})
	clock.Advance(unresponsivePause)
	m.Take(operation)
	qt.Assert(t, f.asked["a"], qt.Equals, 2)
}

// If no issuer can be asked, the operation waits for a connection for a moment and
// is then refused, because otherwise the quota would not be kept.
func TestUnknownQuotaIsRefused(t *testing.T) {
	f := &fakeIssuers{}
	m, clock := newMeter(f)
	decision := make(chan cwport.QuotaDecision, 1)
	go func() { decision <- m.Take(operation) }()
	for {
		select {
		case v := <-decision:
			qt.Assert(t, v, qt.Equals, cwport.QuotaDecision{Unknown: true, RetryAfter: unknownRetryAfter})
			return
		default:
			clock.Advance(connectPollInterval)
		}
	}
}

func TestIssueQuota(t *testing.T) {
	f := &fakeIssuers{}
	m, clock := newMeter(f)
	qt.Assert(t, m.IssueQuota(cwport.QuotaRequest{Workspace: "nobody"}).Unknown, qt.IsTrue)
	clock.Advance(time.Minute)
	n := 0
	for m.IssueQuota(operation).Allowed {
		n++
	}
	// This is one of two shards: half of the burst of 100, of the overage of 10 (0.1 of
	// the burst), and of three quarters of the slack of 20.
	qt.Assert(t, n, qt.Equals, 62)
	v := m.IssueQuota(operation)
	qt.Assert(t, v.RetryAfter > 0 && v.RetryAfter <= 20*time.Millisecond, qt.IsTrue)
}
