package btentry_test

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
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
	"bilberrytide/io/bthttp"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btplatform"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin"
)

const (
	plain     btid.Service = "pages"
	model     btid.Service = "drafting"
	bearer                 = "caller-key"
	configKey              = "bundle"
)

// place is one target of a world: a handler that its agent reaches over HTTP.
type place struct {
	name    btid.Target
	service btid.Service
	handler http.Handler
	slots   int
	queue   int
}

// world is one entry and an agent beside each target, in this process.
type world struct {
	tb       testing.TB
	trust    *btkeys.Authority
	approver btbundle.Approvers
	platform netip.AddrPort
	bundle   btbundle.Bundle
	meters   map[string]*btmetric.Meter
	agents   map[btid.Target]*member
	entry    *btentry.Entry
	url      string
	client   *http.Client
}

// member is one running process of a world.
type member struct {
	agent *btagent.Agent
	node  *btpeer.Node
	end   func()
}

// newWorld starts a world and returns once its entry gives work to all targets.
func newWorld(tb testing.TB, places []place, change func(*btbundle.Bundle)) *world {
	tb.Helper()
	w := &world{tb: tb, bundle: draft(), meters: map[string]*btmetric.Meter{}, agents: map[btid.Target]*member{}, client: &http.Client{Transport: &http.Transport{}}}
	var err error
	w.trust, err = btkeys.NewAuthority("fleet", time.Now(), time.Hour)
	assert.NilError(tb, err)
	store, err := btstandin.NewPlatform(btstandin.PlatformOptions{Clock: btstandin.SystemClock{}})
	assert.NilError(tb, err)
	w.platform = w.listen(store)
	public, private, err := ed25519.GenerateKey(nil)
	assert.NilError(tb, err)
	w.approver = btbundle.Approvers{Keys: []btbundle.Approver{{Name: "ann", Key: btbundle.PublicKey(public)}}}

	entryNode := w.node(btprocess.EntryIdentity("e1"), netip.MustParseAddrPort("127.0.0.1:0"))
	w.bundle.Entries = []btbundle.Entry{{Name: "e1", Host: "edge", DataCentre: "north", Address: entryNode.Address()}}
	nodes := map[btid.Target]*btpeer.Node{}
	for _, p := range places {
		nodes[p.name] = w.node(btprocess.AgentIdentity(p.name), netip.MustParseAddrPort("127.0.0.1:0"))
		w.addTarget(p, nodes[p.name].Address())
	}
	w.bundle.Services = slices.DeleteFunc(w.bundle.Services, func(s btbundle.Service) bool { return len(s.Epochs[0].Homes) == 0 })
	if change != nil {
		change(&w.bundle)
	}
	document, err := toml.Marshal(w.bundle)
	assert.NilError(tb, err)
	_, err = btbundle.Decode(document)
	assert.NilError(tb, err)
	document = btbundle.TerminateDocument(document)
	signed := btbundle.Signed{Document: document, Signatures: []btbundle.Signature{btbundle.Sign(document, private)}}
	_, err = store.PutConfig(configKey, signed.Bytes())
	assert.NilError(tb, err)

	w.startEntry(entryNode)
	for _, p := range places {
		w.startAgent(p.name, nodes[p.name])
	}
	tb.Cleanup(w.client.CloseIdleConnections)
	w.await(func() bool {
		targets := w.entry.Status().Targets
		for _, t := range targets {
			if !t.Eligible {
				return false
			}
		}
		return len(targets) == len(places)
	})
	return w
}

func draft() btbundle.Bundle {
	span := func(d time.Duration) btbundle.Span { return btbundle.Span{Duration: d} }
	now := time.Now().UTC().Truncate(time.Second)
	return btbundle.Bundle{
		Version:     1,
		Created:     now,
		Timeouts:    btbundle.Timeouts{Request: span(20 * time.Second), RequestMax: span(30 * time.Second), Heartbeat: span(200 * time.Millisecond), TargetLease: span(5 * time.Second), Drain: span(30 * time.Second)},
		Idempotency: btbundle.Idempotency{Retention: span(10 * time.Minute), ClockError: span(20 * time.Millisecond), Lease: span(500 * time.Millisecond)},
		Retry:       btbundle.Retry{BudgetShare: 0.2, MaxAttempts: 3, Backoff: span(time.Millisecond)},
		Ejection:    btbundle.Ejection{MaxShare: 0.3, Failures: 100, SlowFactor: 50, Duration: span(5 * time.Second)},
		Placement:   btbundle.Placement{SkewWeight: 1, MoveWeight: 1, Interval: span(10 * time.Second), Horizon: span(5 * time.Minute)},
		DataCentres: []btbundle.DataCentre{{Name: "north", Region: "home"}},
		Services:    []btbundle.Service{plainService(plain), {Name: model, Kind: btbundle.Model, MaxBody: 1 << 20, Epochs: firstEpoch()}},
		Accounts:    []btbundle.Account{{Name: "families", KeyHashes: []btbundle.Digest{btbundle.HashKey(bearer)}, Rate: 1e6, Burst: 1_000_000, Concurrency: 1000, Weight: 1}},
	}
}

func plainService(name btid.Service) btbundle.Service {
	return btbundle.Service{Name: name, Kind: btbundle.Plain, MaxBody: 4 << 20, Epochs: firstEpoch()}
}

func firstEpoch() []btbundle.HomeEpoch {
	return []btbundle.HomeEpoch{{Number: 1, Since: time.Now().UTC().Truncate(time.Second)}}
}

// addTarget lists a target.
func (w *world) addTarget(p place, address netip.AddrPort) {
	w.bundle.Targets = append(w.bundle.Targets, btbundle.Target{
		Name: p.name, Service: p.service, Host: btid.Host("host-" + p.name), DataCentre: "north",
		Address: address, Endpoint: w.listen(p.handler), Slots: max(p.slots, 1), Queue: p.queue,
	})
	i := slices.IndexFunc(w.bundle.Services, func(s btbundle.Service) bool { return s.Name == p.service })
	if i < 0 {
		i = len(w.bundle.Services)
		w.bundle.Services = append(w.bundle.Services, plainService(p.service))
	}
	epoch := &w.bundle.Services[i].Epochs[0]
	epoch.Homes = append(epoch.Homes, p.name)
}

func (w *world) listen(h http.Handler) netip.AddrPort {
	server := httptest.NewServer(h)
	w.tb.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func (w *world) node(id btpeer.Identity, listen netip.AddrPort) *btpeer.Node {
	issued, err := w.trust.Issue(id, time.Now(), time.Hour)
	assert.NilError(w.tb, err)
	files, err := issued.Write(w.tb.TempDir())
	assert.NilError(w.tb, err)
	keys, err := btkeys.New(btkeys.Options{Files: files})
	assert.NilError(w.tb, err)
	meter := btmetric.New(nil)
	w.meters[id.Name] = meter
	node, err := btpeer.New(btpeer.Options{Listen: listen, Keys: keys, Registry: meter.Registry()})
	assert.NilError(w.tb, err)
	return node
}

var quiet = slog.New(slog.DiscardHandler)

func (w *world) bundles(node *btpeer.Node, client *btplatform.Client) *btprocess.Bundles {
	meter := w.meters[node.Identity().Name]
	return btprocess.NewBundles(btprocess.BundlesOptions{
		DataCentre: "north", Node: node, Platform: client, Key: configKey, Approvers: w.approver,
		Meter: meter, Decisions: btmetric.NewDecisions(1, quiet), Log: quiet, Clock: time.Now,
		Assert: btassert.New(btassert.Panic()), Random: rand.New(rand.NewPCG(1, 1)),
	})
}

func (w *world) startEntry(node *btpeer.Node) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(w.tb, err)
	client := btplatform.New(btplatform.Options{Address: w.platform})
	w.entry = btentry.New(btentry.Options{
		Name: "e1", DataCentre: "north", Listener: listener, Node: node, Bundles: w.bundles(node, client), Platform: client,
		Meter: w.meters["e1"], Decisions: btmetric.NewDecisions(8, quiet), Log: quiet, Clock: time.Now,
		Assert: btassert.New(btassert.Panic()), Random: rand.New(rand.NewPCG(1, 2)),
	})
	w.url = "http://" + listener.Addr().String()
	w.run(node, w.entry)
}

func (w *world) startAgent(name btid.Target, node *btpeer.Node) {
	client := btplatform.New(btplatform.Options{Address: w.platform})
	agent := btagent.New(btagent.Options{
		Target: name, DataCentre: "north", Node: node, Bundles: w.bundles(node, client),
		Meter: w.meters[string(name)], Decisions: btmetric.NewDecisions(8, quiet), Log: quiet, Clock: time.Now,
		Assert: btassert.New(btassert.Panic()), Random: rand.New(rand.NewPCG(1, 3)),
	})
	w.agents[name] = w.run(node, agent)
	w.agents[name].agent = agent
}

// run runs a process until the test ends, or until it is ended like a killed
// one.
func (w *world) run(node *btpeer.Node, p interface{ Run(context.Context) error }) *member {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = p.Run(ctx) })
	m := &member{node: node, end: sync.OnceFunc(func() {
		cancel()
		_ = node.Close(ctx)
		group.Wait()
	})}
	w.tb.Cleanup(m.end)
	return m
}

// restart ends an agent at once and starts its next life, with nothing
// remembered.
func (w *world) restart(name btid.Target) {
	old := w.agents[name]
	old.end()
	w.startAgent(name, w.node(btprocess.AgentIdentity(name), old.node.Address()))
	w.grants(http.MethodGet, "/services/pages/x", "")
}

// grants returns once the service's key home may grant: a request with a key ran.
func (w *world) grants(method, path, body string) {
	w.await(func() bool { return w.do(method, path, body, "Idempotency-Key", w.key()).StatusCode == http.StatusOK })
}

// await waits for a state that is reached by itself.
func (w *world) await(reached func() bool) {
	w.tb.Helper()
	poll.WaitOn(w.tb, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("not reached")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// reply is what a caller got.
type reply struct {
	*http.Response
	body string
	// broken is the error by which the body ended, nil for a whole one.
	broken error
}

func (r reply) reason() string { return r.Header.Get(bthttp.HeaderReason) }
func (r reply) outcome() string {
	return r.Header.Get(bthttp.HeaderOutcome) + r.Trailer.Get(bthttp.HeaderOutcome)
}

// do sends a request with header fields given in pairs and reads the answer.
func (w *world) do(method, path, body string, fields ...string) reply {
	w.tb.Helper()
	r, err := w.try(context.Background(), method, path, strings.NewReader(body), fields...)
	assert.NilError(w.tb, err)
	return r
}

func (w *world) try(ctx context.Context, method, path string, body io.Reader, fields ...string) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, w.url+path, body)
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Authorization", "Bearer "+bearer)
	for i := 0; i < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	response, err := w.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{Response: response, body: string(data), broken: err}, nil
}

// background sends a request from another goroutine.
func (w *world) background(answered chan<- reply, path string, fields ...string) {
	go func() {
		r, err := w.try(context.Background(), http.MethodPost, path, nil, fields...)
		assert.Check(w.tb, err)
		answered <- r
	}()
}

// key returns a new idempotency key of the entry's.
func (w *world) key() string {
	var issued struct {
		Key string `json:"idempotency_key"`
	}
	r := w.do(http.MethodPost, bthttp.PathKeys, "")
	assert.NilError(w.tb, json.Unmarshal([]byte(r.body), &issued), r.body)
	return issued.Key
}

// refused counts a reason at a process.
func (w *world) refused(process, reason string) int64 {
	return w.meters[process].Counter(btmetric.PrefixRefused + reason).Count()
}

func (w *world) retried(reason string) int64 {
	return w.meters["e1"].Counter(btmetric.PrefixRetried + reason).Count()
}

// checkRefusal checks all that a refusal tells its caller.
func (w *world) checkRefusal(r reply, status int, reason, outcome string) {
	w.tb.Helper()
	assert.Equal(w.tb, r.reason(), reason, "body %s", r.body)
	assert.Equal(w.tb, r.StatusCode, status)
	assert.Equal(w.tb, r.outcome(), outcome)
	var body bthttp.ErrorBody
	if r.Request.Method != http.MethodHead {
		assert.NilError(w.tb, json.Unmarshal([]byte(r.body), &body))
		assert.Equal(w.tb, string(body.Error.Reason), reason)
		assert.Equal(w.tb, string(body.Error.Outcome), outcome)
		assert.Assert(w.tb, body.Error.Message != "" && body.Error.Type != "" && body.Error.Code != "")
	}
}
