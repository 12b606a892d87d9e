// Package cwlimit keeps connections scarce and overload short.
//
// Four small parts, each without I/O: a Share says how many connections one
// proxy may open to one target, such that the sum over all proxies stays within
// the target's limit; a Gate admits statements, keeps a bounded queue and
// refuses at once what cannot make its deadline; a Budget bounds retries; an
// Adaptive limit finds how many statements a target executes well at once.
package cwlimit

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwplace"
)

// Shares is what the limit of a target leaves each of its holders.
type Shares struct {
	// Limit is the number of connections that the target accepts.
	Limit int
	// Control is how many of them are set aside for control: a feed for each
	// holder and a few for fresh probes.
	Control int
}

// Of returns how many connections instance self may open for traffic, where the
// holders are the instances that may open any. The remainder of the division
// goes to the first holders by rendezvous order of the target, so that not
// always the same instances have one more. Past the size at which every holder
// can have at least one, the first Limit-Control holders have one each.
func (s Shares) Of(self, target string, holders []string) int {
	rank := cwplace.Rank(self, target, holders)
	if rank == len(holders) {
		// Whoever is not in the list is not counted by the others either.
		return 0
	}
	free := max(0, s.Limit-s.Control)
	share, rest := free/len(holders), free%len(holders)
	if rank < rest {
		share++
	}
	return share
}

// Held is the share of one target that a proxy acts on. It falls at once and
// rises late.
//
// The failure: the list of instances lags. A new instance already takes its
// share while the others still count without it, and the sum exceeds the
// target's limit, which shows as refused connections, at worst those of a
// failover. The guard: a proxy lets its share rise only after the larger share
// has been due for the whole lag, and every list since then has agreed. A share
// that is due to fall falls at once. A proxy that has just started begins at
// zero and waits as well.
type Held struct {
	// Lag is the longest time by which the list of instances lags, and the time
	// between two looks at it: a proxy acts on a list that old.
	Lag time.Duration

	now   int
	due   int
	since time.Time
}

// Update takes the share that the present list gives and returns the share to
// act on.
func (h *Held) Update(due int, now time.Time) int {
	switch {
	case due <= h.now:
		h.now, h.due, h.since = due, due, now
	case h.since.IsZero() || h.due <= h.now:
		h.due, h.since = due, now
	case due < h.due:
		// Still above what is held: wait on for the smaller one.
		h.due = due
	}
	if h.due > h.now && now.Sub(h.since) >= h.Lag {
		h.now = h.due
	}
	if due > h.due {
		h.due, h.since = due, now
	}
	return h.now
}

// Now returns the share to act on.
func (h *Held) Now() int { return h.now }
