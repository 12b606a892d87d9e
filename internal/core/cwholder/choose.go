package cwholder

import (
	"slices"
	"time"
)

// HedgeDelay is how long a connection attempt may take before the next holder is
// connected as well (hedging).
const HedgeDelay = 50 * time.Millisecond

// ConnectionState is the state of the connection to a holder.
type ConnectionState struct {
	// Ready is true if there is a connection that accepts statements.
	Ready bool
	// Failed is true if the last connection attempt failed, or if the holder is
	// not to be used for another reason.
	Failed bool
	// Connecting is how long a connection attempt has been in progress;
	// negative if none is.
	Connecting time.Duration
}

// Choice says what to do with a statement of a group while there are more than
// ManyGroupsThreshold groups.
type Choice struct {
	// Use is the index of the holder that takes the statement; negative if none
	// does at present.
	Use int
	// Connect is the index of the holder to connect to; negative if there is
	// none.
	Connect int
	// Wait is true if the statement is to wait for a connection. HedgeAfter is the
	// time after which to choose again if no connection is ready by then; zero if
	// there is no further holder to connect to.
	Wait       bool
	HedgeAfter time.Duration
}

// ChooseHolder chooses a holder for a statement while there are more than
// ManyGroupsThreshold groups. links are the states of the connections to the
// group's holders, in the order in which statements are forwarded to them.
//
// A holder with a ready connection is preferred. Otherwise the first usable
// holder in order is connected and waited for, and the next one only if that
// takes longer than HedgeDelay.
//
// With hundreds of instances and a thousand groups, an instance has a statement
// for a given group only once in a while. Trying the holders in turn made an
// instance connect to all holders in all data centres for a single statement,
// which meanwhile ran locally: the instance set up the group itself, with new
// connections to its targets and without any knowledge of their state.
func ChooseHolder(connections []ConnectionState) Choice {
	c := Choice{Use: slices.IndexFunc(connections, func(l ConnectionState) bool { return l.Ready }), Connect: -1}
	if c.Use >= 0 {
		return c
	}
	for i, l := range connections {
		switch {
		case l.Failed:
			continue
		case l.Connecting < 0:
			c.Connect, c.Wait, c.HedgeAfter = i, true, HedgeDelay
			return c
		}
		c.Wait, c.HedgeAfter = true, max(0, HedgeDelay-l.Connecting)
		if c.HedgeAfter > 0 {
			return c
		}
	}
	return c
}
