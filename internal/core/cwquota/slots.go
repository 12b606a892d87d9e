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
	// delaySlots is the longest delay of an operation, in slots. A successor waits for
	// the end of the delays that its predecessor granted, so they are a small part of
	// the window.
	delaySlots = 5
	// ringSize is the number of slots that are kept: those that end in the window, the
	// current one, and those into which operations are delayed.
	ringSize = slotsPerWindow + 1 + delaySlots
)

// MaxDelay returns the longest delay with which an operation is allowed.
func MaxDelay(window time.Duration) time.Duration { return delaySlots * slotLength(window) }

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

// slot counts the tokens that were issued for one slot.
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
	// slots has slots current-slotsPerWindow to current+delaySlots, each at its number
	// modulo ringSize.
	slots [ringSize]slot
	// inWindow is the sum of slots current-slotsPerWindow to current.
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

// start returns the beginning of the slot that is k slots after the current one.
func (r *slotRing) start(k int) time.Time {
	return time.Unix(0, (r.current+int64(k))*int64(r.length))
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
		oldest := r.at(r.current + delaySlots)
		r.inWindow += r.at(r.current).count() - oldest.count()
		*oldest = emptySlot()
	}
}

// issue counts a token for the slot k slots after the current one.
func (r *slotRing) issue(k int) Grant {
	number := r.current + int64(k)
	s := r.at(number)
	g := newGrant(number, uint32(s.issued))
	s.issued++
	if k == 0 {
		r.inWindow++
	}
	return g
}

// giveBack takes a token out of the count, and returns false if it is unknown, older
// than the window, or was returned before.
func (r *slotRing) giveBack(g Grant) bool {
	number := g.slot()
	if number < r.current-slotsPerWindow || number > r.current+delaySlots {
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
	if number <= r.current {
		r.inWindow--
	}
	return true
}

// observe records the headroom of the bucket in the slot k slots after the current one.
func (r *slotRing) observe(k int, headroom float64) {
	s := r.at(r.current + int64(k))
	s.headroom = min(s.headroom, headroom)
}

// credit returns how much of a returned token the bucket gets back. The bucket would have
// been full, and the token or a part of it lost, if it had not been taken.
func (r *slotRing) credit(g Grant) float64 {
	if g.slot() > r.current {
		return 0
	}
	c := 1.0
	for n := g.slot(); n <= r.current; n++ {
		c = min(c, r.at(n).headroom)
	}
	for n := g.slot(); n <= r.current; n++ {
		r.at(n).headroom -= c
	}
	return c
}

// forecast has, for slot k after the current one, the number of tokens that can still
// be issued for it: the smallest number that is left in it or in a later slot.
type forecast [slotsPerWindow + 1]float64

// forecast returns the forecast for a limit, if nothing is set aside.
func (r *slotRing) forecast(limit float64) (f forecast) {
	sum := r.inWindow
	for k := range f {
		f[k] = limit - float64(sum)
		sum -= r.at(r.current + int64(k) - slotsPerWindow).count()
		if k < delaySlots {
			sum += r.at(r.current + int64(k) + 1).count()
		}
	}
	f.useLater()
	return f
}

// useLater lowers each number to the smallest one of the later slots.
func (f *forecast) useLater() {
	for k := len(f) - 2; k >= 0; k-- {
		f[k] = min(f[k], f[k+1])
	}
}

// setAside takes out what is set aside by the end of each slot, in whole tokens: if many
// shards kept one for a fraction, much of a small quota would stay unused.
func (f *forecast) setAside(aside func(k int) float64) {
	sum := 0.0
	for k := range f {
		sum += aside(k)
		f[k] -= math.Round(sum)
	}
	f.useLater()
}

// first returns the first slot at or after from for which n tokens can be issued; false
// if there is none.
func (f *forecast) first(from int, n float64) (int, bool) {
	for k := from; k < len(f); k++ {
		if f[k] >= n {
			return k, true
		}
	}
	return 0, false
}
