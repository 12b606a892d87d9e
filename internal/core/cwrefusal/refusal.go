// Package cwrefusal defines the final error of a request that failed because of the
// state of the system rather than because of the request itself.
//
// There are exactly two kinds. A refusal with NotRun set guarantees that the
// request took no effect and says when to retry. Any other refusal has an unknown
// outcome: the request may or may not have taken effect. There is no third kind, so
// a caller can always decide whether it may repeat the request.
package cwrefusal

import (
	"errors"
	"fmt"
	"time"
)

// Code is an SQLSTATE code as listed in appendix A of the PostgreSQL manual.
type Code string

// The SQLSTATE codes used by the system.
const (
	// SerializationFailure means that the transaction has ended without taking
	// effect and may be repeated as a whole.
	SerializationFailure Code = "40001"
	// TooManyConnections means that a limit was reached before anything ran.
	TooManyConnections Code = "53300"
	// CannotConnectNow means that currently no target can serve the request.
	CannotConnectNow Code = "57P03"
	// ResolutionUnknown means that the request may have taken effect.
	ResolutionUnknown Code = "08007"
	// FeatureNotSupported means that the feature cannot be supported with pooled
	// connections.
	FeatureNotSupported Code = "0A000"
	// AdminShutdown means that the proxy is shutting down.
	AdminShutdown Code = "57P01"
	// UndefinedDatabase means that the catalogue has no such database.
	UndefinedDatabase Code = "3D000"
	// InvalidParameter means that the value of a setting is outside its range.
	InvalidParameter Code = "22023"
	// ProtocolViolation means that a message was malformed or out of order.
	ProtocolViolation Code = "08P01"
	// LimitExceeded means that the size of an input exceeds its limit.
	LimitExceeded Code = "54000"
	// QueryCanceled means that the caller cancelled the statement.
	QueryCanceled Code = "57014"
	// OutOfMemory means that there is no memory for the request at the moment.
	OutOfMemory Code = "53200"
	// DuplicateRequest means that the request key has already been used, by another
	// statement or by a transaction whose response cannot be sent again.
	DuplicateRequest Code = "23505"
)

// Refusal is the final error of a request.
type Refusal struct {
	Code    Code
	Message string
	// NotRun is true only if it is certain that the request took no effect.
	NotRun bool
	// RetryAfter is the time after which a retry may succeed. It is zero if a retry
	// cannot help.
	RetryAfter time.Duration
	// Hint tells the caller what to do; it may be empty.
	Hint string
}

// NotRun returns a refusal of a request that certainly took no effect.
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

// WithHint returns a copy of r with the given hint.
func (r Refusal) WithHint(hint string) *Refusal {
	r.Hint = hint
	return &r
}

// Error formats the refusal for logs.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// Detail returns the machine-readable detail of the error, as sent to the caller.
func (r *Refusal) Detail() string {
	if !r.NotRun {
		return "notRun=unknown"
	}
	return fmt.Sprintf("notRun=true retryAfterMs=%d", r.RetryAfter.Milliseconds())
}

// As returns the first Refusal in the chain of err, or nil.
func As(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
