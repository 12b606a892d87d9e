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

// OrderKind says what an order is for.
type OrderKind uint8

// The kinds of order.
const (
	// ClaimRow asks the table to set the group's row to this claim, if the row
	// is still as it was read.
	ClaimRow OrderKind = iota
	// ReadRow asks for the row, after an answer was lost or before an order to
	// a member that does not check terms.
	ReadRow
	// Adopt asks a member to adopt the term for the claim, and for its status.
	Adopt
	// Promote makes a member the primary of the term.
	Promote
	// Follow makes a member copy the primary of the term.
	Follow
	// RecordRow asks the table to record the new primary.
	RecordRow
)

// String names the kind.
func (k OrderKind) String() string {
	return [...]string{"claimRow", "readRow", "adopt", "promote", "follow", "recordRow"}[k]
}

// Order is something for the owner of a keeper to send.
type Order struct {
	Kind   OrderKind
	Member cwgroup.MemberID
	Term   cwgroup.Term
	Claim  cwgroup.ClaimID
	// Primary is whom Follow is about, and what RecordRow records.
	Primary cwgroup.MemberID
	// NotAfter is the last moment at which the order may be sent. The owner
	// compares it with its monotonic clock right before sending, since it may
	// have been paused after the order was made.
	NotAfter time.Time
}

// RowOutcome is how the table answered.
type RowOutcome uint8

// The outcomes of a request to the table.
const (
	// RowDone means that the change took effect.
	RowDone RowOutcome = iota
	// RowConflict means that the row holds another claim.
	RowConflict
	// RowUnknown means that the answer was lost: the change may have taken
	// effect.
	RowUnknown
	// RowUnavailable means that the table certainly did not take the change.
	RowUnavailable
)

// Event is an answer to an order.
type Event struct {
	// Kind, Member and Claim repeat the order's.
	Kind   OrderKind
	Member cwgroup.MemberID
	Claim  cwgroup.ClaimID
	// Row is set for orders to the table. For ReadRow, RowDone means that the
	// row holds this keeper's claim.
	Row RowOutcome
	// Status is the member's answer; Failed is set if there was none or the
	// member refused.
	Status cwgroup.Status
	Failed bool
}

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
)

// Plan is what a change of primary is about. It is immutable.
type Plan struct {
	Group   string
	Members []cwgroup.MemberID
	// Term is the term to move to.
	Term  cwgroup.Term
	Claim cwgroup.ClaimID
	// ChecksTerm is true if every member checks the term of an order.
	ChecksTerm bool
	// WithoutTable allows a change while the table is away. It has no effect
	// unless ChecksTerm is set, since otherwise only the table makes a claim
	// unique.
	WithoutTable bool
	// Avoid is a member that is leaving: it is promoted only if it alone has
	// everything.
	Avoid cwgroup.MemberID
	// Prefer is taken among equally advanced members.
	Prefer cwgroup.MemberID
	// Exclude is a member that is fenced but not counted and not promoted: a
	// primary that no replica can copy from. It is the most advanced by what
	// nobody could acknowledge, and would be promoted again and again. Any
	// majority has what was acknowledged, so one of the others will do.
	Exclude cwgroup.MemberID
}

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
	// tableClaim is true once the table confirmed the claim.
	tableClaim bool
	// waiting holds orders that are sent once the claim was read back.
	waiting []Order
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
		return k.rowRead(ev.Row, now)
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

func (k *Keeper) fence() []Order {
	k.phase = Fencing
	orders := make([]Order, 0, len(k.plan.Members))
	for _, m := range k.plan.Members {
		orders = append(orders, k.order(Adopt, m))
	}
	return k.guarded(orders)
}

func (k *Keeper) adopted(ev Event, now time.Time) []Order {
	if ev.Status.Adopted > k.plan.Term {
		k.abandon(ReasonHigherTerm)
		return nil
	}
	if k.phase != Fencing || ev.Member == k.plan.Exclude {
		return nil
	}
	if ev.Failed || ev.Status.Adopted != k.plan.Term || ev.Status.Claim != k.plan.Claim {
		k.refused[ev.Member] = true
	} else {
		k.fenced[ev.Member] = ev.Status
	}
	majority := cwgroup.Majority(len(k.plan.Members))
	if len(k.refused) > k.counted()-majority {
		k.abandon(ReasonMajority)
		return nil
	}
	if len(k.fenced) >= majority && k.majorityAt.IsZero() {
		k.majorityAt = now
	}
	if k.fenceOver(now) {
		return k.promote()
	}
	return nil
}

// counted returns how many members count towards the majority. The majority
// itself is always that of the whole group.
func (k *Keeper) counted() int {
	n := len(k.plan.Members)
	if k.plan.Exclude != "" {
		n--
	}
	return n
}

func (k *Keeper) fenceOver(now time.Time) bool {
	if k.majorityAt.IsZero() {
		return false
	}
	all := len(k.fenced)+len(k.refused) == k.counted()
	return all || now.Sub(k.majorityAt) >= FencePatience
}

// promote chooses the most advanced of the fenced majority. Most advanced
// means the term of the last record first, then the position: a member that
// adopted terms while it was cut off has adopted more but has less.
func (k *Keeper) promote() []Order {
	k.phase = Promoting
	var best cwgroup.Status
	for _, m := range k.plan.Members {
		s, ok := k.fenced[m]
		if !ok {
			continue
		}
		if best.Member == "" || k.better(s, best) {
			best = s
		}
	}
	k.primary = best.Member
	return k.guarded([]Order{k.order(Promote, k.primary)})
}

func (k *Keeper) better(a, b cwgroup.Status) bool {
	if c := a.Last.Compare(b.Last); c != 0 {
		return c > 0
	}
	if (a.Member == k.plan.Avoid) != (b.Member == k.plan.Avoid) {
		return b.Member == k.plan.Avoid
	}
	return a.Member == k.plan.Prefer
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

// Repairs returns the orders that bring members back which are not following
// the current primary: a replaced primary that returned, a member that was
// fenced and then forgotten. The member cuts off whatever its log has beyond
// the common part before it follows.
func Repairs(v cwgroup.View, following map[cwgroup.MemberID]cwgroup.MemberID, now time.Time) []Order {
	p, ok := v.Primary()
	if !ok || !p.Reachable || now.Sub(p.At) > FreshMember {
		return nil
	}
	var orders []Order
	for _, r := range v.Reports() {
		astray := r.Role != cwgroup.RoleReplica || r.Adopted < p.Adopted || following[r.Member] != p.Member
		if r.Member == p.Member || !r.Reachable || r.Adopted > p.Adopted || !astray {
			continue
		}
		orders = append(orders, Order{
			Kind:     Follow,
			Member:   r.Member,
			Term:     p.Adopted,
			Claim:    p.Claim,
			Primary:  p.Member,
			NotAfter: now.Add(RecheckLife),
		})
	}
	return orders
}

// Stranded reports whether a member adopted a later term than the primary's,
// for a change that came to nothing. It can follow only in a yet later term.
func Stranded(v cwgroup.View, now time.Time) bool {
	p, ok := v.Primary()
	if !ok {
		return false
	}
	for _, r := range v.Reports() {
		if r.Reachable && now.Sub(r.At) <= FreshMember && r.Adopted > p.Adopted {
			return true
		}
	}
	return false
}
