// Package cwbound holds the regression bounds of benchmarks: counts,
// allocations and virtual time, never the wall clock. The bounds stand in
// bounds.json; a change that needs a higher one says why in its commit.
package cwbound

import (
	_ "embed"
	"encoding/json"
	"sync"
)

//go:embed bounds.json
var text []byte

// T is the part of a test that Check needs.
type T interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
}

// bound is the range that a figure must stay in. Figures without a limit on one
// side leave it out.
type bound struct {
	Min *float64 `json:"min"`
	Max *float64 `json:"max"`
}

var bounds = sync.OnceValues(func() (map[string]bound, error) {
	var m map[string]bound
	err := json.Unmarshal(text, &m)
	return m, err
})

// Check fails the test if the figure is out of its bound, or has none.
func Check(t T, name string, value float64) {
	t.Helper()
	m, err := bounds()
	if err != nil {
		t.Errorf("bounds.json: %v", err)
		return
	}
	b, ok := m[name]
	t.Logf("%s = %.3f", name, value)
	switch {
	case !ok:
		t.Errorf("%s has no bound in bounds.json", name)
	case b.Max != nil && value > *b.Max:
		t.Errorf("%s = %.3f, bound %.3f", name, value, *b.Max)
	case b.Min != nil && value < *b.Min:
		t.Errorf("%s = %.3f, at least %.3f", name, value, *b.Min)
	}
}
