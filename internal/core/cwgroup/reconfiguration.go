package cwgroup

import (
	"slices"
	"time"
)

// PropagationTime is the longest time that a connected proxy takes to learn of a change of
// the listed members, plus a margin.
const PropagationTime = 4 * time.Second

// guessLifetime is how long an instance that starts in the middle of a change relies on what
// it takes for the earlier members. After a loss of all instances a group has to be served
// again within some 12 s, a change of primary included.
const guessLifetime = 2 * PropagationTime

// Reconfiguration follows how the members of a group change, for one proxy. It is
// immutable. The zero Reconfiguration is that of a group that was never listed.
//
// It prevents a record from being acknowledged on account of one set of members while a
// change of primary fences a majority of another one: members that leave and come, or
// receive nothing, make the two disjoint, and the record is lost. Each change begins with
// a joint phase, as in Raft: a member that is leaving no longer counts by itself, but for
// PropagationTime nothing is decided without a majority of the earlier members as well.
// There is no log that orders the changes, so an earlier configuration ends only when its
// leaving members are gone and a majority of the present one is known to have all that was
// acknowledged before; see WithSettled. Members that leave may stay listed for long. Until they
// are gone, a proxy that knows of no change may go on deciding by the earlier configuration, but
// only with members that have not ended.
type Reconfiguration struct {
	current Configuration
	// former are the earlier configurations that have not been settled, the oldest first.
	former []formerConfiguration
	// absent are the members of current that are not listed, the most recent last. A
	// member that did not announce its leaving keeps its place until another one takes it.
	absent []MemberID
	// leaving are the listed members that have announced that they leave.
	leaving []MemberID
}

// formerConfiguration is a configuration that was in force until replacedAt.
type formerConfiguration struct {
	Configuration
	replacedAt time.Time
	// decidesUntil is the time until which a proxy may have decided by it, also one that
	// is cut off from the platform but not from the members. It moves on while one of the
	// members is leaving and still listed, which is when leaving is true.
	decidesUntil time.Time
	leaving      bool
	// endedAt has, for each member that has ended and is not gone, when this proxy learnt of it.
	endedAt []time.Time
}

// withGone returns the configuration after everything that was acknowledged until then is settled.
func (f formerConfiguration) withGone(then time.Time) formerConfiguration {
	left := slices.DeleteFunc(slices.Clone(f.endedAt), func(at time.Time) bool { return !at.After(then) })
	f.Gone += len(f.endedAt) - len(left)
	f.Ended -= len(f.endedAt) - len(left)
	f.endedAt = left
	return f
}

// outdatedGuess reports whether a configuration of which it is not known which members it had
// need no longer be fenced: guessLifetime after it was found. A member that ended unseen would
// otherwise keep the group from a primary for good.
func (f formerConfiguration) outdatedGuess(now time.Time) bool {
	return f.Any > 0 && now.Sub(f.replacedAt) >= guessLifetime
}

// WithMembers returns the reconfiguration after exactly these members are listed. The group
// has size members, or len(staying) if that is more.
func (r Reconfiguration) WithMembers(staying, leaving []MemberID, size int, now time.Time) Reconfiguration {
	listed := slices.Concat(staying, leaving)
	r.absent = r.stillAbsent(listed, size-len(staying))
	r.leaving = slices.Clone(leaving)
	before := r.current
	r.current = newConfiguration(slices.Concat(staying, r.absent), size)
	former := slices.Clone(r.former)
	if !before.canDecide() && r.current.canDecide() && len(former) == 0 {
		before = r.unknownBefore(listed, size)
	}
	if before.canDecide() {
		former = append(former, formerConfiguration{Configuration: before, replacedAt: now, decidesUntil: now.Add(PropagationTime)})
	}
	r.former = nil
	present := SetOf(slices.Concat(listed, r.absent)...)
	for i, f := range former {
		listedBefore := len(f.Members)
		f.Configuration = f.withPresent(present)
		f.endedAt = slices.Concat(f.endedAt, slices.Repeat([]time.Time{now}, listedBefore-len(f.Members)))
		f.leaving = slices.ContainsFunc(leaving, f.Listed)
		if f.leaving && now.After(f.decidesUntil) {
			f.decidesUntil = now
		}
		replaced := slices.ContainsFunc(former[i+1:], func(o formerConfiguration) bool { return o.Equal(f.Configuration) })
		if len(f.Members) > 0 && !f.Equal(r.current) && !replaced && !f.outdatedGuess(now) {
			r.former = append(r.former, f)
		}
	}
	return r
}

// unknownBefore returns the configuration before the first one that this proxy knows. If more
// members are listed than the group has, it began in the middle of a change and has not seen
// which of them there were.
func (r Reconfiguration) unknownBefore(listed []MemberID, size int) Configuration {
	c := newConfiguration(slices.Concat(listed, r.absent), size)
	if size > 0 && size < c.Size() {
		c.Any = size
	}
	return c
}

// stillAbsent returns the members of the present configuration that are not listed and have
// not announced their leaving: the n most recent ones, since new members take the places of
// the others.
func (r Reconfiguration) stillAbsent(listed []MemberID, n int) []MemberID {
	missing := slices.Clone(r.absent)
	for _, id := range r.current.Members {
		if !slices.Contains(r.absent, id) && !slices.Contains(r.leaving, id) {
			missing = append(missing, id)
		}
	}
	missing = slices.DeleteFunc(missing, func(id MemberID) bool { return slices.Contains(listed, id) })
	return missing[len(missing)-min(len(missing), max(0, n)):]
}

func newConfiguration(ids []MemberID, size int) Configuration {
	return Configuration{Members: slices.Sorted(slices.Values(ids)), MinSize: size}
}

// withPresent returns an earlier configuration after all its members have ended that are not
// in the set.
func (c Configuration) withPresent(present MemberSet) Configuration {
	remaining := slices.DeleteFunc(slices.Clone(c.Members), func(id MemberID) bool { return !present(id) })
	c.MinSize = c.Size()
	c.Ended += len(c.Members) - len(remaining)
	c.Members = remaining
	return c
}

// Current returns the configuration in force.
func (r Reconfiguration) Current() Configuration { return r.current }

// Quorums returns the quorums at the given time.
func (r Reconfiguration) Quorums(now time.Time) Quorums {
	q := Quorums{Current: r.current}
	for _, f := range r.former {
		q.Unsettled = append(q.Unsettled, f.Configuration)
		if now.Sub(f.replacedAt) < PropagationTime {
			q.Recent = append(q.Recent, f.Configuration)
		}
	}
	return q
}

// SettleAfter returns the earliest time of a position that WithSettled may be called with.
// The second result is false if nothing can be settled yet.
func (r Reconfiguration) SettleAfter() (time.Time, bool) {
	var first time.Time
	for _, f := range r.former {
		at, ok := f.settleAfter()
		if ok && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// settleAfter returns the earliest time of a position with which the configuration, or a part of
// it, is settled: a member that ended is gone from then on.
func (f formerConfiguration) settleAfter() (time.Time, bool) {
	if !f.leaving {
		return f.decidesUntil, true
	}
	if len(f.endedAt) == 0 {
		return time.Time{}, false
	}
	at := slices.MinFunc(f.endedAt, time.Time.Compare)
	if known := f.replacedAt.Add(PropagationTime); known.After(at) {
		at = known
	}
	return at, true
}

// WithSettled returns the reconfiguration without the earlier configurations by which no
// proxy has decided anything since the given time, provided that a majority of the current
// members has what was acknowledged until then. Of the others, members that had ended by then
// are gone. end is the end that the primary's log had at that time; a confirmation since then
// must have shown that it was the primary.
func (r Reconfiguration) WithSettled(v View, end LogPosition, at time.Time) Reconfiguration {
	if !r.current.HasMajority(v.Where(func(p Report) bool { return p.HasRecord(end) })) {
		return r
	}
	former := r.former
	r.former = nil
	for _, f := range former {
		after, ok := f.settleAfter()
		switch {
		case !ok || at.Before(after):
			r.former = append(r.former, f)
		case f.leaving:
			if f = f.withGone(at); f.mayHaveDecided() {
				r.former = append(r.former, f)
			}
		}
	}
	return r
}
