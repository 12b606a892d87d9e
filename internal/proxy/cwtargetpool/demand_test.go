package cwtargetpool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
)

// Guards against a share that stays in force after the holder that caused it has died,
// and against statements that wait for good because of it.
func TestShareBoundsStatementsInProgress(t *testing.T) {
	p, _, _, clock := newPool(t)
	admit := func() Admission {
		t.Helper()
		a, err := p.Admit(Urgency{Deadline: clock.Now().Add(time.Minute), Workspace: "north"})
		qt.Assert(t, err, qt.IsNil)
		return a
	}
	assertShare := func(want int, divided bool) {
		t.Helper()
		n, ok := p.SlotShare()
		qt.Assert(t, ok, qt.Equals, divided)
		qt.Assert(t, n, qt.Equals, want)
	}
	assertShare(0, false)
	first := admit()
	busy := cwlimit.Demand{Running: 5, Waiting: map[int]int{0: 100}}
	p.RecordDemand("a", "b", busy, clock.Now())
	assertShare(1, true)

	late := make(chan Admission)
	go func() { late <- admit() }()
	for p.Load().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, p.Demand(), qt.DeepEquals, cwlimit.Demand{Running: 1, Waiting: map[int]int{0: 1}})
	clock.Advance(cwlimit.DemandMaxAge + time.Millisecond)
	third := admit()
	second := <-late
	assertShare(0, false)
	qt.Assert(t, p.Load().InFlight, qt.Equals, 3)

	p.RecordDemand("a", "b", busy, clock.Now())
	first.Done()
	second.DoneUnmeasured()
	third.Done()
	qt.Assert(t, p.Load().InFlight, qt.Equals, 0)
	admit().Done()
}

// Guards against a statement that waits although slots are free: when the reports of the
// other holders expire and no statement begins or ends here, the regular reading of the
// demand must end the division.
func TestExpiredShareAdmitsWaitingStatements(t *testing.T) {
	p, _, _, clock := newPool(t)
	urgency := Urgency{Deadline: clock.Now().Add(time.Minute)}
	first, err := p.Admit(urgency)
	qt.Assert(t, err, qt.IsNil)
	p.RecordDemand("a", "b", cwlimit.Demand{Running: 5, Waiting: map[int]int{0: 100}}, clock.Now())
	admitted := make(chan Admission, 1)
	go func() {
		a, _ := p.Admit(urgency)
		admitted <- a
	}()
	for p.Load().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.Advance(cwlimit.DemandMaxAge + time.Millisecond)
	qt.Assert(t, p.Demand(), qt.DeepEquals, cwlimit.Demand{Running: 2})
	second := <-admitted
	second.Done()
	first.Done()
}
