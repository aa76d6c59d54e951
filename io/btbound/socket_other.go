//go:build !linux

package btbound

// inCloseWait returns an error, as the state of a socket isn't read on this system.
func inCloseWait(int) (bool, error) { return false, errNoSocket }
