package cwserver

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// Guards against a session that runs with other settings than its caller has set: a list that is
// applied as a single element, and a value that ends its literal.
func TestSettingsAreAppliedAsTheyWereSet(t *testing.T) {
	for text, want := range map[string]string{
		"SET search_path = a, 'B c', public": `SET "search_path" = 'a', 'B c', 'public';`,
		"SET search_path = 'a, b'":           `SET "search_path" = 'a, b';`,
		"SET datestyle = ISO, DMY":           `SET "datestyle" = 'iso', 'dmy';`,
		`SET x.y = '\'`:                      `SET "x"."y" = E'\\';`,
	} {
		t.Run(text, func(t *testing.T) {
			out, err := cwsql.Parse(text)
			qt.Assert(t, err, qt.IsNil)
			s := settings{}.with(out[0].Name, out[0].Literals)
			qt.Assert(t, s.diff(map[string]string{}), qt.Equals, want)
		})
	}
	for value, want := range map[string]string{
		`a, "B, c" , Public`: `'a', 'B, c', 'public'`,
		`"x ""y" `:           `'x "y'`,
		"":                   `''`,
		"é":                  `'é'`,
	} {
		t.Run("at the start "+value, func(t *testing.T) {
			qt.Assert(t, startupLiterals("search_path", value), qt.Equals, want)
		})
	}
	qt.Assert(t, startupLiterals("datestyle", "ISO, DMY"), qt.Equals, `'ISO, DMY'`)
}
