package cwproof

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checked is a world whose members check the term of every order.
var checked = options{checksTerm: true, withoutTable: true, lag: 2 * time.Millisecond}

// needsTable is one in which a change also needs the table's claim.
var needsTable = options{checksTerm: true, lag: 2 * time.Millisecond}

// unchecked is one whose members obey anybody.
var unchecked = options{lag: 2 * time.Millisecond}

// Somebody's acknowledged record is gone, is there twice, is missing from his
// own list, or a request that was "not run" took effect. Whatever fails, in
// whatever order, none of that may happen; and once everything is healed the
// group serves again without anyone ordering it.
func TestNothingIsLostUnderAnyFaults(t *testing.T) {
	for name, o := range map[string]options{"without table": checked, "with table": needsTable} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(rapid.Uint64().Draw(t, "seed"), o)
				if broken := w.play(drawFaults(t, 6)); len(broken) > 0 {
					t.Fatalf("%s", strings.Join(broken, "\n"))
				}
			})
		})
	}
}

// Members that obey anybody, as long as no proxy pauses in the middle of an
// order: the table's claim, read back right before each order, keeps two
// changes apart.
func TestUncheckedMembersWithoutPauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), unchecked)
		faults := slices.DeleteFunc(drawFaults(t, 3), func(f fault) bool {
			return f.kind == pauseProxy || f.kind == killProxy || f.kind == freezeMember || f.kind == freezePrimary
		})
		if broken := w.play(faults); len(broken) > 0 {
			t.Fatalf("%s", strings.Join(broken, "\n"))
		}
	})
}
