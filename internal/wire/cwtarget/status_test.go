package cwtarget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

func TestStatusRoundTrip(t *testing.T) {
	r := Report{
		Status: cwgroup.Status{
			Member: "hire-1-2", Role: cwgroup.RoleFenced, AdoptedTerm: 7, Claim: "entry-1-x-2",
			Durable: cwgroup.LogPosition{Term: 6, Index: 99}, Applied: cwgroup.LogPosition{Term: 6, Index: 90},
			UpstreamAge: 40 * time.Millisecond, OpenWrites: 3,
		},
		Following: "hire-1-1",
	}
	back, err := ParseStatus(FormatStatus(r))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, back, qt.Equals, r)
}

func FuzzParseStatus(f *testing.F) {
	f.Add("member=a role=primary adopted=1 claim= last=1/2 applied=1/1 upstreamAgeMs=5 openWrites=0 following=")
	f.Add("member")
	f.Add("member=a last=1/")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := ParseStatus(text)
		if err != nil {
			return
		}
		back, err := ParseStatus(FormatStatus(r))
		if err != nil || back != r {
			t.Fatalf("%q: %v", text, err)
		}
	})
}
