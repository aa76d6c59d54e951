package main_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btstandin/btfleet"
)

// programs are the programs that TestMain built.
var programs btfleet.Programs

// maxParallelFleets is how many fleets run at a time.
const maxParallelFleets = "3"

// TestMain builds the programs once, without the race detector.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	_ = flag.Set("test.parallel", maxParallelFleets)
	folder, err := os.MkdirTemp("", "bilberrytide")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "bilberrytide/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	programs = btfleet.Programs{
		Product: filepath.Join(folder, "bilberrytide"),
		Standin: filepath.Join(folder, "bilberrytide-standin"),
	}
	return m.Run()
}

// scenarioTimeout limits a whole scenario. Most scenarios wait until leases of a few
// seconds expire.
const scenarioTimeout = 2 * time.Minute

// startFleet starts a fleet that is closed at the end of the test. If the test
// failed, the last lines of the fleet's logs are printed.
func startFleet(t testing.TB, o btfleet.Options) (context.Context, *btfleet.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), scenarioTimeout)
	t.Cleanup(cancel)
	o.Programs = programs
	o.Folder = t.TempDir()
	f, err := btfleet.Start(ctx, o)
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			t.Log(f.LogTails())
		}
	})
	assert.NilError(t, err)
	return ctx, f
}
