// Package btsettings reads the settings that a process needs before it has a bundle: its
// name, host and data centre, its listening addresses, the platform's address and the
// keys and certificates that it trusts.
//
// Settings are TOML and are read once, at the start of the process. Everything that may
// change while a process runs is in the bundle instead. A change of settings requires a
// restart, except for the contents of the files that the tls table names.
package btsettings

import (
	"log/slog"
	"net/netip"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
)

// Entry holds the settings of an entry process. Its doc tags are printed in the
// reference.
type Entry struct {
	Name       btid.Entry      `toml:"name" json:"name" required:"true" doc:"The entry's name, as the bundle and its certificate (entry/<name>) have it."`
	Host       btid.Host       `toml:"host" json:"host" required:"true" doc:"The host that the process runs on."`
	DataCentre btid.DataCentre `toml:"data_centre" json:"data_centre" required:"true" doc:"The data centre that the host stands in."`
	Listen     netip.AddrPort  `toml:"listen" json:"listen" required:"true" doc:"Where callers reach the entry, over HTTP. Port 0 takes a free one, which the log tells."`
	PeerListen netip.AddrPort  `toml:"peer_listen" json:"peer_listen" required:"true" doc:"Where other processes reach it, over UDP: the address that the bundle lists. Port 0 takes a free one."`
	// BalancerLag is how long the listener stays open after readiness turns false.
	BalancerLag btbundle.Duration `toml:"balancer_lag" json:"balancer_lag" doc:"How long a stopping entry still takes callers after /readyz turned false: the time that the balancer needs to notice."`
	Tables
}

// Agent holds the settings of the process that runs next to a target. Its doc tags are
// printed in the reference.
type Agent struct {
	Target     btid.Target     `toml:"target" json:"target" required:"true" doc:"The target's name, as the bundle and the certificate (agent/<target>) have it."`
	Host       btid.Host       `toml:"host" json:"host" required:"true" doc:"The host that the process runs on."`
	DataCentre btid.DataCentre `toml:"data_centre" json:"data_centre" required:"true" doc:"The data centre that the host stands in."`
	PeerListen netip.AddrPort  `toml:"peer_listen" json:"peer_listen" required:"true" doc:"Where other processes reach it, over UDP: the address that the bundle lists. Port 0 takes a free one."`
	Tables
}

// Tables are the tables that the settings files of entries and agents share.
type Tables struct {
	Platform  Platform           `toml:"platform" json:"platform"`
	Peers     []Peer             `toml:"peers" json:"peers"`
	Approvers btbundle.Approvers `toml:"approvers" json:"approvers"`
	TLS       TLS                `toml:"tls" json:"tls"`
	Log       Log                `toml:"log" json:"log"`
	Status    Status             `toml:"status" json:"status"`
	Limits    Limits             `toml:"limits" json:"limits"`
}

// Platform holds the platform's address and the key of the bundle.
type Platform struct {
	Address   netip.AddrPort `toml:"address" json:"address" required:"true" doc:"Where the platform answers HTTP: configuration, hosts and weights."`
	BundleKey string         `toml:"bundle_key" json:"bundle_key" doc:"The configuration service's key that holds the signed bundle."`
}

// Peer is an entry that a starting process asks for the bundle in force, so that it can
// start without the configuration service and doesn't rely on a stale one.
type Peer struct {
	// Name is the identity in the entry's certificate: entry/<name>.
	Name string `toml:"name" json:"name"`
	// Address is the entry's peer_listen, over UDP.
	Address netip.AddrPort `toml:"address" json:"address"`
}

// TLS names the PEM files for mutual TLS between processes. A relative path is relative
// to the settings file's directory.
type TLS struct {
	CA   string `toml:"ca" json:"ca" required:"true" doc:"The certificate of the operator's CA, which signs every process's certificate."`
	Cert string `toml:"cert" json:"cert" required:"true" doc:"This process's certificate. The tls files are read again when they change."`
	Key  string `toml:"key" json:"key" required:"true" doc:"This process's private key."`
}

// Log configures the log, which is written to standard error.
type Log struct {
	Level  slog.Level `toml:"level" json:"level" doc:"The least severe level logged: debug, info, warn or error."`
	Format LogFormat  `toml:"format" json:"format" doc:"How lines are written: text or json."`
}

// Status configures the operators' HTTP endpoints.
type Status struct {
	Listen netip.AddrPort `toml:"listen" json:"listen" doc:"Where /metrics, /status, /healthz and /readyz answer, on loopback only. Port 0 takes a free one, which the log tells."`
}

// Limits are what the process may take of its host.
type Limits struct {
	MemoryMB    int64 `toml:"memory_mb" json:"memory_mb" doc:"The memory of the process, in MB of 1,048,576 bytes. Callers' requests get a quarter of it, their connections another."`
	Descriptors int   `toml:"descriptors" json:"descriptors" doc:"How many descriptors the process may open. Callers' connections get three quarters of them."`
}

// LogFormat is the format of log lines.
type LogFormat string

// The two formats of log lines.
const (
	Text LogFormat = "text"
	JSON LogFormat = "json"
)
