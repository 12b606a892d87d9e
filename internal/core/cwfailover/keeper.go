package cwfailover

import (
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Times of one change of primary.
const (
	// ClaimLife is how long a claim may be worked on, by its holder's monotonic
	// clock, and how long others leave it alone, by theirs.
	ClaimLife = 2 * time.Second
	// TablePatience is how long a keeper waits for the table before it goes on
	// without, where the entry allows that.
	TablePatience = 300 * time.Millisecond
	// FencePatience is how long a keeper waits for members after a majority has
	// adopted the term, in case a more advanced one is about to answer.
	FencePatience = 50 * time.Millisecond
	// RecheckLife is how long after the claim was read back an order may be
	// sent to a member that does not check terms.
	RecheckLife = 200 * time.Millisecond
)

// Phase is how far a keeper has come.
type Phase uint8

// The phases, in order.
const (
	Claiming Phase = iota
	Fencing
	Promoting
	Settling
	Done
	Abandoned
)

// String names the phase.
func (p Phase) String() string {
	return [...]string{"claiming", "fencing", "promoting", "settling", "done", "abandoned"}[p]
}

// Reason says why a keeper gave up.
type Reason string

// The reasons for giving up.
const (
	ReasonNone       Reason = ""
	ReasonClaimed    Reason = "another proxy holds the claim"
	ReasonTable      Reason = "the table is away and this entry does not allow a change without it"
	ReasonHigherTerm Reason = "a member has adopted a later term"
	ReasonMajority   Reason = "no majority of the members answered"
	ReasonExpired    Reason = "the claim ran out, perhaps while this proxy was paused"
	ReasonPromote    Reason = "the member to be promoted did not answer"
	ReasonRestarted  Reason = "a member has started again since it was fenced"
)

// NextTerm returns the term that a change of primary would move to.
func NextTerm(v cwgroup.View) cwgroup.Term { return v.Highest() + 1 }

// Keeper carries out one plan. Make one with NewKeeper.
type Keeper struct {
	plan  Plan
	phase Phase
	why   Reason
	// started is when Start was called; nothing is sent after
	// started+ClaimLife.
	started time.Time
	// fenced holds the answers of the members that adopted the term.
	fenced map[cwgroup.MemberID]cwgroup.Status
	// majorityAt is when a majority had adopted the term.
	majorityAt time.Time
	refused    map[cwgroup.MemberID]bool
	primary    cwgroup.MemberID
	// replaced is the newest term in which a fenced member was.
	replaced cwgroup.Term
	// tableClaim is true once the table confirmed the claim.
	tableClaim bool
	// waiting holds orders that are sent once the claim was read back, or once the
	// promotion was announced; announcing is true for the latter.
	waiting    []Order
	announcing bool
	// later holds the orders to adopt that follow the leaving primary's answer.
	later   []Order
	rowDone bool
	follows int
}

// NewKeeper returns a keeper that has not started.
func NewKeeper(p Plan) *Keeper {
	return &Keeper{
		plan:    p,
		fenced:  make(map[cwgroup.MemberID]cwgroup.Status),
		refused: make(map[cwgroup.MemberID]bool),
	}
}

// Phase returns how far the keeper has come.
func (k *Keeper) Phase() Phase { return k.phase }

// Reason returns why the keeper gave up.
func (k *Keeper) Reason() Reason { return k.why }

// Primary returns the member that was chosen, once there is one.
func (k *Keeper) Primary() cwgroup.MemberID { return k.primary }

// Plan returns the keeper's plan.
func (k *Keeper) Plan() Plan { return k.plan }

// Ended reports whether the keeper has nothing more to do.
func (k *Keeper) Ended() bool { return k.phase == Done || k.phase == Abandoned }

// Start begins with the claim.
func (k *Keeper) Start(now time.Time) []Order {
	k.started = now
	return []Order{k.order(ClaimRow, "")}
}

// Tick lets time pass: it ends waits whose time has come.
func (k *Keeper) Tick(now time.Time) []Order {
	if k.expired(now) {
		return nil
	}
	switch k.phase {
	case Claiming:
		if now.Sub(k.started) >= TablePatience && k.mayGoOnWithoutTable() {
			return k.fence()
		}
	case Fencing:
		if k.fenceOver(now) {
			return k.promote()
		}
	}
	return nil
}

// Handle takes the answer to an order and returns the next orders.
func (k *Keeper) Handle(ev Event, now time.Time) []Order {
	if k.expired(now) {
		return nil
	}
	switch ev.Kind {
	case ClaimRow:
		return k.claimAnswered(ev.Row)
	case ReadRow:
		if k.announcing {
			return nil
		}
		return k.rowRead(ev.Row, now)
	case AnnounceRow:
		return k.announced(ev.Row, now)
	case Adopt:
		return k.adopted(ev, now)
	case Promote:
		return k.promoted(ev)
	case Follow:
		return k.followed()
	case RecordRow:
		k.rowDone = true
		k.finish()
	}
	return nil
}

// expired ends a keeper whose claim ran out.
//
// The failure: a keeper is paused in the middle, another proxy takes over and
// finishes, the first one wakes and goes on. It would show as a second change
// of primary, or, at members that do not check terms, as two primaries. The
// monotonic clock went on during the pause, so the keeper finds its claim too
// old before it sends anything.
func (k *Keeper) expired(now time.Time) bool {
	if k.Ended() {
		return true
	}
	if now.Sub(k.started) < ClaimLife {
		return false
	}
	if k.phase == Settling {
		// The primary is promoted; what is left is repaired by reconciliation.
		k.phase = Done
		return true
	}
	k.abandon(ReasonExpired)
	return true
}

func (k *Keeper) abandon(why Reason) {
	k.phase, k.why = Abandoned, why
}

func (k *Keeper) order(kind OrderKind, m cwgroup.MemberID) Order {
	return Order{
		Kind:     kind,
		Member:   m,
		Term:     k.plan.Term,
		Claim:    k.plan.Claim,
		Primary:  k.primary,
		Replaced: max(k.replaced, k.plan.Replaces),
		Members:  k.plan.Settled,
		NotAfter: k.started.Add(ClaimLife),
	}
}

// mayGoOnWithoutTable reports whether the members alone make the claim unique.
// Each member adopts a term for one claim only, so two claims for one term
// cannot both find a majority; terms and positions are the groups' own.
func (k *Keeper) mayGoOnWithoutTable() bool {
	return k.plan.ChecksTerm && k.plan.WithoutTable
}

func (k *Keeper) claimAnswered(o RowOutcome) []Order {
	if k.phase != Claiming {
		k.tableClaim = k.tableClaim || o == RowDone
		return nil
	}
	switch o {
	case RowDone:
		k.tableClaim = true
		return k.fence()
	case RowConflict:
		k.abandon(ReasonClaimed)
	case RowUnknown:
		// Never repeat blindly: the change may have taken effect. Read back.
		return []Order{k.order(ReadRow, "")}
	case RowUnavailable:
		if k.mayGoOnWithoutTable() {
			return k.fence()
		}
		k.abandon(ReasonTable)
	}
	return nil
}

func (k *Keeper) rowRead(o RowOutcome, now time.Time) []Order {
	if o == RowConflict {
		k.abandon(ReasonClaimed)
		return nil
	}
	if k.phase == Claiming {
		if o == RowDone {
			k.tableClaim = true
			return k.fence()
		}
		if k.mayGoOnWithoutTable() {
			return k.fence()
		}
		k.abandon(ReasonTable)
		return nil
	}
	if o != RowDone {
		k.abandon(ReasonTable)
		return nil
	}
	out := k.waiting
	k.waiting = nil
	for i := range out {
		if t := now.Add(RecheckLife); t.Before(out[i].NotAfter) {
			out[i].NotAfter = t
		}
	}
	return out
}

// announce has the row tell which terms are replaced before a member is promoted.
//
// The failure: a member that was fenced for a change of primary starts again and has
// forgotten it. With the replaced primary it looks like a majority of the term before,
// which confirms reads and acknowledges commits that the new primary lacks. Or the
// keeper is held up right after it has promoted a member, and nothing tells. The row
// does, and whoever knows it believes no primary of these terms. That it could still be
// written is also the last check of the claim. Members that check terms need neither.
func (k *Keeper) announce(orders []Order) []Order {
	if k.plan.ChecksTerm {
		return orders
	}
	k.waiting, k.announcing = orders, true
	return []Order{k.order(AnnounceRow, "")}
}

func (k *Keeper) announced(o RowOutcome, now time.Time) []Order {
	if !k.announcing {
		return nil
	}
	if o == RowUnknown {
		// It can be written once more: the table takes it only in this claim's row.
		return []Order{k.order(AnnounceRow, "")}
	}
	k.announcing = false
	return k.rowRead(o, now)
}

// guarded returns the orders at once where members check terms. Where they do
// not, the claim is read back first and the orders follow within RecheckLife:
// such a member would obey a keeper that has long been overtaken.
func (k *Keeper) guarded(orders []Order) []Order {
	if k.plan.ChecksTerm {
		return orders
	}
	k.waiting = append(k.waiting, orders...)
	return []Order{k.order(ReadRow, "")}
}

func (k *Keeper) promoted(ev Event) []Order {
	if k.phase != Promoting {
		return nil
	}
	if ev.Status.Adopted > k.plan.Term {
		k.abandon(ReasonHigherTerm)
		return nil
	}
	if ev.Failed {
		// The member may have been promoted all the same. Giving up is safe:
		// the next term fences it.
		k.abandon(ReasonPromote)
		return nil
	}
	k.phase = Settling
	var orders []Order
	for _, m := range k.plan.Members {
		if m != k.primary {
			orders = append(orders, k.order(Follow, m))
		}
	}
	k.follows = len(orders)
	return append(k.guarded(orders), k.order(RecordRow, ""))
}

func (k *Keeper) followed() []Order {
	k.follows--
	k.finish()
	return nil
}

func (k *Keeper) finish() {
	if k.phase == Settling && k.follows <= 0 && k.rowDone {
		k.phase = Done
	}
}

// String describes the keeper for logs.
func (k *Keeper) String() string {
	return fmt.Sprintf("%s term %d %s", k.plan.Group, k.plan.Term, k.phase)
}
