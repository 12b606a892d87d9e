package cwroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Reads go where they are answered first: to the near replica at rest, to the
// far one when the near one queues, and to neither while it is known to lag.
func TestQuickest(t *testing.T) {
	const ms = time.Millisecond
	near := Option{Member: "near", Latency: 20 * ms, Slots: 3}
	far := Option{Member: "far", Latency: 20 * ms, Slots: 3, Away: true}
	primary := Option{Member: "primary", Latency: 30 * ms, Slots: 3, Away: true}
	for _, tc := range []struct {
		name    string
		options []Option
		want    string
	}{
		{"the near one at rest", []Option{far, near}, "near"},
		{"a near one that takes a little longer", []Option{far, {Member: "near", Latency: 30 * ms, Slots: 3}}, "near"},
		{"the far one while the near one queues", []Option{far, {Member: "near", Latency: 90 * ms, Slots: 3}}, "far"},
		{"the far one while callers wait at the near one", []Option{far, {Member: "near", Latency: 20 * ms, Slots: 3, Wait: 40 * ms}}, "far"},
		{"the primary while the replicas lag", []Option{primary, {Member: "near", Latency: 20 * ms, Slots: 3, CatchUp: time.Second}}, "primary"},
		{"a replica that has almost caught up, if all else queues", []Option{
			{Member: "primary", Latency: 200 * ms, Slots: 3}, {Member: "near", Latency: 20 * ms, Slots: 3, CatchUp: 5 * ms},
		}, "near"},
		{"one that is not known yet", []Option{near, {Member: "new", Slots: 3}}, "new"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o, ok := Quickest(tc.options)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, string(o.Member), qt.Equals, tc.want)
		})
	}
	_, ok := Quickest(nil)
	qt.Assert(t, ok, qt.IsFalse)
}
