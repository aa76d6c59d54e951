package btexpert_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for randomised tests, so that every run gives the same
// result; -rapid.seed and -rapid.checks still override it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
