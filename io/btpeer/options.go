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
	// DefaultMaxMessage is the largest message accepted or sent, in bytes.
	DefaultMaxMessage = 16 << 20
	// DefaultMaxStreams is how many streams one peer may have open here.
	DefaultMaxStreams = 4096
	// DefaultMaxConnections is how many connections are accepted at a time.
	DefaultMaxConnections = 2048
	// DefaultMaxPooled is how many dialled connections are kept when they have
	// no streams; the keep-alives of more would take too much of the control
	// traffic that a node may have.
	DefaultMaxPooled = 128
	// DefaultIdleTimeout is how long a peer may be silent before it is lost.
	DefaultIdleTimeout = 2500 * time.Millisecond
	// DefaultKeepAlive is the interval at which the dialling side makes the
	// peer of a silent connection answer. A dead or paused peer is noticed
	// after between the idle timeout and the two together.
	DefaultKeepAlive = time.Second
	// DefaultDialTimeout bounds the time to connect.
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

// accepting returns the settings of accepted connections. Only the dialling
// side sends keep-alives: one side's suffice for both to notice silence.
func (o Options) accepting() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        o.IdleTimeout,
		HandshakeIdleTimeout:  o.DialTimeout,
		MaxIncomingStreams:    int64(o.MaxStreams),
		MaxIncomingUniStreams: -1,
	}
}

// dialling returns the settings of dialled connections, on which the peer
// opens one stream only: its control stream.
func (o Options) dialling() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        o.IdleTimeout,
		HandshakeIdleTimeout:  o.DialTimeout,
		KeepAlivePeriod:       o.KeepAlive,
		MaxIncomingStreams:    -1,
		MaxIncomingUniStreams: 1,
	}
}
