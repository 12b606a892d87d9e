package cwport

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwquota"
)

// QuotaMeter enforces the quotas of workspaces across all instances.
type QuotaMeter interface {
	// Take requests quota for one operation. It waits for quota up to MaxWait.
	Take(r QuotaRequest) QuotaDecision
	// Return gives back the quota of an operation that was allowed and is known to have
	// run nowhere. It returns at once.
	Return(workspace string, d QuotaDecision)
}

// QuotaRequest is a request for quota for one operation.
type QuotaRequest struct {
	Workspace string
	// Priority is that of the operation's entry; 0 is the highest.
	Priority int
	// MaxWait is how long the operation may wait for quota. An issuer gives a refused
	// operation a place in the order of retries only if MaxWait is not 0.
	MaxWait time.Duration
	// Repeated is true if another issuer was asked for the operation before.
	Repeated bool
	// Place is the QuotaDecision.Place of an operation that has waited for it; 0
	// otherwise.
	Place int64
}

// QuotaGrant identifies the quota that an issuer allowed; zero if it cannot be returned.
type QuotaGrant struct {
	// Run is the run id of the issuer, and Grant the number among its grants.
	Run   string
	Grant cwquota.Grant
}

// QuotaDecision is the answer to a request for quota.
type QuotaDecision struct {
	// Allowed is true if the operation is within the workspace's quota.
	Allowed bool
	// RetryAfter is the time until quota is available again, if Allowed is false.
	RetryAfter time.Duration
	// Place is the operation's place in the order of retries at the issuer, for which a
	// token is kept, if RetryAfter is within its MaxWait; 0 otherwise.
	Place int64
	// Unknown is true if no issuer of the quota could answer.
	Unknown bool
	// Grant is set if Allowed is true, unless the issuer is of an older build. Issuer is
	// the name of the issuer.
	Grant  QuotaGrant
	Issuer string
}

// QuotaIssuer is an instance that issues a part (a shard) of a workspace's
// quota.
type QuotaIssuer struct {
	// Name is the instance's name.
	Name string
	// Remote is nil if the issuer is this instance.
	Remote RemoteQuota
}

// RemoteQuota sends requests for quota to another instance.
type RemoteQuota interface {
	// AskQuota requests quota for one operation. An error means that no answer came;
	// the issuer may still have counted the operation. It is an *UnsupportedError if
	// the instance has no such method.
	AskQuota(ctx context.Context, r QuotaRequest) (QuotaDecision, error)
	// ReturnQuota gives quota back.
	ReturnQuota(ctx context.Context, workspace string, g QuotaGrant) error
}

// UnsupportedError reports a method that another instance does not have, because it is
// of an older build or the method is not configured there.
type UnsupportedError struct{ Method string }

func (e *UnsupportedError) Error() string { return "the instance has no method " + e.Method }

// QuotaIssuers selects the issuers of a workspace's quota.
type QuotaIssuers interface {
	// QuotaIssuers returns the reachable issuers of a workspace's quota, in the
	// order in which this instance asks them: those of its own data centre, or
	// those of the others if remote is true.
	QuotaIssuers(workspace string, remote bool) []QuotaIssuer
	// QuotaListing returns what the list of instances says about this instance's shard.
	QuotaListing(workspace string) cwquota.Listing
}

// QuotaServer answers requests for the part of a workspace's quota that this
// instance issues.
type QuotaServer interface {
	// IssueQuota requests quota for one operation from this instance's part.
	IssueQuota(r QuotaRequest) QuotaDecision
	// ReturnIssued takes back quota that this instance has issued.
	ReturnIssued(workspace string, g QuotaGrant)
}
