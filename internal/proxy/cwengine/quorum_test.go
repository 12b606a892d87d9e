package cwengine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

var readRules = []cwcatalogue.ReadRule{cwcatalogue.ReadNewest, cwcatalogue.ReadAged, cwcatalogue.ReadOwnWrites}

// lostPrimary is a caller's session at an instance whose group has lost its
// primary while the table is away, so that nobody may replace it.
func lostPrimary(t *testing.T, rule cwcatalogue.ReadRule) (*world, *Engine, *testCaller) {
	w := newWorld(t, rule)
	e := w.engine("x")
	w.settled(e)
	s := w.session(e)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	w.table.mu.Lock()
	w.table.away = true
	w.table.mu.Unlock()
	return w, e, s
}

// A primary is lost while the platform's store is away. Supervisors who look up a
// hire are refused for as long as that lasts, though two members that have it are
// there and nobody can have written since.
func TestReadsGoOnWithoutAPrimary(t *testing.T) {
	for _, rule := range readRules {
		t.Run(string(rule), func(t *testing.T) {
			w, _, s := lostPrimary(t, rule)
			w.group.Cut("x", "a", true)
			w.clock.Sleep(2 * w.entry.Contract.MaxAge)
			reads(w.c, s.ask(cwstatement.Read, "READ i"), "1")
			succeeds(w.c, s.ask(cwstatement.BeginRead, "BEGIN READ"))
			reads(w.c, s.ask(cwstatement.Read, "READ i"), "1")
			succeeds(w.c, s.ask(cwstatement.Commit, "COMMIT"))
			promises(w.c, s.ask(cwstatement.Write, "WRITE i 2"))
			w.c.Assert(w.group.Promotions(), qt.HasLen, 0)
		})
	}
}

// A booking was acknowledged on the word of one replica, the other one has not
// received it, and the primary is lost. A read that goes to the other one misses
// the booking.
func TestReadWithoutAPrimaryMissesNothing(t *testing.T) {
	for _, rule := range readRules {
		t.Run(string(rule), func(t *testing.T) {
			w, _, s := lostPrimary(t, rule)
			w.group.SetDeaf("b", true)
			succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 2"))
			w.group.Cut("x", "a", true)
			w.clock.Sleep(2 * w.entry.Contract.MaxAge)
			for range 10 {
				reads(w.c, s.ask(cwstatement.Read, "READ i"), "2")
			}
		})
	}
}

// The primary and the replica with the newest booking are lost together. Nobody
// can tell whether the last member has everything, and a read there is refused at
// once.
func TestReadWithoutAQuorumIsRefused(t *testing.T) {
	w, e, s := lostPrimary(t, cwcatalogue.ReadNewest)
	w.group.SetDeaf("b", true)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 2"))
	w.group.Cut("x", "a", true)
	w.group.Cut("x", "c", true)
	w.clock.Sleep(2 * time.Second)
	promises(w.c, w.session(e).offer(cwstatement.Read, "READ i"))
}
