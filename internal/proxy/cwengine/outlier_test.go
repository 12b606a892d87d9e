package cwengine

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwoutlier"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// faultyDialer opens connections to a group of which one member has a fault.
type faultyDialer struct {
	cwport.Dialer
	member cwgroup.MemberID
	// receive returns the answer to a statement instead of c; health that to a health
	// check. A nil function changes nothing.
	receive func(c cwport.TargetConn) (cwstatement.Response, error)
	health  func() error

	mu     sync.Mutex
	active bool
}

func (d *faultyDialer) setActive(active bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active = active
}

func (d *faultyDialer) isActive() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active
}

func (d *faultyDialer) Dial(ctx context.Context, to cwport.Endpoint, workspace string) (cwport.TargetConn, error) {
	c, err := d.Dialer.Dial(ctx, to, workspace)
	if err != nil || to.ID != d.member {
		return c, err
	}
	return &faultyConn{TargetConn: c, dialer: d}, nil
}

type faultyConn struct {
	cwport.TargetConn
	dialer *faultyDialer
}

func (c *faultyConn) Receive() (cwstatement.Response, error) {
	if c.dialer.receive == nil || !c.dialer.isActive() {
		return c.TargetConn.Receive()
	}
	return c.dialer.receive(c.TargetConn)
}

func (c *faultyConn) Health() (cwstatement.Health, error) {
	if c.dialer.health != nil && c.dialer.isActive() {
		if err := c.dialer.health(); err != nil {
			return cwstatement.Health{}, err
		}
	}
	return c.TargetConn.Health()
}

// reasonOf returns why the engine has ejected a member.
func reasonOf(e *Engine, id cwgroup.MemberID) cwoutlier.Reason {
	g, _ := e.Group(testService)
	return g.EjectionReason(id)
}

// failing answers every statement with an error.
func failing(c cwport.TargetConn) (cwstatement.Response, error) {
	a, err := c.Receive()
	a.Code, a.Rows = cwstatement.RunFailed, nil
	return a, err
}

// losing closes the connection instead of an answer.
func losing(cwport.TargetConn) (cwstatement.Response, error) {
	return cwstatement.Response{}, io.EOF
}

// Guards against reads that keep going to a member that fails them or loses the answers
// while its health checks succeed, and against a member that stays ejected when it is
// well again.
func TestOutlierGetsNoReads(t *testing.T) {
	for _, tc := range []struct {
		name    string
		receive func(c cwport.TargetConn) (cwstatement.Response, error)
		reason  cwoutlier.Reason
	}{
		{"errors", failing, cwoutlier.Errors},
		{"lost answers", losing, cwoutlier.Errors},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnv(t, cwcatalogue.ReadBoundedStaleness)
			env.entry.Contract.Aim = 500 * time.Millisecond
			d := &faultyDialer{member: "b", receive: tc.receive}
			env.wrapDialer = func(inner cwport.Dialer) cwport.Dialer { d.Dialer = inner; return d }
			e := env.engine("x")
			env.waitForPrimary(e)
			stop := env.keepReading(e, 12)
			defer stop()
			env.clock.Sleep(time.Second)
			env.c.Assert(reasonOf(e, "b"), qt.Equals, cwoutlier.Reason(""))
			d.setActive(true)
			env.eventually("b is ejected", func() bool { return reasonOf(e, "b") == tc.reason })
			d.setActive(false)
			env.c.Assert(env.group.Promotions(), qt.HasLen, 0)
			env.eventually("b is readmitted", func() bool { return reasonOf(e, "b") == "" })
		})
	}
}

// Guards against a primary that stays in place although it loses its answers, while its
// health checks succeed and its replicas are well, and against more than one change for that reason.
func TestOutlierPrimaryIsReplaced(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadBoundedStaleness)
	d := &faultyDialer{member: "a", receive: losing}
	env.wrapDialer = func(inner cwport.Dialer) cwport.Dialer { d.Dialer = inner; return d }
	e := env.engine("x")
	env.waitForPrimary(e)
	env.clock.Advance(outlierChangeInterval)
	env.waitForPrimary(e)
	defer env.keepReading(e, 12)()
	env.keepWriting(e)
	env.clock.Sleep(time.Second)
	d.setActive(true)
	env.eventually("a is replaced", func() bool { return env.group.Primary() != "a" })
	env.clock.Sleep(5 * time.Second)
	env.c.Assert(env.group.Promotions(), qt.HasLen, 1)
}

// outlierChangeInterval is the time for which a primary leads before it is replaced for
// being an outlier.
const outlierChangeInterval = 30 * time.Second

// Guards against the loss of a replica that serves although its health checks fail.
func TestMemberWithBadHealthServes(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadBoundedStaleness)
	d := &faultyDialer{member: "b", health: func() error { return context.DeadlineExceeded }}
	env.wrapDialer = func(inner cwport.Dialer) cwport.Dialer { d.Dialer = inner; return d }
	e := env.engine("x")
	env.waitForPrimary(e)
	defer env.keepReading(e, 12)()
	env.clock.Sleep(time.Second)
	d.setActive(true)
	g, _ := e.Group(testService)
	g.Probe("b")
	env.eventually("b is ejected", func() bool { return reasonOf(e, "b") == cwoutlier.BadHealth })
	env.eventually("b is readmitted", func() bool { return reasonOf(e, "b") == "" })
}

// keepReading reads in n sessions until the returned function is called.
func (env *testEnv) keepReading(e *Engine, n int) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range n {
		s := env.session(e)
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					s.tryAsk(cwstatement.Read, "READ i")
					env.clock.Sleep(60 * time.Millisecond)
				}
			}
		})
	}
	return func() { close(stop); wg.Wait() }
}
