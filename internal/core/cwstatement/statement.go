// Package cwstatement defines the protocol-independent requests of callers and
// responses of targets.
//
// A caller's session sends one Statement at a time. The engine translates it into
// one or more Commands for a target, and the target's Responses into one Response
// for the caller. Codecs on the caller's side and on the target's side of the
// engine encode and decode these types for a wire protocol.
package cwstatement

import (
	"slices"
	"strconv"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Verb is the operation of a statement.
type Verb uint8

// The verbs.
const (
	// UnknownVerb is a statement that the codec could not parse.
	UnknownVerb Verb = iota
	// Begin begins a read-write transaction.
	Begin
	// BeginRead begins a read-only transaction.
	BeginRead
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and discards its writes.
	Rollback
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// Set changes the value of a session setting.
	Set
	// Prepare defines a prepared statement.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate discards a prepared statement.
	Deallocate
	// Reset discards all session settings and prepared statements. Only the
	// engine sends it.
	Reset
)

// verbNames are the names of the verbs in logs and messages, by value.
var verbNames = [...]string{
	"unknown", "begin", "beginRead", "commit", "rollback", "read", "write",
	"set", "prepare", "execute", "deallocate", "reset",
}

// String returns the verb's name in logs and messages.
func (v Verb) String() string { return verbNames[v] }

// ParseVerb returns the verb with the given name, or Unknown if there is none.
func ParseVerb(name string) Verb { return Verb(max(0, slices.Index(verbNames[:], name))) }

// Statement is a request of a caller.
type Statement struct {
	// ID is the identifier that the caller gave the statement. It is passed to
	// the target unchanged.
	ID   string
	Verb Verb
	// Text is the statement as the caller wrote it.
	Text string
	// Name is the name of the setting for Set, and that of the prepared statement
	// for Prepare, Execute and Deallocate.
	Name string
	// Args is the text that follows the name: the value for Set, the shape for
	// Prepare, and the item and data for Execute.
	Args string
	// Writes is true for a Prepare of a statement that writes.
	Writes bool
}

// Command is a request that the engine sends to a target.
type Command struct {
	// ID is the identifier of the caller's statement, or empty if the command
	// comes from the engine itself.
	ID   string
	Verb Verb
	// Text is the caller's text of a statement that is passed on unchanged. It is
	// used if Name is empty.
	Text string
	// Name, Args and Writes have the same meaning as in Statement.
	Name, Args string
	Writes     bool
	// Floor is the log position that the target's log must have reached before the
	// target runs a read or begins a transaction. The zero LogPosition sets no
	// condition.
	Floor cwgroup.LogPosition
}

// TransactionState is the transaction state of a session after a response.
type TransactionState uint8

// The transaction states of a session.
const (
	// Idle means that no transaction is open.
	Idle TransactionState = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// InFailedTransaction means that the open transaction has failed. It can only
	// be ended.
	InFailedTransaction
)

// stateNames are the names of the states in messages, by value.
var stateNames = [...]string{"idle", "open", "failed"}

// String returns the state's name in messages.
func (s TransactionState) String() string { return stateNames[s] }

// ParseState returns the state with the given name. The second result is false if
// there is none.
func ParseState(name string) (TransactionState, bool) {
	i := slices.Index(stateNames[:], name)
	return TransactionState(max(0, i)), i >= 0
}

// Code is the outcome of a statement. The zero Code is success.
type Code uint8

// The outcomes of a statement. NoEffect and NotRun tell which of them guarantee
// that the statement had no lasting effect or did not run.
const (
	// OK means that the statement succeeded.
	OK Code = iota
	// Busy means that nothing ran because too many statements are in progress.
	Busy
	// Aborted means that the transaction has ended and none of its writes is
	// kept.
	Aborted
	// Behind means that the target's log has not reached the floor yet. Nothing
	// ran.
	Behind
	// NotPrimary means that the target accepts no writes. Nothing ran.
	NotPrimary
	// WrongTarget means that the database at the target's address is another one.
	WrongTarget
	// TooManyConnections means that the target accepts no further connections.
	TooManyConnections
	// NotPrepared means that the target doesn't have the prepared statement.
	NotPrepared
	// RunFailed means that the statement ran and failed.
	RunFailed
	// TimedOut means that there was no response in time. The statement may have
	// run.
	TimedOut
	// Unresolved means that it is unknown whether a commit took effect.
	Unresolved
	// Malformed means that the statement cannot be parsed or is not allowed in
	// the current state.
	Malformed
	// NoDatabase means that the catalogue has no entry for the database.
	NoDatabase
	// Unauthorised means that the caller's key is unknown.
	Unauthorised
	// UnrecognisedCode stands for any code that this program doesn't know. It
	// guarantees nothing.
	UnrecognisedCode
)

// codeNames are the names of the codes in messages, logs and metrics, by value.
var codeNames = [...]string{
	"ok", "busy", "aborted", "behind", "notPrimary", "wrongTarget", "tooManyConnections",
	"notPrepared", "runFailed", "timedOut", "unresolved", "malformed", "noDatabase", "unauthorised", "other",
}

// String returns the code's name in messages, logs and metrics.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "code" + strconv.Itoa(int(c))
}

// ParseCode returns the code with the given name, or UnrecognisedCode if there is
// none.
func ParseCode(name string) Code {
	if i := slices.Index(codeNames[:], name); i >= 0 {
		return Code(i)
	}
	return UnrecognisedCode
}

// NotRun reports whether the code, in the response of a target, means that the
// statement did not run.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Behind, NotPrimary, WrongTarget, TooManyConnections, NotPrepared:
		return true
	}
	return false
}

// NoEffect reports whether the code guarantees to a caller that none of the
// effects of its statement or transaction is kept.
func (c Code) NoEffect() bool {
	switch c {
	case Busy, Aborted, Behind, NotPrimary, WrongTarget, TooManyConnections:
		return true
	}
	return false
}

// Response is the response to a statement or a command.
type Response struct {
	Rows []string
	// Proof is the target's signature of what it ran. It is empty if the engine
	// answered without a target.
	Proof string
	Code  Code
	// Detail explains a failure to the caller.
	Detail string
	State  TransactionState
	// LogEnd is the end of the target's log at the time of the response; zero if the
	// target did not report it.
	LogEnd cwgroup.LogPosition
}

// Failure returns a response with a code and its explanation.
func Failure(c Code, detail string) Response { return Response{Code: c, Detail: detail} }

// RetryLater returns a response to a statement that did not run. Its detail
// contains the reason why, notRun=true, and the time after which a retry may
// succeed, in milliseconds and at least 1.
func RetryLater(c Code, why string, after time.Duration) Response {
	return Failure(c, why+" notRun=true retryAfterMs="+strconv.FormatInt(max(after, time.Millisecond).Milliseconds(), 10))
}

// WithState returns a copy of the response with another transaction state.
func (a Response) WithState(s TransactionState) Response {
	a.State = s
	return a
}

// Health is the status that a target reports about itself.
type Health struct {
	Role cwgroup.Role
	// Term is the term of the target's log.
	Term cwgroup.Term
	// LogEnd is the end of the target's log.
	LogEnd cwgroup.LogPosition
	// FencedTerm is the term for which the target has been fenced and stopped
	// replicating; zero if it replicates.
	FencedTerm cwgroup.Term
	// Lag is the replication lag of the target's data, as measured by the target.
	Lag time.Duration
	// Busy is the number of statements in progress at the target.
	Busy int
	// Connections is the number of connections to the target from all clients.
	Connections int
}
