package cwquota

import "time"

// Times of the record of window mode in the platform's store.
const (
	// Lease is how long window mode may be used after a write of the record. After a
	// restart within that time of its last use, a workspace is nearly without quota for
	// one window; a shorter lease costs more writes.
	Lease = 10 * time.Second
	// renewBefore is how long before its end a lease is renewed. It leaves time for
	// several attempts if the store is slow.
	renewBefore = Lease / 2
	// clearDelay is how much later than the first issuer the others clear a row: time for
	// a few attempts, so that they seldom write at once.
	clearDelay = 5 * time.Second
)

// Record is the content of a workspace's row in the store.
type Record struct {
	// Active is true if an issuer may use window mode.
	Active bool
	// Version changes with each write of the row; empty if there is no row.
	Version string
}

// Attempt is an attempt to get a lease: the row was read, and then written on the
// condition that it had not changed.
type Attempt struct {
	// ReadAt and SentAt are when the requests for the read and for the write were sent.
	ReadAt, SentAt time.Time
	Read           Record
}

// LeaseIfWritten returns the end of the lease if the write succeeded.
func (a Attempt) LeaseIfWritten() time.Time { return a.SentAt.Add(Lease) }

// LeaseIfRead returns the end of the lease if the write was refused, or its answer was
// lost, and the row was then read again; false if there is none.
//
// An active row with another version was written after the first read, by whomever.
// Nobody can have seen that version before the first read, so it isn't cleared before a
// lease from the first read has ended. Issuers of one workspace that write at the same
// time thus need one write for all of them.
func (a Attempt) LeaseIfRead(again Record) (time.Time, bool) {
	if !again.Active || again.Version == a.Read.Version {
		return time.Time{}, false
	}
	return a.ReadAt.Add(Lease), true
}

// Watch is an active row that an issuer has seen and doesn't renew.
type Watch struct {
	// Version is that of the row, SeenAt when it was received.
	Version string
	SeenAt  time.Time
}

// ClearAt returns when the row may be cleared if it still has the same version: no
// issuer has a lease then, nor a token in its window. The first issuer of the workspace
// does so, and the others only if it has not done so after clearDelay.
func (w Watch) ClearAt(window time.Duration, firstIssuer bool) time.Time {
	idle := Lease + window + MaxDelay(window)
	if !firstIssuer {
		idle += clearDelay
	}
	return w.SeenAt.Add(idle)
}
