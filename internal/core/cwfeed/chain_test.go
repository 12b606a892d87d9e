package cwfeed

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// chainNode is an instance in a chain of feeders. It knows all changes up to
// knownUntil and takes its data as confirmed at confirmed.
type chainNode struct{ confirmed, knownUntil time.Time }

// Guards against an instance that takes its data as current while it lacks a
// change, for example the removal of a key. It comes about if queries and
// responses are delayed, or instances are suspended, anywhere in the chain. The
// time of confirmation must never be later than what the instance really knows.
func TestConfirmedTimeNeverExceedsKnowledge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		later := func(what string) {
			now = now.Add(time.Duration(rapid.Int64Range(0, 3000).Draw(t, what)) * time.Millisecond)
		}
		chain := make([]chainNode, 3)
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			i := rapid.IntRange(0, len(chain)-1).Draw(t, "instance")
			sent := now
			later("question")
			arrived := now
			later("held")
			if i == 0 {
				queryStore(t, &chain[0], sent, arrived, now)
			} else if from := chain[i-1]; !from.knownUntil.IsZero() {
				a := FeederResponse{Sent: sent, Held: now.Sub(arrived), Age: now.Sub(from.confirmed)}
				later("answer")
				chain[i].apply(a.Confirmed(), from.knownUntil)
			}
			for n, h := range chain {
				if !h.confirmed.IsZero() && h.confirmed.After(h.knownUntil) {
					t.Fatalf("instance %d takes its data as confirmed at %v and knows changes until %v", n, h.confirmed, h.knownUntil)
				}
			}
			later("pause")
		}
	})
}

// queryStore simulates a query of root that arrived at the store at the time
// arrived. The store responds at the time answered, or at the end of the wait if
// that is earlier, with all changes up to then.
func queryStore(t *rapid.T, root *chainNode, sent, arrived, answered time.Time) {
	wait := time.Duration(rapid.Int64Range(0, 3000).Draw(t, "wait")) * time.Millisecond
	a := StoreResponse{Sent: sent, Wait: wait, HasChanges: true}
	if answered.Sub(arrived) >= wait {
		// There were no changes until the end of the wait.
		answered, a.HasChanges = arrived.Add(wait), false
	}
	a.Received = answered.Add(time.Duration(rapid.Int64Range(0, 3000).Draw(t, "answer")) * time.Millisecond)
	root.apply(a.Confirmed(), answered)
}

// apply applies a response that contains all changes up to knownUntil.
func (h *chainNode) apply(confirmed, knownUntil time.Time) {
	if confirmed.After(h.confirmed) {
		h.confirmed = confirmed
	}
	if knownUntil.After(h.knownUntil) {
		h.knownUntil = knownUntil
	}
}
