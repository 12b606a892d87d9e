package cwproof

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// fault is one failure of a schedule.
type fault struct {
	kind   faultKind
	at     time.Duration
	lasts  time.Duration
	target int
	other  int
}

type faultKind int

const (
	killMember faultKind = iota
	freezeMember
	// isolateMember cuts a member off from the proxies and the other members.
	isolateMember
	// cutProxyFromMember cuts one path.
	cutProxyFromMember
	// cutReplication cuts two members off from each other.
	cutReplication
	isolateProxy
	killProxy
	pauseProxy
	tableDown
	tableSlow
	tableLoses
	lagMember
	killPrimary
	isolatePrimary
	freezePrimary
	// cutPrimaryFromReplicas leaves the primary reachable for the proxies.
	cutPrimaryFromReplicas
	// splitPrimary cuts the primary and one proxy, together, off from the rest.
	splitPrimary
	faultKinds
)

var faultNames = [...]string{
	"killMember", "freezeMember", "isolateMember", "cutProxyFromMember", "cutReplication", "isolateProxy",
	"killProxy", "pauseProxy", "tableDown", "tableSlow", "tableLoses", "lagMember", "killPrimary", "isolatePrimary", "freezePrimary", "cutPrimaryFromReplicas", "splitPrimary",
}

func (f fault) String() string {
	return fmt.Sprintf("%s(%d,%d) at %v for %v", faultNames[f.kind], f.target, f.other, f.at, f.lasts)
}

// drawFaults draws a schedule.
func drawFaults(t *rapid.T, most int) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:   faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
			at:     time.Duration(rapid.IntRange(500, 9000).Draw(t, "at")) * time.Millisecond,
			lasts:  time.Duration(rapid.IntRange(1, 5000).Draw(t, "lasts")) * time.Millisecond,
			target: rapid.IntRange(0, 2).Draw(t, "target"),
			other:  rapid.IntRange(1, 2).Draw(t, "other"),
		}
	}), 1, most).Draw(t, "faults")
}

// inject makes a failure happen, and end.
func (w *world) inject(f fault) {
	m, p := w.members[f.target], w.proxies[f.target]
	other := w.members[(f.target+f.other)%3]
	switch f.kind {
	case killPrimary, isolatePrimary, freezePrimary, cutPrimaryFromReplicas, splitPrimary:
		if pr := w.primary(); pr != nil {
			m = pr
		}
	}
	switch f.kind {
	case killMember, killPrimary:
		m.down = true
		w.after(f.lasts, func() { m.down = false })
	case freezeMember, freezePrimary:
		m.pause(f.lasts)
	case isolateMember, isolatePrimary:
		for _, o := range w.proxies {
			w.cut(m.name, o.name, f.lasts)
		}
		for _, o := range w.members {
			if o != m {
				w.cut(m.name, o.name, f.lasts)
			}
		}
	case splitPrimary:
		w.split(p, m, f.lasts)
	case cutPrimaryFromReplicas:
		for _, o := range w.members {
			if o != m {
				w.cut(m.name, o.name, f.lasts)
			}
		}
	case cutProxyFromMember:
		w.cut(p.name, other.name, f.lasts)
	case cutReplication:
		w.cut(m.name, other.name, f.lasts)
	case isolateProxy:
		for _, o := range w.proxies {
			if o != p {
				w.cut(p.name, o.name, f.lasts)
			}
		}
		for _, o := range w.members[:f.other] {
			w.cut(p.name, o.name, f.lasts)
		}
		w.cut(p.name, "table", f.lasts)
	case killProxy:
		p.down = true
		w.after(f.lasts, func() {
			p.restart()
			p.down = false
		})
	case pauseProxy:
		p.pause(f.lasts)
	case tableDown:
		w.table.down = true
		w.after(f.lasts, func() { w.table.down = false })
	case tableSlow:
		w.table.slow = f.lasts / 4
		w.after(f.lasts, func() { w.table.slow = 0 })
	case tableLoses:
		w.table.lose++
	case lagMember:
		m.lag = f.lasts / 4
		w.after(f.lasts, func() { m.lag = w.opts.lag })
	}
}

// split cuts a proxy and a member, together, off from everything else.
func (w *world) split(p *proxy, m *member, lasts time.Duration) {
	w.cut(p.name, "table", lasts)
	for _, o := range w.proxies {
		if o != p {
			w.cut(p.name, o.name, lasts)
			w.cut(m.name, o.name, lasts)
		}
	}
	for _, o := range w.members {
		if o != m {
			w.cut(m.name, o.name, lasts)
			w.cut(p.name, o.name, lasts)
		}
	}
}

// primary returns the member that leads the highest term.
func (w *world) primary() *member {
	var best *member
	for _, m := range w.members {
		if m.role == cwgroup.RolePrimary && (best == nil || m.adopted > best.adopted) {
			best = m
		}
	}
	return best
}

// Times of a run.
const (
	faultTime = 12 * time.Second
	healTime  = 25 * time.Second
	writeGap  = 40 * time.Millisecond
)

// play runs a schedule, heals, and returns what was broken.
func (w *world) play(faults []fault) []string {
	w.every(writeGap, w.ledger.write)
	for _, f := range faults {
		w.after(f.at, func() { w.inject(f) })
	}
	w.run(faultTime)
	healed := len(w.ledger.acks)
	w.run(healTime - 10*time.Second)
	w.ledger.stopped = true
	w.run(10 * time.Second)
	p := w.primary()
	if p == nil {
		return []string{"no primary after everything was healed"}
	}
	out := w.ledger.violations(p.log)
	for _, m := range w.members {
		if common(m.log, p.log) != len(p.log) || len(m.log) != len(p.log) {
			out = append(out, fmt.Sprintf("%s does not follow %s: %v, %v", m.name, p.name, m.last(), p.last()))
		}
	}
	if len(w.ledger.acks) == healed {
		out = append(out, "nothing was acknowledged after everything was healed")
	}
	if w.opts.checksTerm {
		for term, who := range w.promoted {
			if len(who) > 1 {
				out = append(out, fmt.Sprintf("term %d was led by %v", term, who))
			}
		}
	}
	return out
}
