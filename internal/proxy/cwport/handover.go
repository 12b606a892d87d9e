package cwport

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Handover is one statement that an instance hands to a holder of its group,
// with all that the holder needs of the caller's session.
type Handover struct {
	// Transaction names the caller's transaction; empty for a statement by
	// itself. It is unique among all instances.
	Transaction string
	// Begin is the verb that opened the transaction, in its first statement;
	// Unknown after that.
	Begin cwstatement.Verb
	// Entry is what the caller's own instance knows of the entry, so that a
	// holder with an older catalogue serves it no other way. It has one group.
	Entry cwcatalogue.Entry
	// Workspace is the caller's, which its own instance knows by its key; empty
	// if it has none.
	Workspace string
	Statement cwstatement.Statement
	// Prepared is what an Execute names; nil for others.
	Prepared *Prepared
	// Values are the session's settings.
	Values map[string]string
	// Seen is what the session has written in the group.
	Seen cwgroup.LogPosition
	// Elapsed is how long ago the statement came.
	Elapsed time.Duration
}

// Prepared is a prepared statement of a session.
type Prepared struct {
	Shape  string
	Writes bool
}

// Handed is what a holder answers.
type Handed struct {
	Answer cwstatement.Response
	// Wrote is the mark of a commit of this statement; zero if it was none.
	Wrote cwgroup.LogPosition
	// Elsewhere is true if nothing ran because of the holder's own state, and
	// another one may serve the statement.
	Elsewhere bool
}

// Holder is another instance that runs statements of a group.
type Holder interface {
	// Name returns the instance's name.
	Name() string
	// Hand runs a statement there. A *LostError means that there is no answer.
	Hand(ctx context.Context, h Handover) (Handed, error)
}

// Holders tells who holds groups.
type Holders interface {
	// Holder returns who runs a group's statements, except those tried; false
	// if this instance does.
	Holder(group string, d cwholder.TargetCapacity, tried []string) (Holder, bool)
	// Connect gets ready to hand over a group's statements.
	Connect(group string, d cwholder.TargetCapacity)
	// Holds reports whether this instance holds the group, and its place among
	// the holders.
	Holds(group string, d cwholder.TargetCapacity) (place int, ok bool)
}

// LostError reports a statement that was handed over and got no answer. It may
// have run unless NotSent is true.
type LostError struct {
	Holder  string
	NotSent bool
	Cause   error
}

func (e *LostError) Error() string {
	return "no answer from holder " + e.Holder + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }
