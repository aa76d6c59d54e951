package btfleet

import (
	"context"
	"fmt"
	"net/netip"
	"os/exec"
	"strconv"
	"strings"
	"sync"
)

// assignedPorts holds the ports that fleets of this process were given, so that two
// fleets that start at the same time don't get the same port.
var assignedPorts = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// loopback is the IP address of every process.
var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// ports returns loopback addresses whose ports are currently free.
func (f *Fleet) ports(ctx context.Context, count int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for len(list) < count {
		output, err := exec.CommandContext(ctx, f.options.Programs.Standin, "ports", "--count", strconv.Itoa(count)).Output()
		if err != nil {
			return nil, fmt.Errorf("free ports: %w", err)
		}
		for _, field := range strings.Fields(string(output)) {
			port, err := strconv.ParseUint(field, 10, 16)
			if err != nil {
				return nil, fmt.Errorf("free ports: %w", err)
			}
			if claimPort(uint16(port)) {
				list = append(list, netip.AddrPortFrom(loopback, uint16(port)))
			}
		}
	}
	return list, nil
}

// claimPort records the port as assigned, and reports whether it wasn't before.
func claimPort(port uint16) bool {
	assignedPorts.Lock()
	defer assignedPorts.Unlock()
	if assignedPorts.ports[port] {
		return false
	}
	assignedPorts.ports[port] = true
	return true
}
