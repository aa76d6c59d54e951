package btagent_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btagent"
	"bilberrytide/io/btentry"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btplatform"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin"
)

const configKey = "bundle"

// fleet is entries and agents in this process, with a platform.
type fleet struct {
	t         *testing.T
	authority *btkeys.Authority
	approver  ed25519.PrivateKey
	approvers btbundle.Approvers
	store     *btstandin.Platform
	platform  netip.AddrPort
	bundle    btbundle.Bundle
	nodes     map[btpeer.Identity]*btpeer.Node
	entries   map[btid.Entry]*btentry.Entry
	agents    map[btid.Target]*btagent.Agent
	urls      map[btid.Entry]string
}

var quiet = slog.New(slog.DiscardHandler)

func newFleet(t *testing.T) *fleet {
	authority, err := btkeys.NewAuthority("fleet", time.Now(), time.Hour)
	assert.NilError(t, err)
	public, private, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	store, err := btstandin.NewPlatform(btstandin.PlatformOptions{Clock: btstandin.SystemClock{}})
	assert.NilError(t, err)
	f := &fleet{
		t:         t,
		authority: authority,
		approver:  private,
		approvers: btbundle.Approvers{Keys: []btbundle.Approver{{Name: "ann", Key: btbundle.PublicKey(public)}}},
		store:     store,
		bundle:    draft(),
		nodes:     map[btpeer.Identity]*btpeer.Node{},
		entries:   map[btid.Entry]*btentry.Entry{},
		agents:    map[btid.Target]*btagent.Agent{},
		urls:      map[btid.Entry]string{},
	}
	f.platform = f.listen(store)
	return f
}

func draft() btbundle.Bundle {
	span := func(d time.Duration) btbundle.Span { return btbundle.Span{Duration: d} }
	now := time.Now().UTC().Truncate(time.Second)
	return btbundle.Bundle{
		Created:     now,
		Timeouts:    btbundle.Timeouts{Request: span(20 * time.Second), RequestMax: span(30 * time.Second), Heartbeat: span(300 * time.Millisecond), TargetLease: span(5 * time.Second), Drain: span(30 * time.Second)},
		Idempotency: btbundle.Idempotency{Retention: span(10 * time.Minute), ClockError: span(500 * time.Millisecond), Lease: span(3 * time.Second)},
		Retry:       btbundle.Retry{BudgetShare: 0.2, MaxAttempts: 3, Backoff: span(time.Millisecond)},
		Ejection:    btbundle.Ejection{MaxShare: 0.4, Failures: 3, SlowFactor: 50, Duration: span(time.Minute)},
		Placement:   btbundle.Placement{SkewWeight: 1, MoveWeight: 1, Interval: span(10 * time.Second), Horizon: span(5 * time.Minute)},
		DataCentres: []btbundle.DataCentre{{Name: "north", Region: "home"}},
		Accounts:    []btbundle.Account{{Name: "families", KeyHashes: []btbundle.Digest{btbundle.HashKey("key")}, Rate: 1e6, Burst: 1_000_000, Concurrency: 1000, Weight: 1}},
	}
}

func (f *fleet) listen(h http.Handler) netip.AddrPort {
	server := httptest.NewServer(h)
	f.t.Cleanup(server.Close)
	f.t.Cleanup(server.CloseClientConnections)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// addEntries lists entries e0, e1 and so on.
func (f *fleet) addEntries(count int) {
	for i := range count {
		name := btid.Entry(fmt.Sprintf("e%d", i))
		node := f.node(btprocess.EntryIdentity(name))
		f.bundle.Entries = append(f.bundle.Entries, btbundle.Entry{Name: name, Host: btid.Host("host-" + name), DataCentre: "north", Address: node.Address()})
	}
}

// addTarget lists a target, and its service with the first.
func (f *fleet) addTarget(name btid.Target, service btid.Service, kind btbundle.Kind, endpoint netip.AddrPort) {
	node := f.node(btprocess.AgentIdentity(name))
	f.bundle.Targets = append(f.bundle.Targets, btbundle.Target{
		Name: name, Service: service, Host: btid.Host("host-" + name), DataCentre: "north",
		Address: node.Address(), Endpoint: endpoint, Slots: 4, Queue: 8,
	})
	for i := range f.bundle.Services {
		if s := &f.bundle.Services[i]; s.Name == service {
			s.Epochs[0].Homes = append(s.Epochs[0].Homes, name)
			return
		}
	}
	epoch := btbundle.HomeEpoch{Number: 1, Since: f.bundle.Created, Homes: []btid.Target{name}}
	f.bundle.Services = append(f.bundle.Services, btbundle.Service{Name: service, Kind: kind, MaxBody: 1 << 20, Epochs: []btbundle.HomeEpoch{epoch}})
}

func (f *fleet) node(id btpeer.Identity) *btpeer.Node {
	issued, err := f.authority.Issue(id, time.Now(), time.Hour)
	assert.NilError(f.t, err)
	files, err := issued.Write(f.t.TempDir())
	assert.NilError(f.t, err)
	keys, err := btkeys.New(btkeys.Options{Files: files})
	assert.NilError(f.t, err)
	node, err := btpeer.New(btpeer.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: keys})
	assert.NilError(f.t, err)
	f.nodes[id] = node
	return node
}

// publish approves and publishes the bundle as the given version.
func (f *fleet) publish(version btid.BundleVersion) {
	f.bundle.Version = version
	if version > 1 {
		f.bundle.Parent = btbundle.DigestOf([]byte("parent"))
	}
	document, err := toml.Marshal(f.bundle)
	assert.NilError(f.t, err)
	document = btbundle.TerminateDocument(document)
	signed := btbundle.Signed{Document: document, Signatures: []btbundle.Signature{btbundle.Sign(document, f.approver)}}
	_, err = f.store.PutConfig(configKey, signed.Bytes())
	assert.NilError(f.t, err)
}

// start publishes the bundle and starts all that it lists.
func (f *fleet) start() {
	f.publish(1)
	for i, e := range f.bundle.Entries {
		f.startEntry(e.Name, uint64(i))
	}
	for i, t := range f.bundle.Targets {
		f.startAgent(t.Name, uint64(i))
	}
	for _, e := range f.bundle.Entries {
		for _, t := range f.bundle.Targets {
			f.await("eligible", func() bool { return f.target(e.Name, t.Name).Eligible })
		}
	}
}

// common is what every process needs.
type common struct {
	node      *btpeer.Node
	platform  *btplatform.Client
	bundles   *btprocess.Bundles
	meter     *btmetric.Meter
	decisions *btmetric.Decisions
	random    *rand.Rand
}

var panics = btassert.New(btassert.Panic())

func (f *fleet) common(id btpeer.Identity, seed uint64) common {
	c := common{node: f.nodes[id], meter: btmetric.New(nil), decisions: btmetric.NewDecisions(32, quiet), random: rand.New(rand.NewPCG(1, seed))}
	c.platform = btplatform.New(btplatform.Options{Address: f.platform, Registry: c.meter.Registry()})
	c.bundles = btprocess.NewBundles(btprocess.BundlesOptions{
		DataCentre: "north", Host: btid.Host("host-" + id.Name), Node: c.node, Platform: c.platform, Key: configKey, Approvers: f.approvers,
		Meter: c.meter, Decisions: c.decisions, Log: quiet, Clock: time.Now, Assert: panics, Random: c.random,
	})
	return c
}

func (f *fleet) startEntry(name btid.Entry, seed uint64) {
	c := f.common(btprocess.EntryIdentity(name), seed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.urls[name] = "http://" + listener.Addr().String()
	f.entries[name] = btentry.New(btentry.Options{
		Name: name, DataCentre: "north", HostsEvery: 200 * time.Millisecond, Listener: listener, Node: c.node, Bundles: c.bundles, Platform: c.platform,
		Meter: c.meter, Decisions: c.decisions, Log: quiet, Clock: time.Now, Assert: panics, Random: c.random,
	})
	f.run(c.node, f.entries[name])
}

func (f *fleet) startAgent(name btid.Target, seed uint64) {
	c := f.common(btprocess.AgentIdentity(name), 100+seed)
	f.agents[name] = btagent.New(btagent.Options{
		Target: name, DataCentre: "north", Node: c.node, Bundles: c.bundles,
		Meter: c.meter, Decisions: c.decisions, Log: quiet, Clock: time.Now, Assert: panics, Random: c.random,
	})
	f.run(c.node, f.agents[name])
}

func (f *fleet) run(node *btpeer.Node, p interface{ Run(context.Context) error }) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = p.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		_ = node.Close(ctx)
		group.Wait()
	})
}

// target returns a target as an entry sees it.
func (f *fleet) target(entry btid.Entry, name btid.Target) btprocess.TargetStatus {
	for _, t := range f.entries[entry].Status().Targets {
		if t.Target == name {
			return t
		}
	}
	return btprocess.TargetStatus{}
}

// await waits for a state that is reached by itself.
func (f *fleet) await(what string, reached func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("%s: not reached", what)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
}

// call sends a request over an entry and returns the status and the body.
func (f *fleet) call(entry btid.Entry, path, body string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, f.urls[entry]+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	request.Header.Set("Authorization", "Bearer key")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	return response.StatusCode, string(data)
}
