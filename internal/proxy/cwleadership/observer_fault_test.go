package cwleadership

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// observerFault makes an instance a faulty observer.
type observerFault struct {
	name    string
	apply   func(p *play, in *playInstance)
	outcome cwevidence.Outcome
}

var observerFaults = []observerFault{
	{"killed", func(_ *play, in *playInstance) {
		in.setServe(func(context.Context, cwport.MembersRequest) (cwport.MembersResponse, error) {
			return cwport.MembersResponse{}, errUnavailable
		})
	}, cwevidence.NoAnswer},
	{"frozen", func(_ *play, in *playInstance) {
		in.setServe(func(ctx context.Context, _ cwport.MembersRequest) (cwport.MembersResponse, error) {
			<-ctx.Done()
			return cwport.MembersResponse{}, ctx.Err()
		})
	}, cwevidence.NoAnswer},
	{"cut off from the members", func(p *play, in *playInstance) {
		for i := range playDataCentres {
			p.members.Cut(in.name, string(memberOf(i)), true)
		}
	}, cwevidence.TooOld},
	{"of an older build", func(_ *play, in *playInstance) {
		in.setServe(func(context.Context, cwport.MembersRequest) (cwport.MembersResponse, error) {
			return cwport.MembersResponse{}, &cwport.UnsupportedMethodError{Method: "members"}
		})
	}, cwevidence.Unsupported},
	{"giving malformed answers", func(_ *play, in *playInstance) {
		in.setServe(func(context.Context, cwport.MembersRequest) (cwport.MembersResponse, error) {
			return cwport.MembersResponse{}, &cwport.InvalidAnswerError{Cause: errUnavailable}
		})
	}, cwevidence.Malformed},
	{"stating impossible times", func(_ *play, in *playInstance) {
		in.setServe(func(ctx context.Context, q cwport.MembersRequest) (cwport.MembersResponse, error) {
			r := in.ServeMembers(ctx, q)
			r.Held += time.Hour
			return r, nil
		})
	}, cwevidence.Malformed},
	{"not holding the group", func(_ *play, in *playInstance) { in.SetHeld(0, false) }, cwevidence.NotObserving},
}

// Guards against reads that are refused, and a lost primary that is replaced later, because
// observers are faulty. The observers of all data centres have the same fault.
func TestFaultyObserversDelayNothing(t *testing.T) {
	baseline := detectionTime(t, false, nil)
	for _, fault := range observerFaults {
		t.Run(fault.name, func(t *testing.T) {
			took := detectionTime(t, true, &fault)
			qt.Assert(t, took <= baseline+100*time.Millisecond, qt.IsTrue, qt.Commentf("%v, without observers %v", took, baseline))
		})
	}
}

// detectionTime returns the time from the loss of a primary until a member is promoted.
func detectionTime(t *testing.T, observed bool, fault *observerFault) (took time.Duration) {
	runPlay(t, observed, func(p *play) {
		if fault != nil {
			for n := range playDataCentres {
				fault.apply(p, p.holder(n))
			}
			p.checksDuring(2 * time.Second)
			p.mu.Lock()
			n := p.answers[fault.outcome]
			p.mu.Unlock()
			qt.Assert(t, n > 0, qt.IsTrue)
			for _, in := range p.instances[playDataCentres*playHolders:] {
				now := time.Now()
				_, err := in.PlaceRead(p.t.Context(), Read{ArrivedAt: now, MaxAge: 1500 * time.Millisecond}, now.Add(300*time.Millisecond))
				qt.Assert(t, err, qt.IsNil)
			}
		}
		p.cutMember("m0", -1, true)
		took = p.promotedAfter()
	})
	return took
}

// Guards against a slower change of primary with observers than without, and against
// instances that learn of it late.
func TestObserversDetectLostPrimaryAsFast(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(p *play)
	}{
		{"dead", func(p *play) { p.cutMember("m0", -1, true) }},
		{"unresponsive", func(p *play) { p.members.SetUnresponsive("m0", true, p.holder(0).cfg.Clock) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var took [2]time.Duration
			for i, observed := range []bool{true, false} {
				runPlay(t, observed, func(p *play) {
					tc.lose(p)
					took[i] = p.promotedAfter()
					time.Sleep(500 * time.Millisecond)
					qt.Assert(t, p.members.Promotions(), qt.HasLen, 1)
					p.assertPrimary(p.members.Primary())
				})
			}
			t.Logf("promoted after %v, without observers after %v", took[0], took[1])
			qt.Assert(t, took[0] <= took[1]+50*time.Millisecond, qt.IsTrue, qt.Commentf("%v, without observers %v", took[0], took[1]))
		})
	}
}

// Guards against instances of a data centre that was cut off and learn late that they reach
// the others again, because their checks are spaced.
func TestRecoveredPathIsNoticed(t *testing.T) {
	runPlay(t, true, func(p *play) {
		cut := func(cut bool) {
			p.cutMember("m0", 0, cut)
			for _, in := range p.instances {
				if in.centre == 0 {
					p.members.Cut("m1", in.name, cut)
					p.members.Cut("m2", in.name, cut)
				}
			}
		}
		cut(true)
		p.promotedAfter()
		time.Sleep(5 * time.Second)
		cut(false)
		time.Sleep(1200 * time.Millisecond)
		p.assertPrimary(p.members.Primary())
		qt.Assert(t, p.members.Primary(), qt.Not(qt.Equals), cwgroup.MemberID("m0"))
	})
}

// Guards against refusals for lack of information: an instance that takes over while the
// primary is lost and not yet replaced must serve bounded reads with what observers know.
func TestInstanceTakesOverWithKnowledge(t *testing.T) {
	runPlay(t, true, func(p *play) {
		p.table.setUnavailable(true)
		in := p.instances[len(p.instances)-1]
		late := p.newUser(in)
		defer late.Close()
		p.cutMember("m0", -1, true)
		p.members.Cut("late", "m0", true)
		time.Sleep(400 * time.Millisecond)
		late.AwaitReports(p.t.Context())
		now := time.Now()
		place, err := late.PlaceRead(p.t.Context(), Read{ArrivedAt: now, MaxAge: 1500 * time.Millisecond}, now)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, place.Evidence.CompleteAt.After(now.Add(-1500*time.Millisecond)), qt.IsTrue)
	})
}
