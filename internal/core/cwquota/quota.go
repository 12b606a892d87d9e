// Package cwquota keeps the quota of a workspace over many instances.
//
// A quota is split into shards of equal size, as many in each data centre. Each
// shard is a token bucket at one instance, its issuer; whoever begins an
// operation takes a token from a shard of its own data centre, or from any other
// one that it reaches. No issuer knows of the others, so nothing has to be agreed
// while data centres are cut off from each other: each side spends its own
// shards.
//
// What makes the sum hold is the shape of a bucket: in no time t does it give
// more than its depth and t times its rate. An issuer that takes the place of
// another begins with an almost empty bucket; the tokens of both together are
// then no more than one bucket would have given, and what the newcomer begins
// with is part of the tolerance. So an issuer may be killed at any moment and
// needs no memory and no wait.
package cwquota

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
)

// Shape is the size of one shard's bucket.
type Shape struct {
	// Rate is in tokens a second, Depth the most that can be saved up.
	Rate, Depth float64
	// Initial is what an issuer begins with that may have had a predecessor.
	Initial float64
}

// newcomers is the part of the rule's slack that is kept for issuers that take
// another's place, so that small workspaces are served at once after a start. The
// rest, and the overage, make up for what callers do not reach: some shards are
// behind a cut, and what lies in shards that nobody asks is lost.
const newcomers = 0.25

// ShapeOf returns the shape of each of some shards. With every shard's issuer
// replaced once in the rule's window, all together give as much as the rule
// allows, and no more.
func ShapeOf(q cwcatalogue.Quota, r cwcatalogue.QuotaRule, shards int) Shape {
	n := float64(max(1, shards))
	return Shape{
		Rate:    (1 + r.Overage) * q.Rate / n,
		Depth:   ((1+r.Overage)*q.Burst + (1-newcomers)*r.Slack) / n,
		Initial: newcomers * r.Slack / n,
	}
}

// Shard is one shard at its issuer. Make one with NewShard.
type Shard struct {
	shape Shape
	// level is how many tokens there were at a time; 0 <= level <= shape.Depth.
	level float64
	at    time.Time
}

// NewShard returns the shard of an issuer that has given no token since a time;
// first is true if there was no issuer before.
func NewShard(s Shape, since time.Time, first bool) *Shard {
	level := s.Initial
	if first {
		level = s.Depth
	}
	return &Shard{shape: s, level: min(level, s.Depth), at: since}
}

// Reshape takes another shape, after the quota was changed. Tokens beyond the new
// depth are lost.
func (s *Shard) Reshape(shape Shape, now time.Time) {
	if s.shape == shape {
		return
	}
	s.fill(now)
	s.shape, s.level = shape, min(s.level, shape.Depth)
}

// Take takes a token, or returns how long it takes until there is one.
func (s *Shard) Take(now time.Time) (ok bool, wait time.Duration) {
	s.fill(now)
	if s.level >= 1 {
		s.level--
		return true, 0
	}
	if s.shape.Rate <= 0 {
		return false, neverWait
	}
	return false, time.Duration((1 - s.level) / s.shape.Rate * float64(time.Second))
}

// neverWait is what callers are told who will have no quota unless it is changed.
const neverWait = 10 * time.Second

func (s *Shard) fill(now time.Time) {
	if d := now.Sub(s.at); d > 0 {
		s.level = min(s.shape.Depth, s.level+d.Seconds()*s.shape.Rate)
		s.at = now
	}
}
