package cwfailover

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// RepairCommands returns the commands that make members follow the current primary
// again, such as a replaced primary that has come back or a member that was fenced
// by an abandoned attempt. Before it follows, the member truncates its log to the
// part that it has in common with the primary's.
func RepairCommands(v cwgroup.View, following map[cwgroup.MemberID]cwgroup.MemberID, now time.Time) []Command {
	p, ok := v.Primary()
	if !ok || !p.Reachable || now.Sub(p.At) > ReportMaxAge {
		return nil
	}
	var commands []Command
	for _, r := range v.Reports() {
		notFollowing := r.Role != cwgroup.RoleReplica || r.AdoptedTerm < p.AdoptedTerm || following[r.Member] != p.Member
		if r.Member == p.Member || !r.Reachable || r.AdoptedTerm > p.AdoptedTerm || !notFollowing {
			continue
		}
		commands = append(commands, Command{
			Kind:     Follow,
			Member:   r.Member,
			Term:     p.AdoptedTerm,
			Claim:    p.Claim,
			Primary:  p.Member,
			NotAfter: now.Add(ReadBackTTL),
		})
	}
	return commands
}

// HasStrandedMember reports whether a member cannot follow the primary in the
// primary's term, because it adopted a later term for an attempt that failed or the
// same term for another claim. Such a member can follow again only in a later term.
func HasStrandedMember(v cwgroup.View, now time.Time) bool {
	return hasStranded(v, func(r cwgroup.Report) bool { return r.Reachable && now.Sub(r.At) <= ReportMaxAge })
}

// MayHaveStrandedMember reports whether a member was stranded by its last report, whatever
// the report's age. Without a new report it is not known whether it still is.
func MayHaveStrandedMember(v cwgroup.View) bool {
	return hasStranded(v, func(cwgroup.Report) bool { return true })
}

// hasStranded reports whether a member is stranded by a report that counts.
func hasStranded(v cwgroup.View, counts func(cwgroup.Report) bool) bool {
	p, ok := v.Primary()
	if !ok {
		return false
	}
	for _, r := range v.Reports() {
		if r.Member == p.Member || !counts(r) {
			continue
		}
		if r.AdoptedTerm > p.AdoptedTerm || r.AdoptedTerm == p.AdoptedTerm && r.Claim != p.Claim {
			return true
		}
	}
	return false
}
