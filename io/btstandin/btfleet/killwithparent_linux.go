package btfleet

import (
	"os/exec"
	"syscall"
)

// endWithParent has the kernel end the child when the test process dies before
// it could close its fleet.
func endWithParent(c *exec.Cmd) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
