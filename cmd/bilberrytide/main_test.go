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

// programs are those that TestMain built.
var programs btfleet.Programs

// fleets is how many fleets run at a time.
const fleets = "3"

// TestMain builds the programs once, without the race detector.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	_ = flag.Set("test.parallel", fleets)
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

// scenarioWait bounds a whole scenario, most of which wait for leases of a few
// seconds to end.
const scenarioWait = 2 * time.Minute

// start starts a fleet that ends with the test. The ends of its logs are shown
// where the test failed.
func start(t testing.TB, o btfleet.Options) (context.Context, *btfleet.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), scenarioWait)
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
