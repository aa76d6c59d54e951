package btgroup_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
