package cwport

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// ForwardRequest is one statement that an instance forwards to a holder of its group,
// with the state of the caller's session that the holder needs to run it.
type ForwardRequest struct {
	// Transaction identifies the caller's transaction, uniquely among all
	// instances; empty for a statement outside a transaction.
	Transaction string
	// Begin is the verb that opened the transaction, set with its first statement
	// only; UnknownVerb otherwise.
	Begin cwstatement.Verb
	// Entry is the catalogue entry as the caller's instance knows it, so that a
	// holder with an older catalogue applies the same contract. It has one group.
	Entry cwcatalogue.Entry
	// Workspace is the caller's workspace, which the caller's instance has
	// determined from the caller's key; empty if the caller has none.
	Workspace string
	Statement cwstatement.Statement
	// Prepared is the prepared statement that an Execute refers to; nil for other
	// verbs.
	Prepared *Prepared
	// Values are the session's settings.
	Values map[string]string
	// LastWrite is the log position of the session's last write to the group; zero if
	// it has written nothing there.
	LastWrite cwgroup.LogPosition
	// Elapsed is the time since the caller's instance received the statement.
	Elapsed time.Duration
	// Memory is the account of the statement at the instance that runs it, which closes it after
	// the answer; nil if nothing is charged. It is not a part of the message.
	Memory Memory
}

// Prepared is a prepared statement of a session.
type Prepared struct {
	// Text is the text that was prepared.
	Text string
	// Writes is true if the statement is a write.
	Writes bool
}

// ForwardResponse is a holder's answer to a ForwardRequest.
type ForwardResponse struct {
	Answer cwstatement.Response
	// CommitPosition is the log position of the commit that this statement made; zero if it
	// committed nothing.
	CommitPosition cwgroup.LogPosition
	// TryOtherHolder is true if nothing ran because of the holder's own state, so that
	// another holder may be able to run the statement.
	TryOtherHolder bool
	// Contended is true if statements wait for the group's members at the holder.
	Contended bool
	// NotRun is true if no statement of the operation has reached a target there, apart
	// from those that the target refused. It is false if the holder is of an older build.
	NotRun bool
	// Leaving is true if the holder is shutting down: it runs no further statements, apart
	// from those of open transactions.
	Leaving bool
}

// Holder is another instance that runs statements of a group.
type Holder interface {
	// Name returns the instance's name.
	Name() string
	// Forward forwards a statement and waits for the answer. The error is a
	// *NoResponseError if no answer came.
	Forward(ctx context.Context, h ForwardRequest) (ForwardResponse, error)
}

// Holders selects the instances that run the statements of a group.
type Holders interface {
	// Holder returns the instance to forward a group's statement to, other than
	// those in tried; false if this instance runs it itself.
	Holder(group string, d cwholder.TargetCapacity, tried []string) (Holder, bool)
	// Connect opens connections to the group's holders before a statement is to be
	// forwarded.
	Connect(group string, d cwholder.TargetCapacity)
	// HolderRank returns this instance's rank among the group's holders; false if it
	// doesn't hold the group.
	HolderRank(group string, d cwholder.TargetCapacity) (rank int, ok bool)
}

// WorkspaceHolders selects the holder for the statements of a workspace.
type WorkspaceHolders interface {
	// WorkspaceHolder is Holders.Holder for the statements of a workspace, which prefer
	// the same holder of a contended group at all instances.
	WorkspaceHolder(workspace, group string, d cwholder.TargetCapacity, tried []string) (Holder, bool)
}

// NoResponseError reports a forwarded statement without an answer. The statement may
// have run unless NotSent is true.
type NoResponseError struct {
	// Instance is the name of the instance that it was forwarded to.
	Instance string
	// NotSent is true if the statement certainly didn't run.
	NotSent bool
	Cause   error
}

func (e *NoResponseError) Error() string {
	return "no answer from holder " + e.Instance + ": " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }
