package cwpath

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwrendezvous"
)

// Numbers and times of pings.
const (
	// sentinels is the number of instances of a data centre that ping others. If one is
	// lost, the others still find a cut.
	sentinels = 3
	// pingSpacing is the time between two pings of a data centre, whichever sentinel
	// sends them.
	pingSpacing = 250 * time.Millisecond
	// FirstPingTimeout is how long the first ping of a round is awaited before others are
	// sent. The answers of instances that are not paused arrive sooner.
	FirstPingTimeout = 60 * time.Millisecond
	// ConfirmTimeout is how long the other pings of a round are awaited. It exceeds a
	// pause of the pinged instances.
	ConfirmTimeout = 100 * time.Millisecond
	// ConfirmPings is the number of the other pings of a round, and of those of a round
	// while the path is suspected.
	ConfirmPings = 2
	// SuspectedPingInterval is the time between two rounds while the path is suspected.
	SuspectedPingInterval = 250 * time.Millisecond
	// candidatesPerCentre is the number of instances of another data centre that one
	// instance pings. It bounds the connections.
	candidatesPerCentre = 3
)

// sentinelHashPrefix precedes the data centre in the hash key of its sentinels.
const sentinelHashPrefix = "path of "

// SentinelRank returns the rank of an instance among the sentinels of its data centre,
// and false if it is none. instances are all instances of the data centre.
func SentinelRank(self, dataCentre string, instances []string) (int, bool) {
	order := cwrendezvous.Order(sentinelHashPrefix+dataCentre, instances)
	rank := slices.Index(order[:min(sentinels, len(order))], self)
	return rank, rank >= 0
}

// NextPing returns the time of the next ping of the sentinel with the given rank, after
// now. The sentinels take turns by the time of day. The result has the monotonic reading
// of now, so that pings go on if the wall clock is set back.
func NextPing(rank int, now time.Time) time.Time {
	const period = sentinels * pingSpacing
	at := now.Truncate(period).Add(time.Duration(rank) * pingSpacing)
	for !at.After(now) {
		at = at.Add(period)
	}
	return now.Add(at.Sub(now))
}

// PingCandidates returns the instances of each other data centre that an instance may
// ping. remote has all instances by data centre.
func PingCandidates(self string, remote map[string][]string) [][]string {
	var out [][]string
	for _, dataCentre := range slices.Sorted(maps.Keys(remote)) {
		order := cwrendezvous.Order(self, remote[dataCentre])
		out = append(out, order[:min(candidatesPerCentre, len(order))])
	}
	return out
}

// PingTargets returns up to n candidates to ping, in different data centres as far as
// possible.
func PingTargets(candidates [][]string, n int, rnd *rand.Rand) []string {
	centres, first := rnd.Perm(len(candidates)), rnd.IntN(candidatesPerCentre)
	var out []string
	for round := range candidatesPerCentre {
		for _, c := range centres {
			if list := candidates[c]; round < len(list) && len(out) < n {
				out = append(out, list[(first+round)%len(list)])
			}
		}
	}
	return out
}
