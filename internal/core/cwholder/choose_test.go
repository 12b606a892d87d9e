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
	none, ready, failed := LinkState{Connecting: -1}, LinkState{Ready: true, Connecting: -1}, LinkState{Failed: true, Connecting: -1}
	since := func(d time.Duration) LinkState { return LinkState{Connecting: d} }
	for _, tc := range []struct {
		name  string
		links []LinkState
		want  Choice
	}{
		{"no holders", nil, Choice{Use: -1, Connect: -1}},
		{"first connected holder", []LinkState{failed, ready, ready}, Choice{Use: 1, Connect: -1}},
		{"connected holder before an unconnected one", []LinkState{none, ready}, Choice{Use: 1, Connect: -1}},
		{"first holder to be connected", []LinkState{none, none}, Choice{Use: -1, Connect: 0, Wait: true, Spare: SpareAfter}},
		{"connection attempt in progress", []LinkState{since(20 * ms), none}, Choice{Use: -1, Connect: -1, Wait: true, Spare: 30 * ms}},
		{"slow connection attempt", []LinkState{since(60 * ms), none}, Choice{Use: -1, Connect: 1, Wait: true, Spare: SpareAfter}},
		{"two slow connection attempts", []LinkState{since(90 * ms), since(60 * ms)}, Choice{Use: -1, Connect: -1, Wait: true}},
		{"failed connection attempt", []LinkState{failed, none}, Choice{Use: -1, Connect: 1, Wait: true, Spare: SpareAfter}},
		{"all failed", []LinkState{failed, failed}, Choice{Use: -1, Connect: -1}},
	} {
		t.Run(tc.name, func(t *testing.T) { qt.Assert(t, Choose(tc.links), qt.Equals, tc.want) })
	}
}
