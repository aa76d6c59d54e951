// Package btinprocess is a test fixture that runs entries and agents within one
// process, over loopback sockets, with a stand-in for the platform.
//
// A test edits the fleet's bundle, adds entries and targets, publishes the bundle
// and starts the entries and agents. Everything is stopped when the test ends.
package btinprocess

import (
	"context"
	"crypto/ed25519"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btstandin"
)

const (
	// DataCentre is the data centre of all processes.
	DataCentre btid.DataCentre = "north"
	// CallerKey is the key of the one client account.
	CallerKey = "caller-key"

	configKey = "bundle"
	// awaitTimeout is how long Await waits, and awaitInterval how often it checks.
	awaitTimeout  = time.Minute
	awaitInterval = 5 * time.Millisecond
	// peerTimeout limits dialling and the silence of a peer. It is longer than the
	// product's: all processes of a fleet share a host that may be busy for seconds, and
	// none of them has failed then.
	peerTimeout = 8 * time.Second
	// certificateValidity is the validity of the CA and of issued certificates.
	certificateValidity = time.Hour
)

// anyPort lets the system choose a port.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// discardLog discards all log messages.
var discardLog = slog.New(slog.DiscardHandler)

// Fleet holds the platform, the signing keys and the bundle that processes share.
type Fleet struct {
	// BalancerLag is that of the entries that are started from now on.
	BalancerLag time.Duration

	TB       testing.TB
	Platform *btstandin.Platform
	// Approvers holds the public key of the fleet's approver.
	Approvers btbundle.Approvers
	// Bundle is the draft that Publish signs next.
	Bundle btbundle.Bundle
	// Meters holds each process's meter by the name of its node.
	Meters map[string]*btmetric.Meter
	// Suspended is the total time, in nanoseconds, for which all hosts were
	// suspended. It is part of Elapsed, but not of timers or the monotonic clock.
	Suspended atomic.Int64

	authority       *btkeys.Authority
	approver        ed25519.PrivateKey
	nodeLog         *slog.Logger
	platformAddress netip.AddrPort
	seed            uint64
}

// New returns a fleet without processes, with Draft as its bundle.
func New(tb testing.TB) *Fleet {
	tb.Helper()
	authority, err := btkeys.NewAuthority("fleet", time.Now(), certificateValidity)
	assert.NilError(tb, err)
	public, private, err := ed25519.GenerateKey(nil)
	assert.NilError(tb, err)
	store, err := btstandin.NewPlatform(btstandin.PlatformOptions{Clock: btstandin.SystemClock{}})
	assert.NilError(tb, err)
	f := &Fleet{
		TB:        tb,
		Platform:  store,
		Approvers: btbundle.Approvers{Keys: []btbundle.Approver{{Name: "ann", Key: btbundle.PublicKey(public)}}},
		Bundle:    Draft(),
		Meters:    map[string]*btmetric.Meter{},
		authority: authority,
		approver:  private,
	}
	f.printOnFailure()
	f.platformAddress = f.Listen(store)
	return f
}

// Draft returns a bundle with one data centre and one client account, but no
// processes or services.
func Draft() btbundle.Bundle {
	return btbundle.Bundle{
		Version:     1,
		Created:     time.Now().UTC().Truncate(time.Second),
		Timeouts:    btbundle.Timeouts{Request: duration(20 * time.Second), RequestMax: duration(30 * time.Second), Heartbeat: duration(300 * time.Millisecond), TargetLease: duration(5 * time.Second)},
		Idempotency: btbundle.Idempotency{Retention: duration(10 * time.Minute), ClockError: duration(500 * time.Millisecond), Lease: duration(3 * time.Second)},
		Retry:       btbundle.Retry{BudgetShare: 0.2, MaxAttempts: 3, Backoff: duration(time.Millisecond)},
		Ejection:    btbundle.Ejection{MaxShare: 0.3, Failures: 5, SlowFactor: 50, Duration: duration(5 * time.Second)},
		Placement:   btbundle.Placement{SkewWeight: 1, MoveWeight: 1, Interval: duration(10 * time.Second), Horizon: duration(5 * time.Minute)},
		DataCentres: []btbundle.DataCentre{{Name: DataCentre, Region: "home"}},
		Accounts:    []btbundle.Account{{Name: "families", KeyHashes: []btbundle.Digest{btbundle.HashKey(CallerKey)}, Rate: 1e6, Burst: 1_000_000, Concurrency: 1000, Weight: 1}},
	}
}

func duration(d time.Duration) btbundle.Duration { return btbundle.Duration{Duration: d} }

// Listen serves the handler over HTTP until the test ends.
func (f *Fleet) Listen(h http.Handler) netip.AddrPort {
	server := httptest.NewServer(h)
	f.TB.Cleanup(func() { f.checkNotices(h) })
	f.TB.Cleanup(server.Close)
	f.TB.Cleanup(server.CloseClientConnections)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// checkNotices fails the test if a stand-in got requests although it had asked for rest or
// announced that it is leaving.
func (f *Fleet) checkNotices(h http.Handler) {
	f.TB.Helper()
	target, counts := h.(interface{ Executions() btstandin.Executions })
	if !counts {
		return
	}
	for _, v := range target.Executions().Violations {
		f.TB.Error(v)
	}
}

// AddEntry adds an entry to the bundle.
func (f *Fleet) AddEntry(name btid.Entry, address netip.AddrPort) {
	f.Bundle.Entries = append(f.Bundle.Entries, btbundle.Entry{Name: name, Host: HostOf(string(name)), DataCentre: DataCentre, Address: address})
}

// AddTarget adds a target to the bundle as a key home of its service, and adds the
// service itself if this is its first target.
func (f *Fleet) AddTarget(t btbundle.Target, kind btbundle.Kind) {
	t.Host = HostOf(string(t.Name))
	t.DataCentre = DataCentre
	f.Bundle.Targets = append(f.Bundle.Targets, t)
	for i := range f.Bundle.Services {
		if s := &f.Bundle.Services[i]; s.Name == t.Service {
			s.Epochs[0].Homes = append(s.Epochs[0].Homes, t.Name)
			return
		}
	}
	epoch := btbundle.HomeEpoch{Number: 1, Since: f.Bundle.Created, Homes: []btid.Target{t.Name}}
	f.Bundle.Services = append(f.Bundle.Services, btbundle.Service{Name: t.Service, Kind: kind, MaxBody: 1 << 20, Epochs: []btbundle.HomeEpoch{epoch}})
}

// HostOf returns the host of a process.
func HostOf(process string) btid.Host { return btid.Host("host-" + process) }

// Sign validates the bundle and returns it signed by the approver.
func (f *Fleet) Sign() btbundle.Signed {
	f.TB.Helper()
	document, err := toml.Marshal(f.Bundle)
	assert.NilError(f.TB, err)
	_, err = btbundle.Decode(document)
	assert.NilError(f.TB, err)
	document = btbundle.TerminateDocument(document)
	return btbundle.Signed{Document: document, Signatures: []btbundle.Signature{btbundle.Sign(document, f.approver)}}
}

// Publish signs the bundle as the given version and publishes it.
func (f *Fleet) Publish(version btid.BundleVersion) {
	f.TB.Helper()
	f.Bundle.Version = version
	if version > 1 {
		f.Bundle.Parent = btbundle.DigestOf([]byte("parent"))
	}
	f.PublishRaw(f.Sign().Bytes())
}

// PublishRaw publishes arbitrary bytes under the bundle's configuration key.
func (f *Fleet) PublishRaw(data []byte) {
	f.TB.Helper()
	_, err := f.Platform.PutConfig(configKey, data)
	assert.NilError(f.TB, err)
}

// Await polls until reached returns true; it fails the test after a minute.
func (f *Fleet) Await(what string, reached func() bool) {
	f.TB.Helper()
	poll.WaitOn(f.TB, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("%s: not reached", what)
	}, poll.WithTimeout(awaitTimeout), poll.WithDelay(awaitInterval))
}

// Run runs a process until the test ends or the returned function is called, which
// ends the process without an orderly stop.
func (f *Fleet) Run(node *btpeer.Node, run func(context.Context) error) (kill func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = run(ctx) })
	kill = sync.OnceFunc(func() {
		cancel()
		_ = node.Close(ctx)
		group.Wait()
	})
	f.TB.Cleanup(kill)
	return kill
}
