package cwleadership

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// setServe replaces what the holders in a data centre answer to requests for reports. f gets
// the holder and its request.
func (p *play) setServe(centre int, f func(ctx context.Context, in *playInstance, q cwport.MembersRequest) (cwport.MembersResponse, error)) {
	for _, h := range p.instances[:playDataCentres*playHolders] {
		if h.centre == centre {
			h.setServe(func(ctx context.Context, q cwport.MembersRequest) (cwport.MembersResponse, error) {
				return f(ctx, h, q)
			})
		}
	}
}

// serveOldest answers with reports that are nearly as old as the request permits.
func serveOldest(ctx context.Context, in *playInstance, q cwport.MembersRequest) (cwport.MembersResponse, error) {
	r := in.ServeMembers(ctx, q)
	older := max(0, q.MaxAge-10*time.Millisecond)
	r.Primary.Age += older
	for i := range r.Primary.Log {
		r.Primary.Log[i].Age += older
	}
	for i := range r.Reports {
		r.Reports[i].Age += older
	}
	return r, nil
}

// serveNothing doesn't answer.
func serveNothing(ctx context.Context, _ *playInstance, _ cwport.MembersRequest) (cwport.MembersResponse, error) {
	<-ctx.Done()
	return cwport.MembersResponse{}, ctx.Err()
}

// Guards against a read that is held until its deadline because a request for older reports
// was sent just before it arrived.
func TestReadAsksAgainAfterRequestForOlderReports(t *testing.T) {
	runPlay(t, true, func(p *play) {
		user := p.newUser(p.instances[len(p.instances)-1])
		defer user.Close()
		p.setServe(user.centre, serveOldest)
		user.AwaitReports(p.t.Context())
		time.Sleep(time.Second)
		user.requestConfirmation(10*time.Second, false)
		now := time.Now()
		place, err := user.PlaceRead(p.t.Context(), Read{ArrivedAt: now, MaxAge: 100 * time.Millisecond}, now.Add(300*time.Millisecond))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, place.Evidence.CompleteAt.Before(now.Add(-100*time.Millisecond)), qt.IsFalse)
	})
}

// Guards against a read that waits for a silent observer because the inquiry in progress
// began without a read that waits.
func TestWaitingReadHedgesInquiryInProgress(t *testing.T) {
	runPlay(t, true, func(p *play) {
		user := p.newUser(p.instances[len(p.instances)-1])
		defer user.Close()
		user.AwaitReports(p.t.Context())
		time.Sleep(2 * time.Second)
		p.setServe(user.centre, serveNothing)
		user.requestConfirmation(Lease, false)
		time.Sleep(confirmInterval)
		now := time.Now()
		_, err := user.ConfirmedPrimary(p.t.Context(), now, now.Add(60*time.Millisecond))
		qt.Assert(t, err, qt.IsNil)
	})
}
