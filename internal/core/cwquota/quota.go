// Package cwquota enforces the quota of a workspace across many instances.
//
// A quota is divided into shards of equal size, with the same number of shards in
// each data centre. Each shard is kept by one instance, its issuer. An instance
// that begins an operation takes a token from a shard in its own data centre, or
// from any other shard that it can reach. Issuers don't communicate with each
// other, so no agreement is needed while data centres are cut off from each other:
// each side of a partition spends its own shards.
//
// A shard issues tokens in one of two modes:
//
//   - In bucket mode it is a token bucket, which issues at most its depth plus t
//     times its rate in any time t. An issuer that replaces another one begins with
//     an almost empty bucket. Both together then issue no more than a single bucket
//     would have, apart from the initial tokens of the new one.
//   - In window mode it issues as long as the sum over the last window stays within
//     its limit, so that the whole limit is available at once. An issuer that
//     replaces one in window mode would have to know what that one issued.
//     Therefore window mode is recorded in the platform's store before it is used,
//     and the successor issues only its initial tokens until the window of its
//     predecessor is over. See Tenure, Attempt and Watch.
//
// An issuer may be killed at any moment and keeps no persistent state.
package cwquota

import (
	"math"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
)

// Params holds the parameters of one shard.
type Params struct {
	// Rate is the number of tokens that are added to the bucket per second. Depth is
	// the greatest number of tokens that accumulate in it.
	Rate, Depth float64
	// Initial is the number of tokens with which an issuer begins that may
	// replace another one.
	Initial float64
	// Limit is the number of tokens that are issued in any Window. It is what the
	// bucket issues in one window, so that the initial tokens of a successor are
	// within the rule in both modes. Since tokens are whole, what the bucket issues is
	// less by a fraction; see ForRank.
	Limit  float64
	Window time.Duration
}

// ForRank returns the parameters of the issuer to which the listing refers. Together,
// the limits of all issuers have the whole tokens that the fractions of their shares add
// up to.
//
// Ranks that differ between instances would let some of these tokens be issued twice.
// An issuer therefore uses the lower number until its list has not changed for the time
// after which everybody has the same list and has forgotten what was issued before.
func (p Params) ForRank(l Listing, started, now time.Time) Params {
	share, settled := p.Limit, later(started, l.ChangedAt).Add(2*p.Window+MaxDelay(p.Window))
	p.Limit = math.Floor(share)
	if l.Complete && l.Rank >= 0 && now.After(settled) {
		rank := float64(l.Rank)
		p.Limit = math.Floor((rank+1)*share) - math.Floor(rank*share)
	}
	return p
}

// replacementSlackShare is the part of the rule's slack that is reserved for the
// initial tokens of replacement issuers, so that small workspaces are served
// immediately after a start. The rest of the slack, and the overage, compensate
// for tokens that callers don't reach: some shards are behind a network
// partition, and tokens in shards that no caller uses are lost.
const replacementSlackShare = 0.25

// ParamsFor returns the parameters of each shard of a quota. Even if every issuer is
// replaced once per window and longest delay, all shards together issue at most what the
// rule allows.
func ParamsFor(q cwcatalogue.Quota, r cwcatalogue.QuotaTolerance, shards int) Params {
	n := float64(max(1, shards))
	p := Params{
		Rate:    (1 + r.Overage) * q.Rate / n,
		Depth:   ((1+r.Overage)*q.Burst + (1-replacementSlackShare)*r.Slack) / n,
		Initial: replacementSlackShare * r.Slack / n,
		Window:  r.Window,
	}
	p.Limit = p.Depth + p.Rate*r.Window.Seconds()
	return p
}

// Request is a request for one token.
type Request struct {
	// Priority is that of the operation; 0 is the highest.
	Priority int
	// MaxWait is how long the operation may wait for its token. It is 0 in a round of
	// requests to all issuers, which accepts no delay and is given no place in the
	// order of retries.
	MaxWait time.Duration
	// Repeated is true if another issuer was asked for the operation before. It then
	// doesn't count as demand: the demand of all shards together would be a multiple of
	// the real one, and too much would be set aside for higher priorities.
	Repeated bool
}

// Decision is the answer to a Request.
type Decision struct {
	Allowed bool
	// Delay is the time after which an allowed operation may begin.
	Delay time.Duration
	// RetryAfter is the time until the token returns that is meant for the refused
	// operation.
	RetryAfter time.Duration
	// Grant identifies an issued token for Shard.Return; 0 if it cannot be returned.
	Grant Grant
	// Sample is set at most once per slot, when an operation is refused or delayed.
	Sample Sample
}

// Sample compares what a shard issued in the last window with its limit, at a time at
// which more was requested. It is zero if nothing was measured.
type Sample struct{ Issued, Allowed int }
