// Command standin runs one review case: it starts entries with the command of the deploy
// file, serves the platform's store and three targets to them, sends requests as callers
// do, and judges what the targets have received.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// runLimit bounds the whole case.
const runLimit = 100 * time.Second

// errSetup is wrapped by the errors that keep the case from running.
var errSetup = errors.New("case couldn't run")

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/bilberrytide", "program under test")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cut the watches")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	broken, err := runCase(ctx, *program, *record, *trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}

// runCase runs the case and reports whether the rule was broken.
func runCase(ctx context.Context, program, recordPath string, trouble bool) (broken bool, err error) {
	program, err = filepath.Abs(program)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errSetup, err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, fmt.Errorf("%w: %w", errSetup, err)
	}
	defer os.RemoveAll(dir)
	r, err := newRecord(recordPath)
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, r.close()) }()
	d, err := startDeployment(ctx, program, dir, r)
	if err != nil {
		return false, err
	}
	defer d.stop()
	return d.play(ctx, trouble)
}
