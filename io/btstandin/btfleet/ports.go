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

// handed holds the ports that fleets of this process were given, so that two
// that start at the same time get none twice.
var handed = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// loopback is the address of every process.
var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// ports returns loopback addresses that are free just now.
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
			if hand(uint16(port)) {
				list = append(list, netip.AddrPortFrom(loopback, uint16(port)))
			}
		}
	}
	return list, nil
}

// hand tells whether the port was not handed out before.
func hand(port uint16) bool {
	handed.Lock()
	defer handed.Unlock()
	if handed.ports[port] {
		return false
	}
	handed.ports[port] = true
	return true
}
