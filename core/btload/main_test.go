package btload_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that runs are reproducible. Longer runs set
// -rapid.checks and -rapid.seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
