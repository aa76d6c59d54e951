package btexpert_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised runs, so that every run gives the
// same verdict; -rapid.seed and -rapid.checks still override.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
