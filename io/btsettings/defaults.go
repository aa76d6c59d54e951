package btsettings

import (
	"log/slog"
	"net/netip"
	"time"

	"bilberrytide/core/btbundle"
)

// Defaults of optional keys.
const (
	defaultBundleKey   = "bilberrytide-bundle"
	defaultBalancerLag = 5 * time.Second
	defaultMemoryMB    = 256
	defaultDescriptors = 4096
)

// DefaultEntry returns an entry's default settings, without the required keys.
func DefaultEntry() Entry {
	return Entry{BalancerLag: btbundle.Duration{Duration: defaultBalancerLag}, Tables: defaultTables()}
}

// DefaultAgent returns an agent's default settings, without the required keys.
func DefaultAgent() Agent { return Agent{Tables: defaultTables()} }

func defaultTables() Tables {
	return Tables{
		Platform:  Platform{BundleKey: defaultBundleKey},
		Approvers: btbundle.Approvers{Required: 1},
		Log:       Log{Level: slog.LevelInfo, Format: Text},
		Status:    Status{Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)},
		Limits:    Limits{MemoryMB: defaultMemoryMB, Descriptors: defaultDescriptors},
	}
}
