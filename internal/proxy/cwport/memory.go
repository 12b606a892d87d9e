package cwport

import (
	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Memory is the account of the memory that one party makes the instance hold.
type Memory interface {
	// Charge adds n bytes before they are taken. The error is a *cwmemory.ExceededError; nothing
	// may be taken then.
	Charge(k cwmemory.Kind, n int64) error
	// Release returns n bytes that are no longer referenced.
	Release(k cwmemory.Kind, n int64)
}

// NoRoomError reports a message that was read and dropped, since there was no memory for it. The
// session can go on.
type NoRoomError struct {
	// Statement is what could be read of the statement: its verb and the begin of its id.
	Statement cwstatement.Statement
	Cause     error
}

func (e *NoRoomError) Error() string { return e.Cause.Error() }

// Unwrap returns Cause.
func (e *NoRoomError) Unwrap() error { return e.Cause }

// AnswerTooLargeError reports an answer of a target for which there was no memory. It was read to its
// end and dropped, and the connection can be used as before. The command has run.
type AnswerTooLargeError struct {
	// Answer is the answer without its rows.
	Answer cwstatement.Response
	Cause  error
}

func (e *AnswerTooLargeError) Error() string { return "answer was dropped: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *AnswerTooLargeError) Unwrap() error { return e.Cause }
