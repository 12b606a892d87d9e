package cwfeed

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against changes after a restore that seem older than those before it.
func TestVersionOrderFollowsEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(0, maxEra-1).Draw(t, "era")
		before := rapid.Uint64Range(0, maxNumber).Draw(t, "before")
		after := rapid.Uint64Range(0, maxNumber).Draw(t, "after")
		old, err := NewVersion(era, before)
		if err != nil || old.Era() != era || old.Number() != before {
			t.Fatalf("%v is not %d.%d (%v)", old, era, before, err)
		}
		if next, err := NewVersion(era+1, after); err != nil || next <= old {
			t.Fatalf("%v does not come after %v (%v)", next, old, err)
		}
	})
}

func TestVersionOutOfRange(t *testing.T) {
	for _, tc := range []struct {
		name        string
		era, number uint64
	}{{"era", maxEra + 1, 0}, {"number", 0, maxNumber + 1}, {"both", math.MaxUint64, math.MaxUint64}} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := NewVersion(tc.era, tc.number)
			qt.Assert(t, err, qt.ErrorAs, new(*RangeError))
		})
	}
	v, err := NewVersion(2, 27)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v.String(), qt.Equals, "2.27")
}
