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
	// unusableMemory is how long after its backoff an instance that was not asked again is
	// remembered. Instances that have ended would otherwise be remembered for good.
	unusableMemory = time.Minute
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
	// unusable holds the instances whose last request had no usable answer.
	unusable map[string]unusableObserver
}

// unusableObserver is an instance whose last request had no usable answer.
type unusableObserver struct {
	outcome Outcome
	// until is when the instance may be asked again.
	until time.Time
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
func (s Source) Avoids(name string, now time.Time) bool { return now.Before(s.unusable[name].until) }

// WithOutcome returns the source after a request to the named instance ended now. The
// second result is true if the instance is no longer usable, or usable again, or unusable
// for another reason than before.
func (s Source) WithOutcome(name string, o Outcome, now time.Time) (Source, bool) {
	before, wasUnusable := s.unusable[name]
	if o.Answered() && !wasUnusable {
		return s, false
	}
	next := maps.Clone(s.unusable)
	if o.Answered() {
		delete(next, name)
		return Source{unusable: next}, true
	}
	if next == nil {
		next = make(map[string]unusableObserver)
	}
	pause := SilenceBackoff
	if o == Unsupported {
		pause = UnsupportedBackoff
	}
	maps.DeleteFunc(next, func(_ string, u unusableObserver) bool { return now.Sub(u.until) > unusableMemory })
	next[name] = unusableObserver{outcome: o, until: now.Add(pause)}
	return Source{unusable: next}, before.outcome != o
}
