package btentry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/bthttp"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin/btinprocess"
)

const (
	plain btid.Service = "pages"
	model btid.Service = "drafting"
)

// balancerLag is how long entries in a planned stop still accept connections.
const balancerLag = 500 * time.Millisecond

// testTarget is one target of a system: a handler that its agent reaches over HTTP.
type testTarget struct {
	name    btid.Target
	service btid.Service
	handler http.Handler
	slots   int
	queue   int
}

// system is one entry or two and an agent for each target, in this process.
type system struct {
	*btinprocess.Fleet
	entry *btinprocess.Entry
	// other is the second entry, if there is one.
	other  *btinprocess.Entry
	agents map[btid.Target]*btinprocess.Agent
	client *http.Client
}

// newSystem starts a system with one entry and returns when all targets are eligible
// there.
func newSystem(tb testing.TB, targets []testTarget, change func(*btbundle.Bundle)) *system {
	tb.Helper()
	return newSystemWithEntries(tb, 1, targets, change)
}

// newSystemWithEntries starts a system with one or two entries.
func newSystemWithEntries(tb testing.TB, entries int, targets []testTarget, change func(*btbundle.Bundle)) *system {
	tb.Helper()
	w := &system{Fleet: btinprocess.New(tb), agents: map[btid.Target]*btinprocess.Agent{}, client: &http.Client{Transport: &http.Transport{}}}
	w.BalancerLag = balancerLag
	w.draftBundle()
	entryNode := w.Node(btprocess.EntryIdentity("e1"))
	w.AddEntry("e1", entryNode.Address())
	var otherNode *btpeer.Node
	if entries > 1 {
		otherNode = w.Node(btprocess.EntryIdentity("e2"))
		w.AddEntry("e2", otherNode.Address())
	}
	nodes := map[btid.Target]*btpeer.Node{}
	for _, p := range targets {
		nodes[p.name] = w.Node(btprocess.AgentIdentity(p.name))
		w.AddTarget(btbundle.Target{
			Name: p.name, Service: p.service, Address: nodes[p.name].Address(), Endpoint: w.Listen(p.handler),
			Slots: max(p.slots, 1), Queue: p.queue,
		}, btbundle.Plain)
	}
	w.Bundle.Services = slices.DeleteFunc(w.Bundle.Services, func(s btbundle.Service) bool { return len(s.Epochs[0].Homes) == 0 })
	if change != nil {
		change(&w.Bundle)
	}
	w.Publish(1)
	w.entry = w.StartEntry(entryNode)
	started := []*btinprocess.Entry{w.entry}
	if otherNode != nil {
		w.other = w.StartEntry(otherNode)
		started = append(started, w.other)
	}
	for _, p := range targets {
		w.agents[p.name] = w.StartAgent(nodes[p.name])
	}
	tb.Cleanup(w.client.CloseIdleConnections)
	for _, e := range started {
		w.await(func() bool { return usesAllTargets(e, len(targets)) })
	}
	return w
}

// usesAllTargets reports whether all targets that the entry knows are eligible and there
// are count of them.
func usesAllTargets(e *btinprocess.Entry, count int) bool {
	targets := e.Status().Targets
	for _, t := range targets {
		if !t.Eligible {
			return false
		}
	}
	return len(targets) == count
}

// draftBundle sets short times for tests, and lists a plain service and a model.
func (w *system) draftBundle() {
	b := &w.Bundle
	b.Timeouts.Heartbeat.Duration = 200 * time.Millisecond
	b.Idempotency.ClockError.Duration = 20 * time.Millisecond
	b.Idempotency.Lease.Duration = 500 * time.Millisecond
	b.Ejection.Failures = 100
	epoch := func() []btbundle.HomeEpoch { return []btbundle.HomeEpoch{{Number: 1, Since: b.Created}} }
	b.Services = []btbundle.Service{
		{Name: plain, Kind: btbundle.Plain, MaxBody: 4 << 20, Epochs: epoch()},
		{Name: model, Kind: btbundle.Model, MaxBody: 1 << 20, Epochs: epoch()},
	}
}

// restartAgent stops an agent without a drain and starts a new incarnation, which
// remembers nothing.
func (w *system) restartAgent(name btid.Target) {
	old := w.agents[name]
	old.Kill()
	w.agents[name] = w.StartAgent(w.NodeAt(btprocess.AgentIdentity(name), old.Node.Address()))
	w.awaitGrants(http.MethodGet, "/services/pages/x", "")
}

// awaitGrants waits until the service's key home grants keys: a request with a key ran.
func (w *system) awaitGrants(method, path, body string) {
	w.await(func() bool {
		return w.do(method, path, body, "Idempotency-Key", w.newKey()).StatusCode == http.StatusOK
	})
}

// await waits until reached returns true.
func (w *system) await(reached func() bool) {
	w.TB.Helper()
	w.Await("state", reached)
}

// reply is what the caller received.
type reply struct {
	*http.Response
	body string
	// bodyErr is the error of reading the body, nil if it was complete.
	bodyErr error
}

// refusal returns the outcome and reason of a request that was not served.
func (r reply) refusal(err error) string {
	if err != nil {
		return err.Error()
	}
	return r.outcome() + " " + r.reason()
}

func (r reply) reason() string { return r.Header.Get(bthttp.HeaderReason) }
func (r reply) outcome() string {
	return r.Header.Get(bthttp.HeaderOutcome) + r.Trailer.Get(bthttp.HeaderOutcome)
}

// do sends a request with headers given in pairs and reads the answer.
func (w *system) do(method, path, body string, fields ...string) reply {
	w.TB.Helper()
	r, err := w.try(context.Background(), method, path, strings.NewReader(body), fields...)
	assert.NilError(w.TB, err)
	return r
}

func (w *system) try(ctx context.Context, method, path string, body io.Reader, fields ...string) (reply, error) {
	return w.tryEntry(ctx, w.entry, method, path, body, fields...)
}

// tryEntry sends a request to an entry.
func (w *system) tryEntry(ctx context.Context, to *btinprocess.Entry, method, path string, body io.Reader, fields ...string) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, to.URL+path, body)
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Authorization", "Bearer "+btinprocess.CallerKey)
	for i := 0; i < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	response, err := w.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{Response: response, body: string(data), bodyErr: err}, nil
}

// sendInBackground sends a request from another goroutine.
func (w *system) sendInBackground(answered chan<- reply, path string, fields ...string) {
	go func() {
		r, err := w.try(context.Background(), http.MethodPost, path, nil, fields...)
		assert.Check(w.TB, err)
		answered <- r
	}()
}

// newKey returns a new idempotency key issued by the entry.
func (w *system) newKey() string {
	var issued struct {
		Key string `json:"idempotency_key"`
	}
	r := w.do(http.MethodPost, bthttp.PathIdempotencyKeys, "")
	assert.NilError(w.TB, json.Unmarshal([]byte(r.body), &issued), r.body)
	return issued.Key
}

// refusals returns the count of a reason in a process.
func (w *system) refusals(process, reason string) int64 {
	return w.Meters[process].Counter(btmetric.PrefixRefused + reason).Count()
}

// refusalCounts returns the counts of all reasons in a process.
func (w *system) refusalCounts(process string) map[string]int64 {
	counts := make(map[string]int64)
	w.Meters[process].Registry().Each(func(name string, metric any) {
		if c, isCounter := metric.(metrics.Counter); isCounter && strings.HasPrefix(name, btmetric.PrefixRefused) {
			counts[name] = c.Count()
		}
	})
	return counts
}

func (w *system) retries(reason string) int64 {
	return w.Meters["e1"].Counter(btmetric.PrefixRetried + reason).Count()
}

// checkRefusal checks everything that a refusal reports to the caller.
func (w *system) checkRefusal(r reply, status int, reason, outcome string) {
	w.TB.Helper()
	assert.Equal(w.TB, r.reason(), reason, "body %s", r.body)
	assert.Equal(w.TB, r.StatusCode, status)
	assert.Equal(w.TB, r.outcome(), outcome)
	var body bthttp.ErrorBody
	if r.Request.Method != http.MethodHead {
		assert.NilError(w.TB, json.Unmarshal([]byte(r.body), &body))
		assert.Equal(w.TB, string(body.Error.Reason), reason)
		assert.Equal(w.TB, string(body.Error.Outcome), outcome)
		assert.Assert(w.TB, body.Error.Message != "" && body.Error.Type != "" && body.Error.Code != "")
	}
}
