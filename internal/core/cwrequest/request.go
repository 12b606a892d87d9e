// Package cwrequest makes a request run at most once.
//
// A caller may give a write a request key. The key is inserted into a table of
// the target within the write's own transaction, so it commits, replicates and
// survives a failover together with the write. When an answer is lost, the key
// tells what became of the request: if it is there, the recorded answer is
// given again; if it is not, a tombstone is written in its place, after which
// the lost request cannot commit any more, and "not run" is true.
//
// Whatever is found is used only once the primary's log up to there is on a
// majority at the primary's own term; until then it can still be dropped.
//
// The package holds the statements and the decisions; its user runs them.
package cwrequest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// MaxKeyLen is the longest request key accepted, in bytes.
const MaxKeyLen = 128

// MaxAnswerLen is the longest answer that is recorded, in bytes. A keyed
// request with a longer answer is rolled back.
const MaxAnswerLen = 64 << 10

// KeyError reports a request key that is refused.
type KeyError struct{ Why string }

func (e *KeyError) Error() string { return "request key " + e.Why }

// CheckKey checks a key that came from outside.
func CheckKey(key string) error {
	if key == "" {
		return &KeyError{Why: "is empty"}
	}
	if len(key) > MaxKeyLen {
		return &KeyError{Why: fmt.Sprintf("is longer than %d bytes", MaxKeyLen)}
	}
	for _, c := range key {
		if c < 0x20 || c == 0x7f {
			return &KeyError{Why: "has control characters"}
		}
	}
	return nil
}

// The statements on the table of request keys. Arguments are text.
const (
	// CreateTable makes the table; it does nothing if it is there.
	CreateTable = `CREATE TABLE IF NOT EXISTS cicadawalk_requests (` +
		`key text PRIMARY KEY, digest text NOT NULL, state text NOT NULL, answer text NOT NULL)`
	// Insert takes key, digest and attempt. The state is the attempt's id until
	// Finish, within the same transaction.
	Insert = `INSERT INTO cicadawalk_requests (key, digest, state, answer) VALUES ($1, $2, $3, '')`
	// Finish takes key and the encoded answer.
	Finish = `UPDATE cicadawalk_requests SET state = 'done', answer = $2 WHERE key = $1`
	// Lookup takes the key.
	Lookup = `SELECT digest, state, answer FROM cicadawalk_requests WHERE key = $1`
	// Bury takes key, digest and tombstone id.
	Bury = `INSERT INTO cicadawalk_requests (key, digest, state, answer) VALUES ($1, $2, $3, '')`
	// Unbury takes key and tombstone id. A repeat runs it first in its own
	// transaction.
	Unbury = `DELETE FROM cicadawalk_requests WHERE key = $1 AND state = $2`
)

// StateDone is the state of a request that committed.
const StateDone = "done"

// tombstonePrefix marks the states of tombstones.
const tombstonePrefix = "buried:"

// Tombstone returns the state that a tombstone with the unique id has.
func Tombstone(id string) string { return tombstonePrefix + id }

// Digest identifies the request that a key belongs to: its statements and
// arguments.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:", len(p))
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Row is what Lookup found.
type Row struct {
	Found  bool
	Digest string
	State  string
	Answer string
}

// Verdict is what a row means for a request.
type Verdict uint8

// The verdicts.
const (
	// Absent means that nothing is recorded.
	Absent Verdict = iota
	// Replay means that the request is done; give Row.Answer.
	Replay
	// Buried means that an earlier attempt certainly did not run and never
	// will; the request may run in place of the tombstone Row.State.
	Buried
	// Mismatch means that the key belongs to another request.
	Mismatch
)

// Judge says what a row means for the request with the digest.
func Judge(r Row, digest string) Verdict {
	switch {
	case !r.Found:
		return Absent
	case r.Digest != digest:
		return Mismatch
	case r.State == StateDone:
		return Replay
	default:
		return Buried
	}
}
