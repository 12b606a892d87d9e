// Package cwplatform defines the interfaces to the services of the platform: a
// transactional table, an object store, and a list of live and leaving instances, which
// is updated with a delay.
//
// The interfaces are Table, Objects and Instances. Client implements them over HTTP with
// conditional requests (RFC 9110, sections 8.8.3 and 13). To use another service,
// only Client has to be replaced.
//
// There is an error type for each way in which a change can fail. After a ConflictError
// or an UnavailableError the change certainly did not take effect. After an UnknownError
// it may have taken effect, and the caller must read the rows before doing anything
// else.
package cwplatform

import (
	"context"
	"fmt"
)

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// ETag is the entity tag of the row's version.
	ETag string
}

// Condition is a condition of a change: the row has this entity tag, or does not exist
// if the tag is empty.
type Condition struct {
	Key  string
	ETag string
}

// RowWrite writes a row.
type RowWrite struct {
	Key   string
	Value []byte
}

// Change is a conditional transaction. All writes take effect if all conditions hold,
// and otherwise none of them.
type Change struct {
	Expect []Condition
	Put    []RowWrite
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns a row, or a *NotFoundError if it does not exist. Other errors are
	// of type *UnavailableError.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose key begins with the prefix, ordered by key.
	// Errors are of type *UnavailableError.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies a change. Errors are of type *ConflictError,
	// *UnavailableError or *UnknownError.
	Commit(ctx context.Context, c Change) error
}

// Objects is the platform's object store. Objects are never modified.
type Objects interface {
	// GetObject returns an object, or a *NotFoundError if it does not exist. Other
	// errors are of type *UnavailableError.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// PutObject writes an object. It does not change an object that exists already,
	// so the call can be repeated after a lost response. Errors are of type
	// *UnavailableError or *UnknownError.
	PutObject(ctx context.Context, key string, value []byte) error
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances.
type Instance struct {
	ID         string
	DataCentre string
	// Peer is the IP address and port for connections from other proxies.
	Peer  string
	State InstanceState
}

// Instances provides the platform's list of instances.
type Instances interface {
	// Instances returns the list, which is updated with a delay.
	Instances(ctx context.Context) ([]Instance, error)
}

// NotFoundError reports a row or an object that does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("the table has no row %q", e.Key) }

// ConflictError reports a change whose condition did not hold. The change did not take
// effect.
type ConflictError struct{ Key string }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q was changed by someone else", e.Key)
}

// UnavailableError reports a failed request that certainly did not take effect.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return "the platform is away: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError reports a change whose response was lost. It may have taken effect.
type UnknownError struct{ Cause error }

func (e *UnknownError) Error() string {
	return "the platform's answer was lost, the change may have taken effect: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// StatusError reports an unexpected HTTP status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }
