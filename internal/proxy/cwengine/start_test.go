package cwengine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Guards against callers that connect right after a restart and are told that their database
// does not exist. The instance had not read its catalogue yet, and callers took the answer as
// final.
func TestCallersWaitForTheFirstCatalogue(t *testing.T) {
	t.Run("it comes", func(t *testing.T) {
		env := newTestEnv(t, cwcatalogue.ReadYourWrites)
		e := New(Config{Clock: env.clock})
		got := make(chan cwstatement.Response, 1)
		go func() { got <- e.admit(cwport.Startup{Database: "no such database"}) }()
		env.clock.Sleep(catalogueWait / 2)
		qt.Assert(t, len(got), qt.Equals, 0, qt.Commentf("the catalogue is not known yet"))
		close(e.catalogueLoaded)
		a := <-got
		qt.Assert(t, a.Code, qt.Equals, cwstatement.NoDatabase)
	})
	t.Run("it does not come", func(t *testing.T) {
		env := newTestEnv(t, cwcatalogue.ReadYourWrites)
		e := New(Config{Clock: env.clock})
		began := env.clock.Now()
		a := e.admit(cwport.Startup{Database: testDatabase})
		qt.Assert(t, a.Code.NoEffect(), qt.IsTrue, qt.Commentf("%v", a))
		qt.Assert(t, a.Detail, qt.Contains, "retryAfterMs=")
		qt.Assert(t, env.clock.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("callers give up after two seconds"))
	})
	t.Run("a session opens", func(t *testing.T) {
		env := newTestEnv(t, cwcatalogue.ReadYourWrites)
		e := env.engine("front-1")
		env.waitForPrimary(e)
		qt.Assert(t, e.admit(cwport.Startup{Database: testDatabase}).Code, qt.Equals, cwstatement.OK)
	})
}
