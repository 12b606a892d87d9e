package cwsimulation

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// fault is one failure of a schedule.
type fault struct {
	kind  faultKind
	at    time.Duration
	lasts time.Duration
	// target is the index of the affected member and proxy.
	target int
	// other selects a second member, counted from target, or the number of members
	// that an isolated proxy is cut off from.
	other int
}

type faultKind int

const (
	killMember faultKind = iota
	freezeMember
	// isolateMember cuts a member off from the proxies and the other members.
	isolateMember
	// cutProxyFromMember cuts the path between a proxy and a member.
	cutProxyFromMember
	// cutReplication cuts the path between two members.
	cutReplication
	// isolateProxy cuts a proxy off from the other proxies, the table, and one or
	// two members.
	isolateProxy
	killProxy
	pauseProxy
	tableDown
	tableSlow
	// tableLoses loses the response to one write of the table.
	tableLoses
	// lagMember delays the replication of a member.
	lagMember
	killPrimary
	isolatePrimary
	freezePrimary
	// cutPrimaryFromReplicas cuts the primary off from the other members. The
	// proxies can still reach it.
	cutPrimaryFromReplicas
	// splitPrimary partitions the network, with the primary and one proxy on one
	// side.
	splitPrimary
	faultKinds
)

// The faults of a group whose members leave and come.
const (
	// replaceTarget replaces a member as planned, and replacePrimary the primary.
	replaceTarget = faultKinds + iota
	replacePrimary
	// deafenReplicas makes the members outside of one place receive no records, either all
	// of them or those that stay.
	deafenReplicas
	// cutDataCentre cuts off a data centre, and cutPrimaryDataCentre that of the primary.
	cutDataCentre
	cutPrimaryDataCentre
	// cutProxyFromTable cuts a proxy off from the table and the list for a long time, and
	// from no member.
	cutProxyFromTable
	membershipFaultKinds
)

var faultNames = [...]string{
	"killMember", "freezeMember", "isolateMember", "cutProxyFromMember", "cutReplication", "isolateProxy",
	"killProxy", "pauseProxy", "tableDown", "tableSlow", "tableLoses", "lagMember", "killPrimary", "isolatePrimary", "freezePrimary", "cutPrimaryFromReplicas", "splitPrimary",
	"replaceTarget", "replacePrimary", "deafenReplicas", "cutDataCentre", "cutPrimaryDataCentre", "cutProxyFromTable",
}

func (f fault) String() string {
	return fmt.Sprintf("%s(%d,%d) at %v for %v", faultNames[f.kind], f.target, f.other, f.at, f.lasts)
}

// drawFaults draws a schedule of 1 to most faults.
func drawFaults(t *rapid.T, most int) []fault { return drawFaultsOf(t, most, 0, faultKinds) }

// drawMembershipFaults draws a schedule in which members leave and come, and 1 to most faults.
// In three of four schedules the replacements overlap, and the primary is lost soon after.
func drawMembershipFaults(t *rapid.T, most int) []fault {
	if rapid.IntRange(0, 3).Draw(t, "overlapping") > 0 {
		return append(drawOverlappingReplacements(t), drawFaultsOf(t, 2, 0, membershipFaultKinds)...)
	}
	return append(drawFaultsOf(t, 3, replaceTarget, replacePrimary+1), drawFaultsOf(t, most, 0, membershipFaultKinds)...)
}

// drawOverlappingReplacements draws a schedule in which two or three members are replaced within a
// second, the new ones often receive nothing, and the primary, or the data centre in which it is or
// was, is lost while the old ones leave or right after they have ended.
func drawOverlappingReplacements(t *rapid.T) []fault {
	milliseconds := func(label string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
	}
	first := milliseconds("at", 500, 2000)
	target := rapid.IntRange(0, 2).Draw(t, "target")
	var out []fault
	for i := range rapid.IntRange(2, 3).Draw(t, "replaced") {
		out = append(out, fault{kind: replaceTarget, at: first + milliseconds("apart", 0, 800), target: (target + i) % 3})
	}
	if rapid.IntRange(0, 3).Draw(t, "deaf") > 0 {
		out = append(out, fault{
			kind: deafenReplicas, at: first + milliseconds("deaf from", 0, 1500), lasts: milliseconds("deaf for", 3000, 9000),
			target: rapid.IntRange(0, 2).Draw(t, "hears"), other: rapid.IntRange(1, 2).Draw(t, "which are deaf"),
		})
	}
	return append(out, fault{
		kind: rapid.SampledFrom([]faultKind{killPrimary, isolatePrimary, splitPrimary, cutPrimaryDataCentre, cutDataCentre}).Draw(t, "loss"),
		at:   first + joinTime + milliseconds("loss at", 500, 9500), lasts: milliseconds("loss for", 2000, 6000),
		target: rapid.IntRange(0, 2).Draw(t, "lost"), other: rapid.IntRange(1, 2).Draw(t, "other"),
	})
}

// drawFaultsOf draws 1 to most faults of the kinds from first up to but not including last.
func drawFaultsOf(t *rapid.T, most int, first, last faultKind) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:   faultKind(rapid.IntRange(int(first), int(last)-1).Draw(t, "kind")),
			at:     time.Duration(rapid.IntRange(500, 9000).Draw(t, "at")) * time.Millisecond,
			lasts:  time.Duration(rapid.IntRange(1, 5000).Draw(t, "lasts")) * time.Millisecond,
			target: rapid.IntRange(0, 2).Draw(t, "target"),
			other:  rapid.IntRange(1, 2).Draw(t, "other"),
		}
	}), 1, most).Draw(t, "faults")
}

// inject starts a fault and schedules its end.
func (sim *simulation) inject(f fault) {
	m, p := sim.members[f.target], sim.proxies[f.target]
	other := sim.members[(f.target+f.other)%3]
	switch f.kind {
	case killPrimary, isolatePrimary, freezePrimary, cutPrimaryFromReplicas, splitPrimary, replacePrimary, cutPrimaryDataCentre:
		if pr := sim.primary(); pr != nil {
			m = pr
		}
	}
	switch f.kind {
	case killMember, killPrimary:
		m.down = true
		sim.after(f.lasts, func() { m.down = m.ended })
	case freezeMember, freezePrimary:
		m.pause(f.lasts)
	case isolateMember, isolatePrimary:
		for _, o := range sim.proxies {
			sim.cutPath(m.name, o.name, f.lasts)
		}
		for _, o := range sim.all {
			if o != m {
				sim.cutPath(m.name, o.name, f.lasts)
			}
		}
	case splitPrimary:
		sim.split(p, m, f.lasts)
	case cutPrimaryFromReplicas:
		for _, o := range sim.all {
			if o != m {
				sim.cutPath(m.name, o.name, f.lasts)
			}
		}
	case cutProxyFromMember:
		sim.cutPath(p.name, other.name, f.lasts)
	case cutReplication:
		sim.cutPath(m.name, other.name, f.lasts)
	case isolateProxy:
		for _, o := range sim.proxies {
			if o != p {
				sim.cutPath(p.name, o.name, f.lasts)
			}
		}
		for _, o := range sim.members[:f.other] {
			sim.cutPath(p.name, o.name, f.lasts)
		}
		sim.cutPath(p.name, "table", f.lasts)
	case killProxy:
		p.down = true
		sim.after(f.lasts, func() {
			p.restart()
			p.down = false
		})
	case pauseProxy:
		p.pause(f.lasts)
	case tableDown:
		sim.table.down = true
		sim.after(f.lasts, func() { sim.table.down = false })
	case tableSlow:
		sim.table.slow = f.lasts / 4
		sim.after(f.lasts, func() { sim.table.slow = 0 })
	case tableLoses:
		sim.table.lostResponses++
	case lagMember:
		m.lag = f.lasts / 4
		sim.after(f.lasts, func() { m.lag = sim.options.lag })
	case replaceTarget, replacePrimary:
		sim.replaceMember(m.place)
	case deafenReplicas:
		for _, o := range sim.all {
			if o.place != f.target && !(f.other == 1 && o.leaving) {
				o.deafUntil = sim.now.Add(f.lasts)
			}
		}
	case cutDataCentre, cutPrimaryDataCentre:
		sim.cutZone(m.place, f.lasts)
	case cutProxyFromTable:
		sim.cutPath(p.name, "table", 3*f.lasts)
	}
}

// split partitions the network, with a proxy and a member on one side.
func (sim *simulation) split(p *proxy, m *member, lasts time.Duration) {
	sim.cutPath(p.name, "table", lasts)
	for _, o := range sim.proxies {
		if o != p {
			sim.cutPath(p.name, o.name, lasts)
			sim.cutPath(m.name, o.name, lasts)
		}
	}
	for _, o := range sim.all {
		if o != m {
			sim.cutPath(m.name, o.name, lasts)
			sim.cutPath(p.name, o.name, lasts)
		}
	}
}

// primary returns the primary of the highest term, or nil if there is none.
func (sim *simulation) primary() *member {
	var best *member
	for _, m := range sim.all {
		if !m.ended && m.role == cwgroup.RolePrimary && (best == nil || m.adopted > best.adopted) {
			best = m
		}
	}
	return best
}

// Durations of the phases of a run in virtual time, and the interval of writes.
const (
	faultPhase    = 12 * time.Second
	recoveryPhase = 25 * time.Second
	writeInterval = 40 * time.Millisecond
)

// runSchedule runs a schedule of faults, waits until the group has recovered, and
// returns the violations found.
func (sim *simulation) runSchedule(faults []fault) []string {
	sim.every(writeInterval, sim.ledger.write)
	for _, f := range faults {
		sim.after(f.at, func() { sim.inject(f) })
	}
	sim.run(faultPhase)
	acksDuringFaults := len(sim.ledger.ackTimes)
	sim.run(recoveryPhase - 10*time.Second)
	sim.ledger.stopped = true
	sim.run(10 * time.Second)
	p := sim.primary()
	if p == nil {
		return []string{"no primary after all faults ended"}
	}
	out := sim.ledger.violations(p.log)
	for _, m := range sim.members {
		if commonLength(m.log, p.log) != len(p.log) || len(m.log) != len(p.log) {
			out = append(out, fmt.Sprintf("%s does not follow %s: %v, %v", m.name, p.name, m.last(), p.last()))
		}
	}
	if len(sim.ledger.ackTimes) == acksDuringFaults {
		out = append(out, "nothing was acknowledged after all faults ended")
	}
	if sim.options.checksTerm {
		for term, who := range sim.promoted {
			if len(who) > 1 {
				out = append(out, fmt.Sprintf("term %d has several primaries: %v", term, who))
			}
		}
	}
	return out
}
