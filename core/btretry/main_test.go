package btretry_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that every run has the same result; -rapid.checks
// and -rapid.seed set up a longer run.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
