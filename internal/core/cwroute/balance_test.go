package cwroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Checks that reads go to the member with the shortest expected response time:
// to the local replica when it is idle, to the remote one while the local one
// has a queue, and to no replica that lags far behind.
func TestFastestTarget(t *testing.T) {
	const ms = time.Millisecond
	near := ReadTarget{Member: "near", Latency: 20 * ms, Slots: 3}
	far := ReadTarget{Member: "far", Latency: 20 * ms, Slots: 3, Remote: true}
	primary := ReadTarget{Member: "primary", Latency: 30 * ms, Slots: 3, Remote: true}
	for _, tc := range []struct {
		name    string
		targets []ReadTarget
		want    string
	}{
		{"local replica idle", []ReadTarget{far, near}, "near"},
		{"local replica slightly slower", []ReadTarget{far, {Member: "near", Latency: 30 * ms, Slots: 3}}, "near"},
		{"local replica with high latency", []ReadTarget{far, {Member: "near", Latency: 90 * ms, Slots: 3}}, "far"},
		{"callers waiting for connections to the local replica", []ReadTarget{far, {Member: "near", Latency: 20 * ms, Slots: 3, Wait: 40 * ms}}, "far"},
		{"replica far behind the primary", []ReadTarget{primary, {Member: "near", Latency: 20 * ms, Slots: 3, Behind: 0.99}}, "primary"},
		{"replica almost caught up, primary with high latency", []ReadTarget{
			{Member: "primary", Latency: 200 * ms, Slots: 3}, {Member: "near", Latency: 20 * ms, Slots: 3, Hold: 5 * ms},
		}, "near"},
		{"replica that may lack the floor, primary idle", []ReadTarget{
			{Member: "primary", Latency: 20 * ms, Slots: 3, Primary: true}, {Member: "near", Latency: 20 * ms, Slots: 3, Behind: 0.03},
		}, "primary"},
		{"replica that may lack the floor, primary with a queue", []ReadTarget{
			{Member: "primary", Latency: 20 * ms, Slots: 3, Primary: true, Wait: 100 * ms}, {Member: "near", Latency: 20 * ms, Slots: 3, Behind: 0.03},
		}, "near"},
		{"replica that may lack the floor at a probability that does not count", []ReadTarget{
			{Member: "primary", Latency: 20 * ms, Slots: 3, Primary: true}, {Member: "near", Latency: 20 * ms, Slots: 3, Behind: 0.005},
		}, "near"},
		{"member of unknown latency", []ReadTarget{near, {Member: "new", Slots: 3}}, "new"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o, ok := FastestTarget(tc.targets)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, string(o.Member), qt.Equals, tc.want)
		})
	}
	_, ok := FastestTarget(nil)
	qt.Assert(t, ok, qt.IsFalse)
}
