package cwcatalogue

import (
	"crypto/sha256"
	"time"
)

// KeyDigest stands for a key by which callers show to which workspace they
// belong. The key itself is neither kept nor passed on, so that no log, message
// or memory dump has it. The zero value stands for no key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	if key == "" {
		return KeyDigest{}
	}
	return sha256.Sum256([]byte(key))
}

// Quota bounds the operations of a workspace, a statement by itself or a whole
// transaction each, over all instances together. The zero value sets no bound.
type Quota struct {
	// Rate is in operations a second, Burst how many more may come at once.
	Rate, Burst float64
}

// Limited reports whether the quota sets a bound.
func (q Quota) Limited() bool { return q.Rate > 0 || q.Burst > 0 }

// Workspace is one customer among those who share the databases.
type Workspace struct {
	// Name is what targets are told; no two workspaces share it.
	Name string
	// Keys are those of its callers. A key belongs to one workspace.
	Keys  []KeyDigest
	Quota Quota
}

// QuotaRule is how exactly a quota is kept: in no Window do more operations of a
// workspace run than its rate and burst allow, raised by the part Overage, and
// Slack more.
type QuotaRule struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}
