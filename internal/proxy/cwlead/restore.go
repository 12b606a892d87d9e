package cwlead

import "time"

// SetEra takes the era of the table's data, and when this proxy learnt that it had
// come back from an older copy; zero if it has not.
func (g *Group) SetEra(era uint64, restored time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.era, g.restoredAt = era, restored
}
