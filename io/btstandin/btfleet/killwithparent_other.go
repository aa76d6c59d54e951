//go:build !linux

package btfleet

import "os/exec"

// killWithParent does nothing; a parent death signal is used on Linux only.
func killWithParent(*exec.Cmd) {}
