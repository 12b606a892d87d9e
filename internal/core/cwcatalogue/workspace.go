package cwcatalogue

import (
	"crypto/sha256"
	"time"
)

// KeyDigest is the SHA-256 digest of an API key, which identifies a caller's
// workspace. The key itself is neither kept nor forwarded, so that it cannot
// leak through a log, a message or a memory dump. The zero value means no key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key; the zero value for an empty key.
func DigestOf(key string) KeyDigest {
	if key == "" {
		return KeyDigest{}
	}
	return sha256.Sum256([]byte(key))
}

// Quota limits the operations of a workspace over all instances together. An
// operation is a statement outside of a transaction, or a whole transaction.
// The zero value means no limit.
type Quota struct {
	// Rate is in operations per second. Burst is the number of operations that
	// may come at once beyond the rate.
	Rate, Burst float64
}

// Limited reports whether the quota sets a limit.
func (q Quota) Limited() bool { return q.Rate > 0 || q.Burst > 0 }

// Workspace is one customer among those who share the databases.
type Workspace struct {
	// Name is unique among workspaces. Targets receive it with each connection
	// that is opened for the workspace.
	Name string
	// Keys are the digests of its callers' keys. A key belongs to one
	// workspace.
	Keys  []KeyDigest
	Quota Quota
}

// QuotaTolerance is how accurately quotas are enforced: in any interval of length
// Window, at most (rate*Window + burst) * (1 + Overage) + Slack operations of a
// workspace run.
type QuotaTolerance struct {
	Window time.Duration
	// Overage is a fraction, as in 0.1 for 10 %.
	Overage float64
	// Slack is a number of operations.
	Slack float64
}
