//go:build !linux

package btfleet

import "os/exec"

// endWithParent changes nothing: this system has no such signal.
func endWithParent(*exec.Cmd) {}
