package cwsimulation

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// withTermChecks configures members that check the term of every command. A failover
// does not need the table.
var withTermChecks = options{checksTerm: true, withoutTable: true, lag: 2 * time.Millisecond}

// withTable configures the same, but a failover also needs the claim in the table.
var withTable = options{checksTerm: true, lag: 2 * time.Millisecond}

// withoutTermChecks configures members that obey every command.
var withoutTermChecks = options{lag: 2 * time.Millisecond}

// Guards against violations of the guarantees under any sequence of faults: an
// acknowledged record is lost or exists twice, a caller does not see its own write, or a
// request that was answered as "not run" took effect. After all faults have ended, the
// group must recover without an operator.
func TestNothingIsLostUnderAnyFaults(t *testing.T) {
	t.Parallel()
	for name, o := range map[string]options{"without table": withTermChecks, "with table": withTable} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				sim := newSimulation(rapid.Uint64().Draw(t, "seed"), o)
				if violations := sim.runSchedule(drawFaults(t, 6)); len(violations) > 0 {
					t.Fatalf("%s", strings.Join(violations, "\n"))
				}
			})
		})
	}
}

// Guards against concurrent failovers of members that do not check terms. As long as no
// proxy pauses during a command, the claim in the table, which is read right before each
// command, prevents them.
func TestUncheckedMembersWithoutPauses(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), withoutTermChecks)
		faults := slices.DeleteFunc(drawFaults(t, 3), func(f fault) bool {
			return f.kind == pauseProxy || f.kind == killProxy || f.kind == freezeMember || f.kind == freezePrimary
		})
		if violations := sim.runSchedule(faults); len(violations) > 0 {
			t.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// whileMembersChange configures members that leave and come, before a table that every
// failover needs. Reads also take their floor from the members without the primary.
var whileMembersChange = options{checksTerm: true, lag: 2 * time.Millisecond, quorumReads: true}

// whileSynchronousMembersChange configures the same with a primary that waits for a replica.
var whileSynchronousMembersChange = options{checksTerm: true, lag: 2 * time.Millisecond, quorumReads: true, synchronous: true}

// Guards against violations while members leave and come: a record is acknowledged on
// account of one set of members, and a change of primary or a read relies on another set
// that lacks it, since members are replaced, cut off or receive nothing.
func TestNothingIsLostWhileMembersChange(t *testing.T) {
	t.Parallel()
	for name, o := range map[string]options{"asynchronous": whileMembersChange, "synchronous": whileSynchronousMembersChange} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				sim := newSimulation(rapid.Uint64().Draw(t, "seed"), o)
				if violations := sim.runSchedule(drawMembershipFaults(t, 4)); len(violations) > 0 {
					t.Fatalf("%s", strings.Join(violations, "\n"))
				}
			})
		})
	}
}
