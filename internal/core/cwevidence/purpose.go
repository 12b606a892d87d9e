package cwevidence

import "time"

// Maximum ages of reports by purpose.
const (
	// UnsettledMaxAge applies while the primary is unknown or in doubt.
	UnsettledMaxAge = AskInterval
	// ConfirmationMaxAge applies to confirmations. A confirmation from a report of this
	// age is renewed no sooner than one from an own check expires.
	ConfirmationMaxAge = 350 * time.Millisecond
	// minSharedAge is the age below which a report is always requested from the member
	// itself: an answer that was passed on is rarely younger.
	minSharedAge = 20 * time.Millisecond
)

// ReadMaxAge returns the maximum age of reports that confirm the primary for reads with a
// maximum age of their data. The second result is false if only own checks are recent
// enough. The rest of the age is left for the time until the next confirmation.
func ReadMaxAge(data time.Duration) (time.Duration, bool) {
	d := min(data/4, ConfirmationMaxAge)
	return d, d >= minSharedAge
}

// SinceMaxAge returns the maximum age of reports that must be of a check after since. The
// second result is false if only own checks are recent enough.
func SinceMaxAge(since, now time.Time) (time.Duration, bool) {
	d := min(now.Sub(since), ConfirmationMaxAge)
	return d, d >= minSharedAge
}
