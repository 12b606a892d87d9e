package cwreplicaset

import (
	"maps"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// record is one committed transaction. Its writes map items to values.
type record struct {
	position cwgroup.LogPosition
	writes   map[string]string
}

// Log is an immutable snapshot of a member's log.
type Log struct{ records []record }

// Len returns the number of transactions in the log.
func (l Log) Len() int { return len(l.records) }

// Writes returns a copy of the writes of the transaction at index i, by item.
func (l Log) Writes(i int) map[string]string { return maps.Clone(l.records[i].writes) }

// CommonPrefix returns the number of transactions in the common prefix of two logs.
func (l Log) CommonPrefix(o Log) int {
	// Logs that differ at one index differ at all later ones, so a binary search
	// finds the end of the common prefix.
	low, high := 0, min(len(l.records), len(o.records))
	for low < high {
		mid := (low + high + 1) / 2
		if l.records[mid-1].position == o.records[mid-1].position {
			low = mid
			continue
		}
		high = mid - 1
	}
	return low
}

// ReadExecution records one execution of a caller's read.
type ReadExecution struct {
	// ID is the id of the statement.
	ID     string
	Member cwgroup.MemberID
	// Log is the log that the read saw.
	Log Log
}

// ReadExecutions returns the executions of callers' reads with an id, in order.
func (g *Group) ReadExecutions() []ReadExecution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]ReadExecution(nil), g.reads...)
}

// Log returns the log of the primary with the highest term; an empty log if there
// is no primary.
func (g *Group) Log() Log {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.newestPrimary(); p != nil {
		return Log{records: p.log}
	}
	return Log{}
}

// lastPosition returns the log position of the last record; index 0 of term 1 for
// an empty log.
func lastPosition(log []record) cwgroup.LogPosition {
	if len(log) == 0 {
		return cwgroup.LogPosition{Term: 1}
	}
	return log[len(log)-1].position
}

// lastReceived returns the log position of the last record that the member has
// received.
func (m *Member) lastReceived() cwgroup.LogPosition { return lastPosition(m.log) }

// visibleLog returns the part of the log that reads see.
func (m *Member) visibleLog(now time.Time) []record {
	m.applyDue(now)
	return m.log[:m.applied:m.applied]
}

// applyDue makes the records visible to reads whose delay has passed. A primary's
// records are always visible.
func (m *Member) applyDue(now time.Time) {
	if m.role == cwgroup.RolePrimary || m.applyDelay == 0 {
		m.applied = len(m.log)
		return
	}
	for m.applied < len(m.log) && now.Sub(m.receivedAt[m.applied]) >= m.applyDelay {
		m.applied++
	}
}

// receiveLog replaces the member's log by that of its primary. Records after the
// common prefix of the two are removed.
func (m *Member) receiveLog(log []record, now time.Time) {
	common := Log{records: m.log}.CommonPrefix(Log{records: log})
	m.applyDue(now)
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
	m.applyDue(now)
}

// appendRecord appends a transaction that was committed at the member itself.
func (m *Member) appendRecord(writes map[string]string, now time.Time) {
	next := cwgroup.LogPosition{Term: m.term, Index: m.lastReceived().Index + 1}
	m.log = append(m.log, record{position: next, writes: maps.Clone(writes)})
	m.receivedAt = append(m.receivedAt, now)
	m.applyDue(now)
}

// containsPosition reports whether a log has the record at a log position. A
// position with index 0 is in every log.
func containsPosition(log []record, floor cwgroup.LogPosition) bool {
	if floor.Index == 0 {
		return true
	}
	// The first record has index 1.
	i := int(floor.Index) - 1
	return i < len(log) && log[i].position == floor
}

// itemValue returns the last value that a log has for an item; empty if none.
func itemValue(log []record, item string) string {
	for i := len(log) - 1; i >= 0; i-- {
		if v, ok := log[i].writes[item]; ok {
			return v
		}
	}
	return ""
}
