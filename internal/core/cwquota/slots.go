package cwquota

import (
	"math"
	"time"
)

// Slots of a window.
const (
	// slotsPerWindow is the number of slots of one window. A token counts for up to one
	// slot longer than the window, which costs one fiftieth of the limit.
	slotsPerWindow = 50
	// ringSize is the number of slots that are kept: those that end in the window, and the
	// current one.
	ringSize = slotsPerWindow + 1
)

// slotLength returns the length of a slot, rounded up so that slotsPerWindow of them
// last at least one window.
func slotLength(window time.Duration) time.Duration {
	return max(1, (window+slotsPerWindow-1)/slotsPerWindow)
}

// Grant identifies an issued token: the slot in which it counts, and its index there.
type Grant uint64

// grantIndexBits is the number of bits of a grant's index in its slot. Tokens with
// greater indices can't be returned.
const grantIndexBits = 20

func newGrant(slot int64, index uint32) Grant {
	if index >= 1<<grantIndexBits {
		return 0
	}
	return Grant(uint64(slot)<<grantIndexBits | uint64(index))
}

func (g Grant) slot() int64   { return int64(g >> grantIndexBits) }
func (g Grant) index() uint32 { return uint32(g & (1<<grantIndexBits - 1)) }

// slot counts the tokens that were issued in one slot.
type slot struct {
	issued int
	// returned are the indices of the tokens that were returned; nil if there are none.
	returned map[uint32]struct{}
	// headroom is the smallest number of tokens that the bucket lacked to be full at a
	// request in the slot, if the tokens returned so far had never been taken.
	headroom float64
}

// emptySlot returns a slot without requests.
func emptySlot() slot { return slot{headroom: math.Inf(1)} }

// count returns the number of tokens that were issued and not returned.
func (s slot) count() int { return s.issued - len(s.returned) }

// slotRing counts the tokens of one shard by slot.
type slotRing struct {
	length time.Duration
	// current is the number of the current slot since the Unix epoch.
	current int64
	// slots has slots current-slotsPerWindow to current, each at its number
	// modulo ringSize.
	slots [ringSize]slot
	// inWindow is the sum of all slots.
	inWindow int
}

func newSlotRing(window time.Duration, now time.Time) slotRing {
	r := slotRing{length: slotLength(window)}
	r.current = r.number(now)
	r.clear()
	return r
}

func (r *slotRing) clear() {
	for i := range r.slots {
		r.slots[i] = emptySlot()
	}
}

func (r *slotRing) number(t time.Time) int64 { return t.UnixNano() / int64(r.length) }

// start returns the beginning of a slot.
func (r *slotRing) start(number int64) time.Time {
	return time.Unix(0, number*int64(r.length))
}

func (r *slotRing) at(number int64) *slot { return &r.slots[number%ringSize] }

// advance makes the slot of now the current one. Time doesn't run backwards in it.
func (r *slotRing) advance(now time.Time) {
	n := r.number(now)
	if n-r.current >= ringSize {
		r.clear()
		r.inWindow, r.current = 0, n
		return
	}
	for r.current < n {
		r.current++
		oldest := r.at(r.current)
		r.inWindow -= oldest.count()
		*oldest = emptySlot()
	}
}

// issue counts a token.
func (r *slotRing) issue() Grant {
	s := r.at(r.current)
	g := newGrant(r.current, uint32(s.issued))
	s.issued++
	r.inWindow++
	return g
}

// giveBack takes a token out of the count, and returns false if it is unknown, older
// than the window, or was returned before.
func (r *slotRing) giveBack(g Grant) bool {
	number := g.slot()
	if number < r.current-slotsPerWindow || number > r.current {
		return false
	}
	s := r.at(number)
	if _, known := s.returned[g.index()]; known || int(g.index()) >= s.issued {
		return false
	}
	if s.returned == nil {
		s.returned = make(map[uint32]struct{}, 1)
	}
	s.returned[g.index()] = struct{}{}
	r.inWindow--
	return true
}

// observe records the headroom of the bucket in the current slot.
func (r *slotRing) observe(headroom float64) {
	s := r.at(r.current)
	s.headroom = min(s.headroom, headroom)
}

// credit returns how much of a returned token the bucket gets back. The bucket would have
// been full, and the token or a part of it lost, if it had not been taken.
func (r *slotRing) credit(g Grant) float64 {
	c := 1.0
	for n := g.slot(); n <= r.current; n++ {
		c = min(c, r.at(n).headroom)
	}
	for n := g.slot(); n <= r.current; n++ {
		r.at(n).headroom -= c
	}
	return c
}
