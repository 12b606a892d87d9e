package cwroute

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Weights of spreading reads.
const (
	// AwayShare is what a member in another data centre must be faster by, in
	// percent of what a statement takes there: bytes between data centres cost
	// money, and a path within one is cut less often. With 75 two data centres
	// share a load once one of them takes nearly twice as long. Against 8 ms
	// flat, statements of 25 ms send a quarter fewer bytes between data centres
	// (4 to 3 MB in 34 s) and are served as soon.
	AwayShare = 75
	// PrimaryShare is what the primary must be faster by, in percent of what a
	// statement takes there: it alone runs writes, and reads that replicas could
	// serve make those late. With 150 a third fewer writes are late than with 0
	// (13 and 9%) at two thirds of the members' capacity; reads are served as
	// soon.
	PrimaryShare = 150
	// UntriedLatency is expected of a member that was not used lately. It is
	// low, so that each is tried now and then.
	UntriedLatency = 5 * time.Millisecond
)

// Option is one member that may serve a read.
type Option struct {
	Member cwgroup.MemberID
	// Away is true if it is in another data centre.
	Away bool
	// Primary is true if writes go to it.
	Primary bool
	// CatchUp is the expected time until its data holds the floor, zero if it
	// does.
	CatchUp time.Duration
	// Wait is the expected wait for a connection, Latency what a statement took
	// there lately, zero if not known.
	Wait, Latency time.Duration
	// Busy is the number of this proxy's statements there, Slots how many it
	// runs at once.
	Busy, Slots int
}

// expected is how long a read is expected to take at the member.
func (o Option) expected() time.Duration {
	latency := max(o.Latency, UntriedLatency)
	d := o.Wait + latency + latency*time.Duration(o.Busy)/time.Duration(max(1, o.Slots))
	if o.Away {
		d += latency * AwayShare / 100
	}
	if o.Primary {
		d += latency * PrimaryShare / 100
	}
	return d + o.CatchUp
}

// Quickest returns the option that is expected to answer first, or false if
// there is none.
//
// The load it answers: a target runs few statements at once, and all proxies
// together keep it busy. Sending every read to the nearest replica makes that
// one queue while another rests; what a statement took lately shows the queue
// that the others caused.
func Quickest(options []Option) (Option, bool) {
	if len(options) == 0 {
		return Option{}, false
	}
	best := options[0]
	for _, o := range options[1:] {
		if o.expected() < best.expected() {
			best = o
		}
	}
	return best, true
}
