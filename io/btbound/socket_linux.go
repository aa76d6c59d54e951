package btbound

import "golang.org/x/sys/unix"

// closeWait is the state of a TCP socket whose peer has closed its direction (TCP_CLOSE_WAIT in
// the kernel's net/tcp_states.h).
const closeWait = 8

// inCloseWait reports whether the socket is in the state CLOSE-WAIT. A reset leaves it closed.
func inCloseWait(fd int) (bool, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false, err
	}
	return info.State == closeWait, nil
}
