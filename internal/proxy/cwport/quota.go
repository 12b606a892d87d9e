package cwport

import (
	"context"
	"time"
)

// QuotaMeter enforces the quotas of workspaces across all instances.
type QuotaMeter interface {
	// Take requests quota for one operation of a workspace.
	Take(workspace string) QuotaDecision
}

// QuotaDecision is the answer to a request for quota.
type QuotaDecision struct {
	// Allowed is true if the operation is within the workspace's quota.
	Allowed bool
	// RetryAfter is the time until quota is available again, if Allowed is false.
	RetryAfter time.Duration
	// Unknown is true if no issuer of the quota could answer.
	Unknown bool
}

// QuotaIssuer is an instance that issues a part (a shard) of a workspace's
// quota.
type QuotaIssuer struct {
	// Name is the instance's name.
	Name string
	// Ask requests quota for one operation; nil if the issuer is this instance. An
	// error means that no answer came; the issuer may still have counted the
	// operation.
	Ask func(ctx context.Context, workspace string) (QuotaDecision, error)
}

// QuotaIssuers selects the issuers of a workspace's quota.
type QuotaIssuers interface {
	// QuotaIssuers returns the reachable issuers of a workspace's quota, in the
	// order in which this instance asks them: those of its own data centre, or
	// those of the others if remote is true.
	QuotaIssuers(workspace string, remote bool) []QuotaIssuer
}

// QuotaServer answers requests for the part of a workspace's quota that this
// instance issues.
type QuotaServer interface {
	// IssueQuota requests quota for one operation from this instance's part.
	IssueQuota(workspace string) QuotaDecision
}
