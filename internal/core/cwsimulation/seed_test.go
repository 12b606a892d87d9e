package cwsimulation

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed, so that every run of CI tests the same cases. Use the flag
// -rapid.seed to test others, and -rapid.checks to test more.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}
