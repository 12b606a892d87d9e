package cwreplica

import (
	"maps"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// record is one committed transaction.
type record struct {
	mark   cwgroup.LogPosition
	writes map[string]string
}

// Log is a log as it stood at some moment.
type Log struct{ records []record }

// Len returns the number of transactions.
func (l Log) Len() int { return len(l.records) }

// Writes returns the writes of the transaction at an index.
func (l Log) Writes(i int) map[string]string { return maps.Clone(l.records[i].writes) }

// Common returns how many transactions two logs have in common, from the first on.
func (l Log) Common(o Log) int {
	// Logs that differ at one place differ at all later ones.
	low, high := 0, min(len(l.records), len(o.records))
	for low < high {
		mid := (low + high + 1) / 2
		if l.records[mid-1].mark == o.records[mid-1].mark {
			low = mid
			continue
		}
		high = mid - 1
	}
	return low
}

// Run is a caller's read that was run.
type Run struct {
	ID     string
	Member cwgroup.MemberID
	// Log is the log that it ran on.
	Log Log
}

// Reads returns the callers' reads that were run, in order.
func (g *Group) Reads() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.reads...)
}

// Log returns the newest primary's log.
func (g *Group) Log() Log {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.primary(); p != nil {
		return Log{records: p.log}
	}
	return Log{}
}

func markOf(log []record) cwgroup.LogPosition {
	if len(log) == 0 {
		return cwgroup.LogPosition{Term: 1}
	}
	return log[len(log)-1].mark
}

// received returns where the log ends that the member has received.
func (m *Member) received() cwgroup.LogPosition { return markOf(m.log) }

// visible returns the log that reads see.
func (m *Member) visible(now time.Time) []record {
	m.apply(now)
	return m.log[:m.applied:m.applied]
}

// apply lets reads see what is due.
func (m *Member) apply(now time.Time) {
	if m.role == cwgroup.RolePrimary || m.late == 0 {
		m.applied = len(m.log)
		return
	}
	for m.applied < len(m.log) && now.Sub(m.receivedAt[m.applied]) >= m.late {
		m.applied++
	}
}

// take makes the member's log that of its primary: what it had beyond the common
// part is cut.
func (m *Member) take(log []record, now time.Time) {
	common := Log{records: m.log}.Common(Log{records: log})
	m.apply(now)
	m.applied = min(m.applied, common)
	m.receivedAt = m.receivedAt[:common]
	for range log[common:] {
		m.receivedAt = append(m.receivedAt, now)
	}
	if common == len(m.log) {
		m.log = append(m.log, log[common:]...)
	} else {
		m.log = append([]record(nil), log...)
	}
	m.apply(now)
}

// append adds a transaction of the member's own.
func (m *Member) append(writes map[string]string, now time.Time) {
	next := cwgroup.LogPosition{Term: m.term, Index: m.received().Index + 1}
	m.log = append(m.log, record{mark: next, writes: maps.Clone(writes)})
	m.receivedAt = append(m.receivedAt, now)
	m.apply(now)
}

func holds(log []record, floor cwgroup.LogPosition) bool {
	if floor.Index == 0 {
		return true
	}
	// Positions count from 1.
	i := int(floor.Index) - 1
	return i < len(log) && log[i].mark == floor
}

func value(log []record, item string) string {
	for i := len(log) - 1; i >= 0; i-- {
		if v, ok := log[i].writes[item]; ok {
			return v
		}
	}
	return ""
}
