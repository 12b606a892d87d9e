// Package cwrequestkey implements request keys (idempotency keys), with which a
// request runs at most once.
//
// A caller may send a request key with a write. The key is inserted into a table of
// the target in the write's own transaction, so it is committed, replicated and
// kept across a failover together with the write. If the response to the caller is
// lost, the key shows the outcome: if the key is in the table, the recorded
// response is sent again; if it is not, a tombstone is inserted in its place. After
// that the lost request can no longer commit, so it is certain that it did not run.
//
// A row that is found may be used only once a majority of the members, in the
// primary's own term, has the primary's log up to that row. Until then the row can
// still be lost in a failover.
//
// The package holds the SQL statements and the decisions; the caller runs the
// statements.
package cwrequestkey

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// MaxKeyLen is the maximum length of a request key in bytes.
const MaxKeyLen = 128

// MaxAnswerLen is the maximum length of a recorded response in bytes. A request
// with a key whose response is longer is rolled back.
const MaxAnswerLen = 64 << 10

// KeyError reports an invalid request key.
type KeyError struct{ Reason string }

func (e *KeyError) Error() string { return "request key " + e.Reason }

// CheckKey checks a key received from a caller. It returns a *KeyError if the key
// is empty, longer than MaxKeyLen or contains control characters.
func CheckKey(key string) error {
	if key == "" {
		return &KeyError{Reason: "is empty"}
	}
	if len(key) > MaxKeyLen {
		return &KeyError{Reason: fmt.Sprintf("is longer than %d bytes", MaxKeyLen)}
	}
	for _, c := range key {
		if c < 0x20 || c == 0x7f {
			return &KeyError{Reason: "has control characters"}
		}
	}
	return nil
}

// SQL statements for the table of request keys. All arguments are text.
const (
	// CreateTable creates the table if it does not exist.
	CreateTable = `CREATE TABLE IF NOT EXISTS cicadawalk_requests (` +
		`key text PRIMARY KEY, digest text NOT NULL, state text NOT NULL, answer text NOT NULL)`
	// InsertKey takes the key, the digest and a state that applies until
	// RecordAnswer, which runs in the same transaction.
	InsertKey = `INSERT INTO cicadawalk_requests (key, digest, state, answer) VALUES ($1, $2, $3, '')`
	// RecordAnswer takes the key and the encoded response.
	RecordAnswer = `UPDATE cicadawalk_requests SET state = 'done', answer = $2 WHERE key = $1`
	// SelectKey takes the key.
	SelectKey = `SELECT digest, state, answer FROM cicadawalk_requests WHERE key = $1`
	// InsertTombstone inserts a tombstone. It takes the key, the digest and the
	// state from TombstoneState.
	InsertTombstone = `INSERT INTO cicadawalk_requests (key, digest, state, answer) VALUES ($1, $2, $3, '')`
	// DeleteTombstone deletes a tombstone. It takes the key and the tombstone's
	// state. A repeated request runs it first in its own transaction.
	DeleteTombstone = `DELETE FROM cicadawalk_requests WHERE key = $1 AND state = $2`
)

// StateDone is the state of a request that has committed.
const StateDone = "done"

// tombstonePrefix is the prefix of the states of tombstones.
const tombstonePrefix = "buried:"

// TombstoneState returns the state of a tombstone; id must be unique.
func TombstoneState(id string) string { return tombstonePrefix + id }

// Digest returns a digest of a request, made of its statements and arguments. It is
// used to detect that a key is reused for another request. It is the hexadecimal
// form of the first 16 bytes of a SHA-256 hash.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:", len(p))
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Row is the result of SelectKey.
type Row struct {
	Found  bool
	Digest string
	State  string
	Answer string
}

// RowMeaning is the meaning of a row for a request.
type RowMeaning uint8

// The possible meanings of a row.
const (
	// Absent means that there is no row for the key.
	Absent RowMeaning = iota
	// Replay means that the request has committed; send Row.Answer again.
	Replay
	// Tombstoned means that an earlier attempt certainly did not run and never will.
	// The request may run and replace the tombstone, whose state is Row.State.
	Tombstoned
	// Mismatch means that the key belongs to another request.
	Mismatch
)

// Classify returns the meaning of a row for the request with the given digest.
func Classify(r Row, digest string) RowMeaning {
	switch {
	case !r.Found:
		return Absent
	case r.Digest != digest:
		return Mismatch
	case r.State == StateDone:
		return Replay
	default:
		return Tombstoned
	}
}
