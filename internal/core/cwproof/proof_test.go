package cwproof

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checked is a world whose members check the term of every order.
var checked = options{checksTerm: true, withoutTable: true, lag: 2 * time.Millisecond}

// Somebody's acknowledged record is gone, is there twice, is missing from his
// own list, or a request that was "not run" took effect. Whatever fails, in
// whatever order, none of that may happen; and once everything is healed the
// group serves again without anyone ordering it.
func TestNothingIsLostUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), checked)
		if broken := w.play(drawFaults(t, 6)); len(broken) > 0 {
			t.Fatalf("%s", strings.Join(broken, "\n"))
		}
	})
}
