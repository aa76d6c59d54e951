// Package btinprocess is the set-up of tests that run entries and agents in one
// process, over real sockets on loopback, beside a stand-in of the platform.
//
// A test changes the fleet's bundle, lists what it wants, publishes the bundle
// and starts processes. All of it ends with the test.
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
	// DataCentre is where all processes stand.
	DataCentre btid.DataCentre = "north"
	// CallerKey is the key of the one client account.
	CallerKey = "caller-key"

	configKey = "bundle"
	// patience bounds the wait for a state that is reached by itself; look is how
	// often it is looked at.
	patience = time.Minute
	look     = 5 * time.Millisecond
	// life is how long certificates are good for.
	life = time.Hour
)

// free has the system choose a port.
var free = netip.MustParseAddrPort("127.0.0.1:0")

// quiet drops log lines.
var quiet = slog.New(slog.DiscardHandler)

// Fleet is the platform, the trust and the bundle that processes share.
type Fleet struct {
	TB       testing.TB
	Platform *btstandin.Platform
	// Approvers are whose signatures approve the bundle: the fleet's own.
	Approvers btbundle.Approvers
	// Bundle is what Publish approves next.
	Bundle btbundle.Bundle
	// Meters holds the meter of each process by its name.
	Meters map[string]*btmetric.Meter
	// Suspended is for how long, in nanoseconds, all hosts were suspended. Timers and the
	// steady clock know nothing of it.
	Suspended atomic.Int64

	authority *btkeys.Authority
	approver  ed25519.PrivateKey
	platform  netip.AddrPort
	seed      uint64
}

// New returns a fleet without processes, whose bundle is a Draft.
func New(tb testing.TB) *Fleet {
	tb.Helper()
	authority, err := btkeys.NewAuthority("fleet", time.Now(), life)
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
	f.platform = f.Listen(store)
	return f
}

// Draft returns a bundle that lists nothing but a data centre and a client
// account.
func Draft() btbundle.Bundle {
	return btbundle.Bundle{
		Version:     1,
		Created:     time.Now().UTC().Truncate(time.Second),
		Timeouts:    btbundle.Timeouts{Request: span(20 * time.Second), RequestMax: span(30 * time.Second), Heartbeat: span(300 * time.Millisecond), TargetLease: span(5 * time.Second)},
		Idempotency: btbundle.Idempotency{Retention: span(10 * time.Minute), ClockError: span(500 * time.Millisecond), Lease: span(3 * time.Second)},
		Retry:       btbundle.Retry{BudgetShare: 0.2, MaxAttempts: 3, Backoff: span(time.Millisecond)},
		Ejection:    btbundle.Ejection{MaxShare: 0.3, Failures: 5, SlowFactor: 50, Duration: span(5 * time.Second)},
		Placement:   btbundle.Placement{SkewWeight: 1, MoveWeight: 1, Interval: span(10 * time.Second), Horizon: span(5 * time.Minute)},
		DataCentres: []btbundle.DataCentre{{Name: DataCentre, Region: "home"}},
		Accounts:    []btbundle.Account{{Name: "families", KeyHashes: []btbundle.Digest{btbundle.HashKey(CallerKey)}, Rate: 1e6, Burst: 1_000_000, Concurrency: 1000, Weight: 1}},
	}
}

func span(d time.Duration) btbundle.Duration { return btbundle.Duration{Duration: d} }

// Listen serves the handler over HTTP until the test ends.
func (f *Fleet) Listen(h http.Handler) netip.AddrPort {
	server := httptest.NewServer(h)
	f.TB.Cleanup(server.Close)
	f.TB.Cleanup(server.CloseClientConnections)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// AddEntry lists an entry.
func (f *Fleet) AddEntry(name btid.Entry, address netip.AddrPort) {
	f.Bundle.Entries = append(f.Bundle.Entries, btbundle.Entry{Name: name, Host: HostOf(string(name)), DataCentre: DataCentre, Address: address})
}

// AddTarget lists a target, and with the first its service. The target is a key
// home of its service.
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

// HostOf returns the host that a process stands on.
func HostOf(process string) btid.Host { return btid.Host("host-" + process) }

// Sign returns the bundle, checked and approved.
func (f *Fleet) Sign() btbundle.Signed {
	f.TB.Helper()
	document, err := toml.Marshal(f.Bundle)
	assert.NilError(f.TB, err)
	_, err = btbundle.Decode(document)
	assert.NilError(f.TB, err)
	document = btbundle.TerminateDocument(document)
	return btbundle.Signed{Document: document, Signatures: []btbundle.Signature{btbundle.Sign(document, f.approver)}}
}

// Publish approves and publishes the bundle as the given version.
func (f *Fleet) Publish(version btid.BundleVersion) {
	f.TB.Helper()
	f.Bundle.Version = version
	if version > 1 {
		f.Bundle.Parent = btbundle.DigestOf([]byte("parent"))
	}
	f.PublishRaw(f.Sign().Bytes())
}

// PublishRaw publishes any bytes in the bundle's place.
func (f *Fleet) PublishRaw(data []byte) {
	f.TB.Helper()
	_, err := f.Platform.PutConfig(configKey, data)
	assert.NilError(f.TB, err)
}

// Await waits for a state that is reached by itself.
func (f *Fleet) Await(what string, reached func() bool) {
	f.TB.Helper()
	poll.WaitOn(f.TB, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("%s: not reached", what)
	}, poll.WithTimeout(patience), poll.WithDelay(look))
}

// Run runs a process until the test ends, or until the function that it returns
// ends it like a killed one.
func (f *Fleet) Run(node *btpeer.Node, run func(context.Context) error) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = run(ctx) })
	end = sync.OnceFunc(func() {
		cancel()
		_ = node.Close(ctx)
		group.Wait()
	})
	f.TB.Cleanup(end)
	return end
}
