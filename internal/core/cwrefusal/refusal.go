// Package cwrefusal defines the final answer to a request that did not
// succeed because of the system rather than because of the request.
//
// There are exactly two kinds. A refusal that is not run promises that nothing
// took effect, and says when to come back. A refusal whose outcome is unknown
// promises nothing: the request may or may not have taken effect. There is
// nothing in between, so a caller can always decide whether it may repeat.
package cwrefusal

import (
	"errors"
	"fmt"
	"time"
)

// Code is an SQLSTATE of the PostgreSQL manual, appendix A.
type Code string

// The codes that the system answers with.
const (
	// SerializationFailure means that the transaction is over, did not take
	// effect, and may be repeated as a whole.
	SerializationFailure Code = "40001"
	// TooManyConnections means that a limit was reached before anything ran.
	TooManyConnections Code = "53300"
	// CannotConnectNow means that no target can serve the request at present.
	CannotConnectNow Code = "57P03"
	// ResolutionUnknown means that the request may have taken effect.
	ResolutionUnknown Code = "08007"
	// FeatureNotSupported means that a pool of connections cannot serve it.
	FeatureNotSupported Code = "0A000"
	// UndefinedDatabase means that the catalogue has no such entry.
	UndefinedDatabase Code = "3D000"
	// InvalidParameter means that a setting has a value outside its range.
	InvalidParameter Code = "22023"
	// ProtocolViolation means that a message was malformed or out of order.
	ProtocolViolation Code = "08P01"
	// LimitExceeded means that a size read from outside is over its bound.
	LimitExceeded Code = "54000"
	// QueryCanceled means that the caller asked for the statement to end.
	QueryCanceled Code = "57014"
	// DuplicateRequest means that the request key was already used, by another
	// statement or by a transaction whose answer cannot be given again.
	DuplicateRequest Code = "23505"
)

// Refusal is the answer to a request that the system gave up on.
type Refusal struct {
	Code    Code
	Message string
	// NotRun is true only if it is certain that nothing took effect.
	NotRun bool
	// RetryAfter is the time after which a repeat may succeed. It is zero where
	// a repeat cannot help.
	RetryAfter time.Duration
	// Hint tells the caller what to do; it may be empty.
	Hint string
}

// NotRun returns a refusal of a request that certainly did not take effect.
func NotRun(c Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: c, Message: fmt.Sprintf(format, args...), NotRun: true, RetryAfter: retryAfter}
}

// Unknown returns a refusal of a request that may have taken effect.
func Unknown(format string, args ...any) *Refusal {
	return &Refusal{
		Code:    ResolutionUnknown,
		Message: fmt.Sprintf(format, args...),
		Hint:    "Look the record up before repeating, or send requests with cicadawalk.requestKey.",
	}
}

// WithHint returns a copy of r that carries the hint.
func (r Refusal) WithHint(hint string) *Refusal {
	r.Hint = hint
	return &r
}

// Error formats the refusal for logs.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// Detail returns the machine-readable part of the answer.
func (r *Refusal) Detail() string {
	if !r.NotRun {
		return "notRun=unknown"
	}
	return fmt.Sprintf("notRun=true retryAfterMs=%d", r.RetryAfter.Milliseconds())
}

// As returns the refusal in the chain of err, or nil.
func As(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
