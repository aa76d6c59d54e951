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
	return Entry{
		BalancerLag: btbundle.Span{Duration: defaultBalancerLag},
		Platform:    defaultPlatform(),
		Approvers:   defaultApprovers(),
		Log:         defaultLog(),
		Status:      defaultStatus(),
	}
}

// DefaultAgent returns an agent's settings before its file is read.
func DefaultAgent() Agent {
	return Agent{
		Platform:  defaultPlatform(),
		Approvers: defaultApprovers(),
		Log:       defaultLog(),
		Status:    defaultStatus(),
	}
}

func defaultPlatform() Platform { return Platform{BundleKey: defaultBundleKey} }

func defaultApprovers() btbundle.Approvers { return btbundle.Approvers{Required: 1} }

func defaultLog() Log { return Log{Level: slog.LevelInfo, Format: Text} }

func defaultStatus() Status {
	return Status{Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)}
}
