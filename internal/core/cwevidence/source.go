package cwevidence

import (
	"maps"
	"time"
)

// Intervals and time limits of requests to observers.
const (
	// AnswerTimeout is how long an observer may take to answer.
	AnswerTimeout = 100 * time.Millisecond
	// AnswerWait is how long an observer may wait for the members before it answers. It
	// leaves the rest of AnswerTimeout for the path and for a busy observer.
	AnswerWait = 60 * time.Millisecond
	// MaxAnswerWait is the longest wait that a request may ask for.
	MaxAnswerWait = 250 * time.Millisecond
	// SilenceBackoff is how long an observer is not asked after it gave no usable answer,
	// and UnsupportedBackoff the same for an instance whose build lacks the method.
	SilenceBackoff     = 500 * time.Millisecond
	UnsupportedBackoff = 30 * time.Second
	// MaxReportAge is the age beyond which a report is not passed on. No read accepts
	// data that old on the word of another instance.
	MaxReportAge = 10 * time.Second
)

// Outcome is how a request to an observer ended.
type Outcome string

// The outcomes of a request.
const (
	// Used is an answer whose reports were sufficient.
	Used Outcome = "used"
	// TooOld is an answer whose reports were too old for the purpose.
	TooOld Outcome = "tooOld"
	// NoAnswer is a request without an answer in time.
	NoAnswer Outcome = "noAnswer"
	// NotObserving is an answer of an instance that doesn't hold the group.
	NotObserving Outcome = "notObserving"
	// Unsupported is the answer of a build without the method.
	Unsupported Outcome = "unsupported"
	// Malformed is an answer that can't be decoded or states impossible times.
	Malformed Outcome = "malformed"
)

// Answered reports whether the instance observes the group.
func (o Outcome) Answered() bool { return o == Used || o == TooOld }

// Candidate is a holder of the group in this data centre.
type Candidate struct {
	Name string
	// Self is true for this instance.
	Self bool
}

// Source chooses the observer to ask for one group. It is immutable. The zero Source has
// asked nobody.
type Source struct {
	// avoidUntil holds when instances that gave no usable answer may be asked again.
	avoidUntil map[string]time.Time
}

// Choose returns the index of the candidate to ask, given all candidates in rendezvous
// order. The result is false if this instance checks the members itself: it is the first
// holder left, or nobody is.
func (s Source) Choose(candidates []Candidate, now time.Time) (int, bool) {
	for i, c := range candidates {
		if c.Self {
			return 0, false
		}
		if !s.Avoids(c.Name, now) {
			return i, true
		}
	}
	return 0, false
}

// Avoids reports whether the named instance is not to be asked now.
func (s Source) Avoids(name string, now time.Time) bool { return now.Before(s.avoidUntil[name]) }

// WithOutcome returns the source after a request to the named instance ended now.
func (s Source) WithOutcome(name string, o Outcome, now time.Time) Source {
	_, avoided := s.avoidUntil[name]
	if o.Answered() && !avoided {
		return s
	}
	next := maps.Clone(s.avoidUntil)
	if next == nil {
		next = make(map[string]time.Time)
	}
	switch {
	case o.Answered():
		delete(next, name)
	case o == Unsupported:
		next[name] = now.Add(UnsupportedBackoff)
	default:
		next[name] = now.Add(SilenceBackoff)
	}
	return Source{avoidUntil: next}
}
