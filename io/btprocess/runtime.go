package btprocess

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/io/btclock"
	"bilberrytide/io/btfront"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btplatform"
	"bilberrytide/io/btsettings"
)

// CommonSettings are the settings that entries and agents share.
type CommonSettings struct {
	Host       btid.Host
	DataCentre btid.DataCentre
	PeerListen netip.AddrPort
	btsettings.Tables
}

// Runtime holds the components that every process has, built from its settings.
type Runtime struct {
	Keys      *btkeys.Source
	Node      *btpeer.Node
	Platform  *btplatform.Client
	Bundles   *Bundles
	Meter     *btmetric.Meter
	Decisions *btmetric.Decisions
	Log       *slog.Logger
	Clock     btloop.Clock
	// Elapsed is a clock that also advances while the host is suspended.
	Elapsed btloop.Clock
	Assert  *btassert.Asserter
	Random  *rand.Rand
	// StatusListener accepts connections to the operators' HTTP endpoints.
	StatusListener net.Listener
}

// NewRuntime builds the runtime of a process with this role from its settings. It writes
// log lines to logs. The error names the setting that failed.
func NewRuntime(role btkeys.Role, c CommonSettings, logs io.Writer) (*Runtime, error) {
	configureGC(c.Limits.MemoryMB << 20)
	log := newLog(c.Log, logs)
	meter := btmetric.New(nil)
	keys, err := btkeys.New(btkeys.Options{
		Files:    btkeys.Files{Certificate: c.TLS.Cert, Key: c.TLS.Key, Authority: c.TLS.CA},
		Registry: meter.Registry(),
		Log:      log,
	})
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	if keys.Identity().Role != role {
		return nil, fmt.Errorf("tls.cert %s: certificate of %s, want one of role %s", c.TLS.Cert, keys.Identity(), role)
	}
	node, err := btpeer.New(btpeer.Options{Listen: c.PeerListen, Keys: keys, Registry: meter.Registry(), Log: log})
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	listener, err := net.Listen("tcp", c.Status.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("status.listen: %w", err)
	}
	clock, err := btclock.New(btclock.NewSystem(), time.Now(), func(suspended time.Duration) {
		log.Warn("host was suspended", "for_ms", suspended.Milliseconds())
	})
	if err != nil {
		return nil, err
	}
	r := &Runtime{
		Keys:           keys,
		Node:           node,
		Platform:       btplatform.New(btplatform.Options{Address: c.Platform.Address, Registry: meter.Registry()}),
		Meter:          meter,
		Decisions:      btmetric.NewDecisions(btmetric.DefaultDecisions, log),
		Log:            log,
		Clock:          time.Now,
		Elapsed:        clock.Now,
		Assert:         btassert.New(btmetric.NewViolations(meter, log)),
		Random:         newRandom(),
		StatusListener: listener,
	}
	r.Bundles = NewBundles(r.bundlesOptions(c))
	return r, nil
}

func (r *Runtime) bundlesOptions(c CommonSettings) BundlesOptions {
	return BundlesOptions{
		DataCentre: c.DataCentre,
		Host:       c.Host,
		Seeds:      seedEndpoints(c.Peers),
		Node:       r.Node,
		Platform:   r.Platform,
		Key:        c.Platform.BundleKey,
		Approvers:  c.Approvers,
		Meter:      r.Meter,
		Decisions:  r.Decisions,
		Log:        r.Log,
		Clock:      r.Clock,
		Assert:     r.Assert,
		Random:     forkRandom(r.Random),
	}
}

// seedEndpoints returns the endpoints of the peers in the settings, whose names have
// been checked.
func seedEndpoints(peers []btsettings.Peer) []btpeer.Endpoint {
	var seeds []btpeer.Endpoint
	for _, p := range peers {
		if identity, err := btkeys.ParseIdentity(p.Name); err == nil {
			seeds = append(seeds, btpeer.Endpoint{Identity: identity, Address: p.Address})
		}
	}
	return seeds
}

// ServeStatus serves the operators' HTTP endpoints until the context ends.
func (r *Runtime) ServeStatus(ctx context.Context, handler http.Handler) error {
	front, server := btfront.NewOperatorServer("status", handler, r.Clock, r.Meter, r.Log)
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return btfront.ServeOperator(front, server, r.StatusListener)
}

// closeTimeout limits how long a process that exits waits for its last messages to be
// received.
const closeTimeout = time.Second

// Close closes the connections to other processes gracefully, within closeTimeout.
func (r *Runtime) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = r.Node.Close(ctx)
}

func newLog(c btsettings.Log, logs io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: c.Level}
	if c.Format == btsettings.JSON {
		return slog.New(slog.NewJSONHandler(logs, options))
	}
	return slog.New(slog.NewTextHandler(logs, options))
}

// newRandom returns a source that is seeded by the operating system.
func newRandom() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewPCG(binary.NativeEndian.Uint64(seed[:8]), binary.NativeEndian.Uint64(seed[8:])))
}
