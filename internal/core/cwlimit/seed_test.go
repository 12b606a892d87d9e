package cwlimit

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that CI runs are
// reproducible. Set -rapid.seed to draw other cases and -rapid.checks to draw
// more.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}
