// Package cwplatform is the port to what the platform gives: a transactional
// table, an object store, and a lagging list of live and leaving instances.
//
// The ports are Table, Objects and Instances. Client implements them over HTTP with
// conditional requests (RFC 9110, sections 8.8.3 and 13). When the users name
// the real service, only Client changes.
//
// Every way in which a change can fail has a type. ConflictError and
// UnavailableError mean that the change certainly did not take effect.
// UnknownError means that it may have: read back before doing anything else.
package cwplatform

import (
	"context"
	"fmt"
)

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// ETag changes with each change of the row.
	ETag string
}

// Expect is a condition of a change: the row has this tag, or is absent if the
// tag is empty.
type Expect struct {
	Key  string
	ETag string
}

// Put sets a row.
type Put struct {
	Key   string
	Value []byte
}

// Change is one transaction: if every expectation holds, every put takes
// effect, and otherwise none does.
type Change struct {
	Expect []Expect
	Put    []Put
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns a row, or a NotFoundError.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose key begins with the prefix, by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit carries out a change.
	Commit(ctx context.Context, c Change) error
}

// Objects is the platform's object store. Objects are written once.
type Objects interface {
	// GetObject returns an object, or a NotFoundError.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// PutObject writes an object. One that is there already stays as it is, so
	// that repeating after a lost answer is harmless.
	PutObject(ctx context.Context, key string, value []byte) error
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of an instance.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list.
type Instance struct {
	ID         string
	DataCentre string
	// Peer is the IP address and port at which other proxies reach it.
	Peer  string
	State InstanceState
}

// Instances is the platform's list of instances. It lags.
type Instances interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// NotFoundError reports a row that is absent.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("the table has no row %q", e.Key) }

// ConflictError reports an expectation that did not hold.
type ConflictError struct{ Key string }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q was changed by someone else", e.Key)
}

// UnavailableError reports a request that certainly did not take effect.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return "the platform is away: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError reports a change whose answer was lost. It may have taken
// effect.
type UnknownError struct{ Cause error }

func (e *UnknownError) Error() string {
	return "the platform's answer was lost, the change may have taken effect: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// StatusError reports an HTTP status that was not expected.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }
