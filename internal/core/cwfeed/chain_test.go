package cwfeed

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// hop is what an instance of a chain knows: all changes up to a time.
type hop struct{ confirmed, knows time.Time }

// A key is taken away, and an instance at the end of a chain of feeders says that
// its knowledge is young while it lacks the change. Questions and answers are
// held up and instances stand still anywhere on the way; what an instance takes as
// confirmed is never later than what it really knows.
func TestConfirmationIsNeverYoungerThanTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		later := func(what string) {
			now = now.Add(time.Duration(rapid.Int64Range(0, 3000).Draw(t, what)) * time.Millisecond)
		}
		chain := make([]hop, 3)
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			i := rapid.IntRange(0, len(chain)-1).Draw(t, "instance")
			sent := now
			later("question")
			came := now
			later("held")
			if i == 0 {
				askStore(t, &chain[0], sent, came, now)
			} else if from := chain[i-1]; !from.knows.IsZero() {
				a := FeederAnswer{Sent: sent, Held: now.Sub(came), Age: now.Sub(from.confirmed)}
				later("answer")
				chain[i].take(a.Confirmed(), from.knows)
			}
			for n, h := range chain {
				if !h.confirmed.IsZero() && h.confirmed.After(h.knows) {
					t.Fatalf("instance %d takes %v as confirmed and knows %v", n, h.confirmed, h.knows)
				}
			}
			later("pause")
		}
	})
}

// askStore is a question that came to the store at a time and was answered at
// another, with all that there was then.
func askStore(t *rapid.T, root *hop, sent, came, answered time.Time) {
	wait := time.Duration(rapid.Int64Range(0, 3000).Draw(t, "wait")) * time.Millisecond
	a := StoreAnswer{Sent: sent, Wait: wait, News: true}
	if answered.Sub(came) >= wait {
		// Nothing came until the end of the wait.
		answered, a.News = came.Add(wait), false
	}
	a.Answered = answered.Add(time.Duration(rapid.Int64Range(0, 3000).Draw(t, "answer")) * time.Millisecond)
	root.take(a.Confirmed(), answered)
}

// take takes an answer that tells all changes up to a time.
func (h *hop) take(confirmed, knows time.Time) {
	if confirmed.After(h.confirmed) {
		h.confirmed = confirmed
	}
	if knows.After(h.knows) {
		h.knows = knows
	}
}
