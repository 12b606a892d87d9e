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
		w := newTestEnv(t, cwcatalogue.ReadOwnWrites)
		e := New(Config{Clock: w.clock})
		got := make(chan cwstatement.Answer, 1)
		go func() { got <- e.admit(cwport.Startup{Database: "no such database"}) }()
		w.clock.Sleep(catalogueWait / 2)
		qt.Assert(t, len(got), qt.Equals, 0, qt.Commentf("the catalogue is not known yet"))
		close(e.catalogueLoaded)
		a := <-got
		qt.Assert(t, a.Code, qt.Equals, cwstatement.NoDatabase)
	})
	t.Run("it does not come", func(t *testing.T) {
		w := newTestEnv(t, cwcatalogue.ReadOwnWrites)
		e := New(Config{Clock: w.clock})
		began := w.clock.Now()
		a := e.admit(cwport.Startup{Database: testDatabase})
		qt.Assert(t, a.Code.Promises(), qt.IsTrue, qt.Commentf("%v", a))
		qt.Assert(t, a.Detail, qt.Contains, "retryAfterMs=")
		qt.Assert(t, w.clock.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("callers give up after two seconds"))
	})
	t.Run("a session opens", func(t *testing.T) {
		w := newTestEnv(t, cwcatalogue.ReadOwnWrites)
		e := w.engine("front-1")
		w.waitForPrimary(e)
		qt.Assert(t, e.admit(cwport.Startup{Database: testDatabase}).Code, qt.Equals, cwstatement.OK)
	})
}
