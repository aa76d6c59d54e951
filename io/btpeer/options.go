package btpeer

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"

	"bilberrytide/io/btkeys"
	"bilberrytide/io/btpeer/btbackoff"
)

// Defaults of Options.
const (
	// DefaultMaxMessage is the size of the largest message received or sent, in bytes.
	DefaultMaxMessage = 16 << 20
	// DefaultMaxStreams is how many streams a peer may have open on one connection.
	DefaultMaxStreams = 4096
	// DefaultMaxConnections is how many accepted connections may be open at a time.
	DefaultMaxConnections = 2048
	// DefaultMaxPooled is the number of pooled connections at which a new one evicts
	// the least recently used one without streams. The keep-alives of more connections
	// would take too much of the control traffic that a node may have.
	DefaultMaxPooled = 128
	// DefaultIdleTimeout is how long a peer may be silent before its connection is
	// considered lost.
	DefaultIdleTimeout = 2500 * time.Millisecond
	// DefaultKeepAlive is the interval at which the dialling side sends keep-alives on a
	// silent connection. The loss of a dead or paused peer is detected after at least the
	// idle timeout and at most the sum of the two.
	DefaultKeepAlive = time.Second
	// DefaultDialTimeout limits the time to connect.
	DefaultDialTimeout = 2 * time.Second
	// DefaultPoolIdle is how long a dialled connection without streams is kept.
	DefaultPoolIdle = time.Minute
	// DefaultRedialFirst is the backoff after the first failure to connect.
	DefaultRedialFirst = 50 * time.Millisecond
	// DefaultRedialLast is the longest backoff.
	DefaultRedialLast = time.Second
)

// protocol is negotiated in the handshake, so that incompatible versions of
// the system refuse each other before anything is sent.
const protocol = "bilberrytide/1"

// Options are a Node's dependencies and limits. Zero values mean the defaults.
type Options struct {
	// Listen is the address of the socket; port 0 takes any free one.
	Listen netip.AddrPort
	// Keys must be set.
	Keys *btkeys.Source
	// Registry may be nil.
	Registry metrics.Registry
	// Log may be nil.
	Log *slog.Logger

	// MaxMessage is in bytes.
	MaxMessage     int
	MaxStreams     int
	MaxConnections int
	MaxPooled      int
	IdleTimeout    time.Duration
	KeepAlive      time.Duration
	DialTimeout    time.Duration
	PoolIdle       time.Duration
	Redial         btbackoff.Policy
}

func (o Options) withDefaults() Options {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	setDefault(&o.MaxMessage, DefaultMaxMessage)
	setDefault(&o.MaxStreams, DefaultMaxStreams)
	setDefault(&o.MaxConnections, DefaultMaxConnections)
	setDefault(&o.MaxPooled, DefaultMaxPooled)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.KeepAlive, DefaultKeepAlive)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.PoolIdle, DefaultPoolIdle)
	setDefault(&o.Redial.First, DefaultRedialFirst)
	setDefault(&o.Redial.Last, DefaultRedialLast)
	return o
}

func setDefault[T ~int | ~int64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// acceptConfig returns the settings of accepted connections. Only the dialling side sends
// keep-alives, which suffice for both sides to detect a silent peer.
func (o Options) acceptConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        o.IdleTimeout,
		HandshakeIdleTimeout:  o.DialTimeout,
		MaxIncomingStreams:    int64(o.MaxStreams),
		MaxIncomingUniStreams: -1,
	}
}

// dialConfig returns the settings of dialled connections, on which the peer opens only
// its control stream.
func (o Options) dialConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        o.IdleTimeout,
		HandshakeIdleTimeout:  o.DialTimeout,
		KeepAlivePeriod:       o.KeepAlive,
		MaxIncomingStreams:    -1,
		MaxIncomingUniStreams: 1,
	}
}
