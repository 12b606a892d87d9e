// Package cwquota enforces the quota of a workspace across many instances with
// distributed token buckets.
//
// A quota is divided into shards of equal size, with the same number of shards in
// each data centre. Each shard is a token bucket at one instance, its issuer. An
// instance that begins an operation takes a token from a shard in its own data
// centre, or from any other shard that it can reach. Issuers don't communicate
// with each other, so no agreement is needed while data centres are cut off from
// each other: each side of a partition spends its own shards.
//
// The sum of all shards stays within the quota because a token bucket issues at
// most its depth plus t times its rate in any time t. An issuer that replaces
// another one begins with an almost empty bucket. Both together then issue no
// more than a single bucket would have, apart from the initial tokens of the
// new one, which are part of the rule's slack. An issuer may therefore be killed
// at any moment, and its replacement needs neither stored state nor a delay.
package cwquota

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
)

// BucketParams holds the parameters of one shard's token bucket.
type BucketParams struct {
	// Rate is the number of tokens that are added per second. Depth is the
	// greatest number of tokens that accumulate.
	Rate, Depth float64
	// Initial is the number of tokens with which an issuer begins that may
	// replace another one.
	Initial float64
}

// replacementSlackShare is the part of the rule's slack that is reserved for the
// initial tokens of replacement issuers, so that small workspaces are served
// immediately after a start. The rest of the slack, and the overage, compensate
// for tokens that callers don't reach: some shards are behind a network
// partition, and tokens in shards that no caller uses are lost.
const replacementSlackShare = 0.25

// BucketParamsFor returns the bucket parameters of each shard of a quota. Even if
// every issuer is replaced once per window of the rule, all shards together issue
// at most what the rule allows.
func BucketParamsFor(q cwcatalogue.Quota, r cwcatalogue.QuotaTolerance, shards int) BucketParams {
	n := float64(max(1, shards))
	return BucketParams{
		Rate:    (1 + r.Overage) * q.Rate / n,
		Depth:   ((1+r.Overage)*q.Burst + (1-replacementSlackShare)*r.Slack) / n,
		Initial: replacementSlackShare * r.Slack / n,
	}
}

// Shard is the token bucket of one shard at its issuer. It is created by
// NewShard and is not safe for concurrent use.
type Shard struct {
	params BucketParams
	// level is the number of tokens at updatedAt; 0 <= level <= params.Depth.
	level     float64
	updatedAt time.Time
}

// NewShard returns the shard of an issuer that has issued no tokens since the
// given time. first is true if the shard had no issuer before; the bucket is then
// full.
func NewShard(params BucketParams, since time.Time, first bool) *Shard {
	level := params.Initial
	if first {
		level = params.Depth
	}
	return &Shard{params: params, level: min(level, params.Depth), updatedAt: since}
}

// SetParams changes the parameters of the bucket after a change of the quota.
// Tokens above the new depth are lost.
func (s *Shard) SetParams(params BucketParams, now time.Time) {
	if s.params == params {
		return
	}
	s.refill(now)
	s.params, s.level = params, min(s.level, params.Depth)
}

// Take takes a token. If there is none, it returns false and the time until the
// next token is available, or zeroRateWait if no tokens are added.
func (s *Shard) Take(now time.Time) (ok bool, wait time.Duration) {
	s.refill(now)
	if s.level >= 1 {
		s.level--
		return true, 0
	}
	if s.params.Rate <= 0 {
		return false, zeroRateWait
	}
	return false, time.Duration((1 - s.level) / s.params.Rate * float64(time.Second))
}

// zeroRateWait is the wait that Take returns for a quota with a rate of zero,
// which never has another token unless the quota is changed.
const zeroRateWait = 10 * time.Second

// refill adds the tokens that have accumulated since updatedAt.
func (s *Shard) refill(now time.Time) {
	if d := now.Sub(s.updatedAt); d > 0 {
		s.level = min(s.params.Depth, s.level+d.Seconds()*s.params.Rate)
		s.updatedAt = now
	}
}
