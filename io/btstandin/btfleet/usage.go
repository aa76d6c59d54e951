package btfleet

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has used so far.
type Usage struct {
	// CPU is its processor time, to 10 ms.
	CPU time.Duration
	// Resident is its resident memory in bytes.
	Resident int64
}

const (
	// tick is the unit of processor times in /proc, on every Linux platform
	// that Go supports.
	tick = 10 * time.Millisecond
	// userField is the place of the user time in /proc/<pid>/stat after the
	// command's name; the system time and, further on, the resident pages follow.
	userField     = 11
	systemField   = userField + 1
	residentField = 21
)

// Usage reads what the process has used, on systems with /proc.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		return Usage{}, err
	}
	_, rest, _ := bytes.Cut(data, []byte(") "))
	fields := strings.Fields(string(rest))
	if len(fields) <= residentField {
		return Usage{}, fmt.Errorf("/proc/%d/stat: %d fields", p.ID(), len(fields))
	}
	var values [3]int64
	for i, field := range []int{userField, systemField, residentField} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return Usage{}, fmt.Errorf("/proc/%d/stat: %w", p.ID(), err)
		}
	}
	return Usage{
		CPU:      time.Duration(values[0]+values[1]) * tick,
		Resident: values[2] * int64(os.Getpagesize()),
	}, nil
}
