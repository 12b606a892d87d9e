package cwholder

import (
	"slices"
	"time"
)

// SpareAfter is how long a connection may take until the next holder is connected, too.
const SpareAfter = 50 * time.Millisecond

// LinkState is where the connection to a holder stands.
type LinkState struct {
	// Ready is true if there is one that takes statements.
	Ready bool
	// Failed is true if the last try to connect failed, or the holder is left alone for
	// another reason.
	Failed bool
	// Connecting is how long one has been under way; negative if none is.
	Connecting time.Duration
}

// Choice is what to do with a statement of one of many groups.
type Choice struct {
	// Use is the place of the holder that takes it; negative if none does now.
	Use int
	// Connect is the place of the holder to connect; negative if there is none.
	Connect int
	// Wait is true if a connection is worth waiting for, and Spare when to choose again
	// if it has not come about; zero if there is no other choice.
	Wait  bool
	Spare time.Duration
}

// Choose chooses among the holders of one of many groups, by their connections in the
// order in which they are asked.
//
// The load it answers: hundreds of instances before a thousand groups, each of which an
// instance has a statement for once in a while. Tried in turn, all holders of all data
// centres were connected for one statement, which ran on the spot meanwhile: the group
// was made there, on new connections to its targets, and nothing was known of it. Holders
// that are connected come first; otherwise the first in order is connected and waited
// for, and the next one only when that takes long.
func Choose(links []LinkState) Choice {
	c := Choice{Use: slices.IndexFunc(links, func(l LinkState) bool { return l.Ready }), Connect: -1}
	if c.Use >= 0 {
		return c
	}
	for i, l := range links {
		switch {
		case l.Failed:
			continue
		case l.Connecting < 0:
			c.Connect, c.Wait, c.Spare = i, true, SpareAfter
			return c
		}
		c.Wait, c.Spare = true, max(0, SpareAfter-l.Connecting)
		if c.Spare > 0 {
			return c
		}
	}
	return c
}
