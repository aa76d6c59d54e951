package btfleet

import (
	"os/exec"
	"syscall"
)

// killWithParent makes the kernel kill the child if the test process dies before it
// closes its fleet.
func killWithParent(c *exec.Cmd) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
