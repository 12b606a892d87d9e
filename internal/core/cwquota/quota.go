// Package cwquota enforces the quota of a workspace across many instances.
//
// A quota is divided into shards of equal size, with the same number of shards in
// each data centre. Each shard is kept by one instance, its issuer. An instance
// that begins an operation takes a token from a shard in its own data centre, or
// from any other shard that it can reach. Issuers don't communicate with each
// other, so no agreement is needed while data centres are cut off from each other:
// each side of a partition spends its own shards.
//
// A shard is a token bucket, which issues at most its depth plus t times its rate in
// any time t. An issuer that replaces another one begins with an almost empty bucket.
// Both together then issue no more than a single bucket would have, apart from the
// initial tokens of the new one.
//
// An issuer may be killed at any moment and keeps no persistent state.
package cwquota

import (
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
	// Limit is the number of tokens that the bucket issues at most in any Window. Since
	// tokens are whole, it may issue less by a fraction.
	Limit  float64
	Window time.Duration
}

// replacementSlackShare is the part of the rule's slack that is reserved for the
// initial tokens of replacement issuers, so that small workspaces are served
// immediately after a start. The rest of the slack, and the overage, compensate
// for tokens that callers don't reach: some shards are behind a network
// partition, and tokens in shards that no caller uses are lost.
const replacementSlackShare = 0.25

// ParamsFor returns the parameters of each shard of a quota. Even if every issuer is
// replaced once per window, all shards together issue at most what the
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
	// requests to all issuers, which is given no place in the order of retries.
	MaxWait time.Duration
	// Repeated is true if another issuer was asked for the operation before. It then
	// doesn't count as demand: the demand of all shards together would be a multiple of
	// the real one, and too much would be set aside for higher priorities.
	Repeated bool
	// Place is the Decision.Place of an operation that has waited for it; 0 otherwise.
	Place int64
}

// Decision is the answer to a Request.
type Decision struct {
	Allowed bool
	// RetryAfter is the time until the token returns that is meant for the refused
	// operation.
	RetryAfter time.Duration
	// Place is set if RetryAfter is within the operation's MaxWait. A token is then kept
	// for a request with this place at that time.
	Place int64
	// Grant identifies an issued token for Shard.Return; 0 if it cannot be returned.
	Grant Grant
	// Sample is set at most once per slot, when an operation is refused.
	Sample Sample
}

// Sample compares what a shard issued in the last window with its limit, at a time at
// which more was requested. It is zero if nothing was measured.
type Sample struct{ Issued, Allowed int }
