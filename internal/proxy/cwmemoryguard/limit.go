package cwmemoryguard

import "runtime/debug"

// Shares of the memory that a process may take, in percent.
const (
	// partyPercent is the share that other parties may make it hold. The rest is for what the
	// process itself keeps, and for garbage.
	partyPercent = 25
	// softPercent is the share beyond which the runtime collects garbage as often as necessary.
	softPercent = 65
)

// PartyLimit returns the limit of a Guard in a process that may take a number of bytes; zero means no
// limit.
func PartyLimit(processLimit int64) int64 { return processLimit * partyPercent / 100 }

// SetSoftLimit makes the runtime collect garbage more often when the memory of the process comes
// near its limit in bytes. Zero changes nothing.
func SetSoftLimit(processLimit int64) {
	if processLimit > 0 {
		debug.SetMemoryLimit(processLimit * softPercent / 100)
	}
}
