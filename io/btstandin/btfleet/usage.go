package btfleet

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage holds the resources that a process uses.
type Usage struct {
	// CPU is the processor time used so far, with a resolution of 10 ms.
	CPU time.Duration
	// Resident is the resident set size in bytes.
	Resident int64
}

const (
	// clockTick is the unit of processor times in /proc, which is 1/100 s on every
	// Linux platform that Go supports.
	clockTick = 10 * time.Millisecond
	// Indexes into /proc/<pid>/stat, counted from the field after the command name:
	// user time, system time and resident pages.
	userField     = 11
	systemField   = userField + 1
	residentField = 21
)

// Usage reads the process's resource usage, on systems with /proc.
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
		CPU:      time.Duration(values[0]+values[1]) * clockTick,
		Resident: values[2] * int64(os.Getpagesize()),
	}, nil
}
