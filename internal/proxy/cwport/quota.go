package cwport

import (
	"context"
	"time"
)

// Meter keeps the quotas of workspaces over all instances.
type Meter interface {
	// Take asks for one operation of a workspace.
	Take(workspace string) Verdict
}

// Verdict is whether an operation is within its workspace's quota.
type Verdict struct {
	Allowed bool
	// RetryAfter is when there is quota again, if there is none now.
	RetryAfter time.Duration
	// Unknown is true if nobody could tell.
	Unknown bool
}

// QuotaIssuer is an instance that keeps a part of a workspace's quota.
type QuotaIssuer struct {
	Name string
	// Ask asks it for one operation; nil if it is this instance. An error means
	// that there is no answer; the operation may be counted all the same.
	Ask func(ctx context.Context, workspace string) (Verdict, error)
}

// QuotaIssuers tells who keeps quotas.
type QuotaIssuers interface {
	// QuotaIssuers returns the issuers of a workspace's quota that can be asked
	// now, in the order in which this instance asks them: those of its own data
	// centre, or the others if far is true.
	QuotaIssuers(workspace string, far bool) []QuotaIssuer
}

// QuotaTeller answers for the part of a workspace's quota that this instance
// keeps.
type QuotaTeller interface {
	TellQuota(workspace string) Verdict
}
