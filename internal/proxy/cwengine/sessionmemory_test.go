package cwengine

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
)

const testMemoryLimit = 8 << 20

// guardedEngine starts an engine whose callers may hold testMemoryLimit bytes.
func guardedEngine(env *testEnv) (*Engine, *cwmemoryguard.Guard) {
	g := cwmemoryguard.New(testMemoryLimit, env.clock, log.New(io.Discard), metrics.NewSet())
	return env.engineWithConfig("x", func(cfg *Config) { cfg.Memory = g }), g
}

// setLong sets long values until one is not acknowledged, and returns how many were.
func setLong(tc *testCaller, verb cwstatement.Verb) int {
	for i := range 256 {
		st := cwstatement.Statement{ID: "s", Verb: verb, Name: fmt.Sprintf("n%d", i), Args: strings.Repeat("x", 100_000)}
		if tc.send(st).Code != cwstatement.OK {
			return i
		}
	}
	return 256
}

// Guards against a session whose values and prepared statements take the memory of all, and whose
// values are applied again to each connection of a database.
func TestSessionStateIsBounded(t *testing.T) {
	for verb, most := range map[cwstatement.Verb]int{cwstatement.Set: maxSettingBytes, cwstatement.Prepare: maxPreparedBytes} {
		t.Run(verb.String(), func(t *testing.T) {
			env := newTestEnv(t, cwcatalogue.ReadLatest)
			e, _ := guardedEngine(env)
			n := setLong(env.session(e), verb)
			env.c.Assert(n > 0 && n*100_000 <= most, qt.IsTrue, qt.Commentf("%d are kept", n))
		})
	}
}

// Guards against many sessions that take the memory of all with a little each, and against ordinary
// sessions that are refused beside them.
func TestOrdinarySessionIsServedBesideLargeOnes(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e, g := guardedEngine(env)
	for range 30 {
		setLong(env.session(e), cwstatement.Set)
	}
	held := g.Held(cwmemory.Session)
	env.c.Assert(held > testMemoryLimit/4 && held <= testMemoryLimit/2+30*cwmemory.Allowance, qt.IsTrue, qt.Commentf("%d bytes are held", held))
	ordinary := env.session(e)
	env.c.Assert(ordinary.send(cwstatement.Statement{ID: "s", Verb: cwstatement.Set, Name: "n", Args: strings.Repeat("x", 2000)}).Code, qt.Equals, cwstatement.OK)
	env.c.Assert(ordinary.ask(cwstatement.Write, "WRITE i "+strings.Repeat("x", 4000)).Code, qt.Equals, cwstatement.OK)
}

// Guards against a session that loses what was acknowledged in it when it has to give way.
func TestSessionThatGivesWayEnds(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e, g := guardedEngine(env)
	var large []*testCaller
	for range 30 {
		tc := env.session(e)
		setLong(tc, cwstatement.Set)
		large = append(large, tc)
	}
	medium := env.session(e)
	for ended := 0; ended == 0; {
		st := cwstatement.Statement{ID: "s", Verb: cwstatement.Set, Name: "n", Args: strings.Repeat("x", 200_000)}
		medium.send(st)
		time.Sleep(5 * time.Millisecond)
		for _, tc := range large {
			tc.mu.Lock()
			if tc.refusal != nil {
				env.c.Assert(tc.refusal.Code, qt.Equals, cwstatement.Aborted)
				ended++
			}
			tc.mu.Unlock()
		}
	}
	env.c.Assert(g.Held(cwmemory.Session) <= testMemoryLimit, qt.IsTrue)
}

// Guards against bytes that stay charged after their session has ended.
func TestEndedSessionsHoldNothing(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e, g := guardedEngine(env)
	for range 5 {
		tc := env.session(e)
		setLong(tc, cwstatement.Set)
		tc.ask(cwstatement.Write, "WRITE i v")
		_ = tc.Close()
	}
	for began := time.Now(); e.SessionCount() > 0 || heldBytes(g) > 0; time.Sleep(time.Millisecond) {
		env.c.Assert(time.Since(began) < 10*time.Second, qt.IsTrue, qt.Commentf("%d bytes are held", heldBytes(g)))
	}
}

// heldBytes returns what all holders hold.
func heldBytes(g *cwmemoryguard.Guard) int64 {
	var n int64
	for _, k := range cwmemory.Kinds() {
		n += g.Held(k)
	}
	return n
}
