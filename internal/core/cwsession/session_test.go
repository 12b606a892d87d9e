package cwsession

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

func newPosition(t cwgroup.Term, p cwgroup.LogIndex) cwgroup.LogPosition {
	return cwgroup.LogPosition{Term: t, Index: p}
}

// assertFault checks that err is a *TokenError with the given fault.
func assertFault(t *testing.T, err error, f TokenFault) {
	t.Helper()
	var te *TokenError
	qt.Assert(t, err, qt.ErrorAs, &te)
	qt.Assert(t, te.Fault, qt.Equals, f)
}

func TestTokenRoundTrip(t *testing.T) {
	tok := Token{}.WithPosition("g1", newPosition(3, 99)).WithPosition("g2", newPosition(1, 1<<40))
	back, err := ParseToken(tok.String())
	qt.Assert(t, err, qt.IsNil)
	m, ok := back.Position("g1")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, m, qt.Equals, newPosition(3, 99))
	qt.Assert(t, back.String(), qt.Equals, tok.String())
}

func TestTokenMarksNeverDecrease(t *testing.T) {
	tok := Token{}.WithPosition("g", newPosition(2, 5))
	qt.Assert(t, tok.WithPosition("g", newPosition(1, 900)).String(), qt.Equals, tok.String())
	m, _ := tok.WithPosition("g", newPosition(2, 6)).Position("g")
	qt.Assert(t, m, qt.Equals, newPosition(2, 6))
}

func TestRejectedTokens(t *testing.T) {
	good := Token{}.WithPosition("g", newPosition(2, 5)).String()
	for text, fault := range map[string]TokenFault{
		"hello":                   FaultMalformed,
		"cw1.!!!":                 FaultMalformed,
		"cw1.AAAAAA":              FaultMalformed,
		good[:len(good)-1] + "A":  FaultChecksum,
		strings.Repeat("x", 2000): FaultTooLong,
	} {
		_, err := ParseToken(text)
		assertFault(t, err, fault)
	}
	tok, err := ParseToken(good)
	qt.Assert(t, err, qt.IsNil)
	_, err = tok.ForGroups([]string{"other"})
	assertFault(t, err, FaultOtherService)
}

func TestFloorBeyondPrimary(t *testing.T) {
	f := FloorOf(Token{}.WithPosition("g", newPosition(2, 5)), "g")
	qt.Assert(t, f.CheckPrimary(newPosition(2, 5)), qt.IsNil)
	qt.Assert(t, f.CheckPrimary(newPosition(3, 1)), qt.IsNil)
	assertFault(t, f.CheckPrimary(newPosition(2, 4)), FaultAheadOfGroup)
	qt.Assert(t, FloorOf(Token{}, "g").CheckPrimary(newPosition(1, 1)), qt.IsNil)
}

func FuzzParseToken(f *testing.F) {
	f.Add(Token{}.WithPosition("g1", newPosition(3, 99)).String())
	f.Add("cw1.AAAAAAAA")
	f.Add("cw1.")
	f.Fuzz(func(t *testing.T, text string) {
		tok, err := ParseToken(text)
		if err != nil {
			return
		}
		back, err := ParseToken(tok.String())
		if err != nil || back.String() != tok.String() {
			t.Fatalf("%q changes in a round trip: %v", text, err)
		}
	})
}
