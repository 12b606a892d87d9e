// Package cwbound checks the results of benchmarks against regression bounds.
//
// The results are counts, allocations and virtual time, never wall-clock time, so that
// they do not depend on the machine. The bounds are in bounds.json, by the name of the
// result. A commit that loosens a bound has to explain why.
package cwbound

import (
	_ "embed"
	"encoding/json"
	"sync"
)

//go:embed bounds.json
var boundsJSON []byte

// TestReporter is the part of testing.TB that Check uses.
type TestReporter interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
}

// bound is the inclusive range that a value must stay in. A nil limit means that the
// range is open on that side.
type bound struct {
	Min *float64 `json:"min"`
	Max *float64 `json:"max"`
}

// loadBounds parses bounds.json once and returns the bounds by name.
var loadBounds = sync.OnceValues(func() (map[string]bound, error) {
	var m map[string]bound
	err := json.Unmarshal(boundsJSON, &m)
	return m, err
})

// CheckBound logs a value, and fails the test if the value is outside of the bound with
// that name, or if there is no such bound.
func CheckBound(t TestReporter, name string, value float64) {
	t.Helper()
	m, err := loadBounds()
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
		t.Errorf("%s = %.3f, must be at most %.3f", name, value, *b.Max)
	case b.Min != nil && value < *b.Min:
		t.Errorf("%s = %.3f, must be at least %.3f", name, value, *b.Min)
	}
}
