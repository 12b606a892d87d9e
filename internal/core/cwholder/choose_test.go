package cwholder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against statements that connect every holder or wait for one that is gone.
func TestChoose(t *testing.T) {
	const ms = time.Millisecond
	none, ready, failed := LinkState{Connecting: -1}, LinkState{Ready: true, Connecting: -1}, LinkState{Failed: true, Connecting: -1}
	since := func(d time.Duration) LinkState { return LinkState{Connecting: d} }
	for _, tc := range []struct {
		name  string
		links []LinkState
		want  Choice
	}{
		{"nobody", nil, Choice{Use: -1, Connect: -1}},
		{"the first of those that are connected", []LinkState{failed, ready, ready}, Choice{Use: 1, Connect: -1}},
		{"one that is connected before one that is not", []LinkState{none, ready}, Choice{Use: 1, Connect: -1}},
		{"the first one is connected", []LinkState{none, none}, Choice{Use: -1, Connect: 0, Wait: true, Spare: SpareAfter}},
		{"it is waited for", []LinkState{since(20 * ms), none}, Choice{Use: -1, Connect: -1, Wait: true, Spare: 30 * ms}},
		{"it takes long", []LinkState{since(60 * ms), none}, Choice{Use: -1, Connect: 1, Wait: true, Spare: SpareAfter}},
		{"both take long", []LinkState{since(90 * ms), since(60 * ms)}, Choice{Use: -1, Connect: -1, Wait: true}},
		{"it failed", []LinkState{failed, none}, Choice{Use: -1, Connect: 1, Wait: true, Spare: SpareAfter}},
		{"all failed", []LinkState{failed, failed}, Choice{Use: -1, Connect: -1}},
	} {
		t.Run(tc.name, func(t *testing.T) { qt.Assert(t, Choose(tc.links), qt.Equals, tc.want) })
	}
}
