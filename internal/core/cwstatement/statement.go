// Package cwstatement models what callers ask and what targets answer, without
// a byte of any protocol.
//
// A caller's session sends one Statement at a time. The engine turns it into
// Commands for a target and the target's Answers into one Answer for the
// caller. Codecs before and behind the engine translate both from and to a
// protocol.
package cwstatement

import (
	"slices"
	"strconv"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Verb says what a statement does.
type Verb uint8

// The verbs.
const (
	// Unknown is a statement that the codec could not read.
	Unknown Verb = iota
	// Begin opens a transaction that may write.
	Begin
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and drops its writes.
	Rollback
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// Set gives a session setting a value.
	Set
	// Prepare names a statement for later.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate forgets a prepared statement.
	Deallocate
	// Reset forgets all settings and prepared statements. Only the engine
	// sends it.
	Reset
)

var verbNames = [...]string{
	"unknown", "begin", "beginRead", "commit", "rollback", "read", "write",
	"set", "prepare", "execute", "deallocate", "reset",
}

// String names the verb for logs and messages.
func (v Verb) String() string { return verbNames[v] }

// VerbNamed returns the verb with the name, or Unknown.
func VerbNamed(name string) Verb { return Verb(max(0, slices.Index(verbNames[:], name))) }

// Statement is what a caller asks.
type Statement struct {
	// ID is the caller's name for this statement; it goes to the target
	// unchanged.
	ID   string
	Verb Verb
	// Text is the statement as the caller wrote it.
	Text string
	// Name is the setting of Set and the prepared statement of Prepare, Execute
	// and Deallocate.
	Name string
	// Rest is what follows the name: the value of Set, the shape of Prepare,
	// the item and data of Execute.
	Rest string
	// Writes is true for a Prepare of a statement that writes.
	Writes bool
}

// Command is what the engine sends to a target.
type Command struct {
	// ID is the caller's, or empty for a statement of the engine's own.
	ID   string
	Verb Verb
	// Text is the caller's text for statements that go unchanged; it is used
	// if Name is empty.
	Text string
	// Name, Rest and Writes are those of a Statement.
	Name, Rest string
	Writes     bool
	// Floor is the mark that the target's log must hold before it runs a read
	// or begins a transaction. The zero Mark asks for nothing.
	Floor cwgroup.Mark
}

// State is where a session stands after an answer.
type State uint8

// The states of a session.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// Open means that a transaction is open.
	Open
	// Failed means that the open transaction failed; it can only be ended.
	Failed
)

var stateNames = [...]string{"idle", "open", "failed"}

// String names the state for messages.
func (s State) String() string { return stateNames[s] }

// StateNamed returns the state with the name, or false.
func StateNamed(name string) (State, bool) {
	i := slices.Index(stateNames[:], name)
	return State(max(0, i)), i >= 0
}

// Code says how a statement failed. The zero Code is success.
type Code uint8

// The codes. Some of them promise that nothing of the caller's attempt is kept.
const (
	OK Code = iota
	// Busy means that nothing ran because too much runs already.
	Busy
	// Aborted means that the transaction is over and nothing of it is kept.
	Aborted
	// Behind means that the target's log lacks the floor; nothing ran.
	Behind
	// NotPrimary means that the target takes no writes; nothing ran.
	NotPrimary
	// WrongTarget means that another database has this address.
	WrongTarget
	// TooManyConnections means that the target takes no more connections.
	TooManyConnections
	// NotPrepared means that the target has no such prepared statement.
	NotPrepared
	// RunFailed means that the statement ran and failed.
	RunFailed
	// TimedOut means that the statement may have run.
	TimedOut
	// Unresolved means that a commit may have taken effect or not.
	Unresolved
	// Malformed means that the statement cannot be read or has no place here.
	Malformed
	// NoDatabase means that the catalogue has no such entry.
	NoDatabase
	// Unauthorised means that the caller's key is not known.
	Unauthorised
	// OtherCode is a code that this program doesn't know. It promises nothing.
	OtherCode
)

var codeNames = [...]string{
	"ok", "busy", "aborted", "behind", "notPrimary", "wrongTarget", "tooManyConnections",
	"notPrepared", "runFailed", "timedOut", "unresolved", "malformed", "noDatabase", "unauthorised", "other",
}

// String names the code for logs and metrics.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "code" + strconv.Itoa(int(c))
}

// CodeNamed returns the code with the name, or OtherCode.
func CodeNamed(name string) Code {
	if i := slices.Index(codeNames[:], name); i >= 0 {
		return Code(i)
	}
	return OtherCode
}

// NotRun reports whether the code, from a target, means that the statement did
// not run.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Behind, NotPrimary, WrongTarget, TooManyConnections, NotPrepared:
		return true
	}
	return false
}

// Promises reports whether the code promises a caller that nothing of its
// attempt is kept.
func (c Code) Promises() bool {
	switch c {
	case Busy, Aborted, Behind, NotPrimary, WrongTarget, TooManyConnections:
		return true
	}
	return false
}

// Answer is what comes back for a statement or command.
type Answer struct {
	Rows []string
	// Proof is the target's signature of what it ran. It is empty for what the
	// engine answered by itself.
	Proof string
	Code  Code
	// Detail explains a failure.
	Detail string
	State  State
	// Mark is where the target's log stood; zero if it did not say.
	Mark cwgroup.Mark
}

// Failure returns the answer to a statement that failed.
func Failure(c Code, detail string) Answer { return Answer{Code: c, Detail: detail} }

// RetryLater returns the answer to a statement that did not run, with the time
// after which a repeat may succeed.
func RetryLater(c Code, why string, after time.Duration) Answer {
	return Failure(c, why+" notRun=true retryAfterMs="+strconv.FormatInt(max(after, time.Millisecond).Milliseconds(), 10))
}

// WithState returns a copy in the state.
func (a Answer) WithState(s State) Answer {
	a.State = s
	return a
}

// Health is what a target says about itself.
type Health struct {
	Role cwgroup.Role
	// Term is the term of the target's log.
	Term cwgroup.Term
	// Received is where its log ends.
	Received cwgroup.Mark
	// Fence is the term for which it stopped receiving; zero if it receives.
	Fence cwgroup.Term
	// Lag is how far its data is behind, by its own account.
	Lag time.Duration
	// Busy is the number of statements that it runs.
	Busy int
	// Connections is the number of connections that it has, from everybody.
	Connections int
}
