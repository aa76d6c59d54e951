package btsettings

import (
	"log/slog"
	"net/netip"
	"time"

	"bilberrytide/core/btbundle"
)

// The values of keys that a settings file leaves out.
const (
	defaultBundleKey   = "bilberrytide-bundle"
	defaultBalancerLag = 5 * time.Second
)

// DefaultEntry returns an entry's settings before its file is read.
func DefaultEntry() Entry {
	return Entry{BalancerLag: btbundle.Duration{Duration: defaultBalancerLag}, Tables: defaultTables()}
}

// DefaultAgent returns an agent's settings before its file is read.
func DefaultAgent() Agent { return Agent{Tables: defaultTables()} }

func defaultTables() Tables {
	return Tables{
		Platform:  Platform{BundleKey: defaultBundleKey},
		Approvers: btbundle.Approvers{Required: 1},
		Log:       Log{Level: slog.LevelInfo, Format: Text},
		Status:    Status{Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)},
	}
}
