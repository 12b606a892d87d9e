package cwholder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a statement that makes an instance connect to every holder, or
// that waits for a holder whose connection failed.
func TestChooseHolder(t *testing.T) {
	const ms = time.Millisecond
	none, ready, failed := ConnectionState{Connecting: -1}, ConnectionState{Ready: true, Connecting: -1}, ConnectionState{Failed: true, Connecting: -1}
	since := func(d time.Duration) ConnectionState { return ConnectionState{Connecting: d} }
	for _, tc := range []struct {
		name        string
		connections []ConnectionState
		want        Choice
	}{
		{"no holders", nil, Choice{Use: -1, Connect: -1}},
		{"first connected holder", []ConnectionState{failed, ready, ready}, Choice{Use: 1, Connect: -1}},
		{"connected holder before an unconnected one", []ConnectionState{none, ready}, Choice{Use: 1, Connect: -1}},
		{"first holder to be connected", []ConnectionState{none, none}, Choice{Use: -1, Connect: 0, Wait: true, HedgeAfter: HedgeDelay}},
		{"connection attempt in progress", []ConnectionState{since(20 * ms), none}, Choice{Use: -1, Connect: -1, Wait: true, HedgeAfter: 30 * ms}},
		{"slow connection attempt", []ConnectionState{since(60 * ms), none}, Choice{Use: -1, Connect: 1, Wait: true, HedgeAfter: HedgeDelay}},
		{"two slow connection attempts", []ConnectionState{since(90 * ms), since(60 * ms)}, Choice{Use: -1, Connect: -1, Wait: true}},
		{"failed connection attempt", []ConnectionState{failed, none}, Choice{Use: -1, Connect: 1, Wait: true, HedgeAfter: HedgeDelay}},
		{"all failed", []ConnectionState{failed, failed}, Choice{Use: -1, Connect: -1}},
	} {
		t.Run(tc.name, func(t *testing.T) { qt.Assert(t, ChooseHolder(tc.connections), qt.Equals, tc.want) })
	}
}
