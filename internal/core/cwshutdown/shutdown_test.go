package cwshutdown

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const grace = 6 * time.Second

func TestNext(t *testing.T) {
	const busy = 3
	for _, tc := range []struct {
		name  string
		after Step
		state State
		want  Step
	}{
		{"nothing is closed before the load balancer has noticed", Notify, State{Elapsed: 2 * time.Second}, Notify},
		{"idle sessions are ended then", Notify, State{Elapsed: 2500 * time.Millisecond, Open: busy}, CloseIdle},
		{"callers that go on coming are served", CloseIdle, State{Elapsed: 3 * time.Second, Open: busy}, CloseIdle},
		{"nothing is open", CloseIdle, State{Elapsed: 3 * time.Second}, Refuse},
		{"late callers are refused", CloseIdle, State{Elapsed: 3600 * time.Millisecond, Open: busy}, Refuse},
		{"statements in progress go on", Refuse, State{Elapsed: 4 * time.Second, Open: busy}, Refuse},
		{"nothing is open while new callers are refused", Refuse, State{Elapsed: 4 * time.Second}, Answer},
		{"the time for statements is over", Refuse, State{Elapsed: 5 * time.Second, Open: busy}, Answer},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, NewPlan(grace).Next(tc.after, tc.state), qt.Equals, tc.want)
		})
	}
}

func TestStepsInAnyCourse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := NewPlan(time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(rt, "grace")))
		step, refused, elapsed := Notify, false, time.Duration(0)
		for step != Answer {
			elapsed += time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(p.answer)).Draw(rt, "later"))
			s := State{Elapsed: elapsed, Open: rapid.IntRange(0, 2).Draw(rt, "open")}
			next := p.Next(step, s)
			if next < step {
				rt.Fatalf("%v after %v", next, step)
			}
			if next == Answer && !refused && elapsed < p.answer {
				rt.Fatalf("the last step begins at %v, before new callers were refused", elapsed)
			}
			step, refused = next, refused || next == Refuse
		}
		if elapsed >= p.answer+p.answer {
			rt.Fatalf("the stop took %v", elapsed)
		}
	})
}
