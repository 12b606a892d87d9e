// Package cwlimit provides admission control and limits for connections,
// concurrency and retries.
//
// Its types do no I/O:
//
//   - ConnectionShares divides a target's connection limit among the instances that
//     open connections to it. DelayedShare applies a changed share without
//     exceeding the limit while instances see different lists of each other.
//   - AdmissionQueue admits statements to a target up to a concurrency limit, by
//     priority and fairly among workspaces, keeps a bounded queue, and refuses at
//     once a statement that is not expected to start by its deadline.
//   - SlotShares divides the slots of a target among the holders that share it, by
//     the statements that wait at each of them.
//   - AdaptiveLimit and ConcurrencyLimit adjust a concurrency limit to the observed
//     latency: AdaptiveLimit by the latency of each statement, ConcurrencyLimit by
//     the average latency at a target that several proxies share.
//   - RetryBudget limits retries to a share of the requests.
package cwlimit

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwrendezvous"
)

// ConnectionShares divides the connection limit of a target among its holders, the
// instances that may open connections to it.
type ConnectionShares struct {
	// Limit is the number of connections that the target accepts.
	Limit int
	// Reserved is the number of connections reserved for control: a status feed
	// for each holder and a few for probes over new connections.
	Reserved int
}

// ShareOf returns how many connections instance self may open for traffic. It is
// zero if self is not among holders. The remainder of the division goes to the
// first holders in the rendezvous order of the target, so that the additional
// connections don't always go to the same instances. If there are more holders than
// connections for traffic, the first Limit-Reserved holders get one each.
func (s ConnectionShares) ShareOf(self, target string, holders []string) int {
	rank := cwrendezvous.Rank(self, target, holders)
	if rank == len(holders) {
		// The other instances don't count this one either.
		return 0
	}
	available := max(0, s.Limit-s.Reserved)
	share, remainder := available/len(holders), available%len(holders)
	if rank < remainder {
		share++
	}
	return share
}

// DelayedShare is the share of a target's connections that a proxy uses at present.
// It decreases at once and increases after a delay.
//
// The list of instances that a proxy sees can be out of date. A new instance could
// use its share while the others still compute theirs without it, and the sum would
// exceed the target's limit. The target would then refuse connections, in the worst
// case those of a failover. Therefore an increased share applies only after every
// list during the time ListLag has given at least that share. A smaller share
// applies at once. A proxy that has just started begins at zero and waits as well.
type DelayedShare struct {
	// ListLag is the greatest age of the list that a proxy acts on: the propagation
	// delay of the list plus the interval between two reads of it.
	ListLag time.Duration

	// current is the share in use.
	current int
	// pending is the increased share that applies once ListLag has passed since
	// pendingSince. It equals current if no increase is pending.
	pending      int
	pendingSince time.Time
}

// Update takes the share computed from the latest list and returns the share to
// use.
func (h *DelayedShare) Update(due int, now time.Time) int {
	switch {
	case due <= h.current:
		h.current, h.pending, h.pendingSince = due, due, now
	case h.pendingSince.IsZero() || h.pending <= h.current:
		h.pending, h.pendingSince = due, now
	case due < h.pending:
		// Still above the current share: go on waiting, for the smaller increase.
		h.pending = due
	}
	if h.pending > h.current && now.Sub(h.pendingSince) >= h.ListLag {
		h.current = h.pending
	}
	if due > h.pending {
		h.pending, h.pendingSince = due, now
	}
	return h.current
}

// Current returns the share to use.
func (h *DelayedShare) Current() int { return h.current }
