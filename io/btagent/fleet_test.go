package btagent_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin/btinprocess"
)

// fleet runs entries, agents and a platform in the test's process.
type fleet struct {
	*btinprocess.Fleet
	nodes   map[btpeer.Identity]*btpeer.Node
	entries map[btid.Entry]*btinprocess.Entry
	agents  map[btid.Target]*btinprocess.Agent
	// startAgent starts the agent behind a node.
	startAgent func(*btpeer.Node) *btinprocess.Agent
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		Fleet:   btinprocess.New(t),
		nodes:   map[btpeer.Identity]*btpeer.Node{},
		entries: map[btid.Entry]*btinprocess.Entry{},
		agents:  map[btid.Target]*btinprocess.Agent{},
	}
	f.startAgent = f.StartAgent
	f.Bundle.Ejection = btbundle.Ejection{MaxShare: 0.4, Failures: 3, SlowFactor: 50, Duration: btbundle.Duration{Duration: time.Minute}}
	return f
}

// addEntries lists entries e0, e1 and so on.
func (f *fleet) addEntries(count int) {
	for i := range count {
		name := btid.Entry(fmt.Sprintf("e%d", i))
		f.AddEntry(name, f.node(btprocess.EntryIdentity(name)).Address())
	}
}

// addTarget lists a target, and with the first target of a service also the service.
func (f *fleet) addTarget(name btid.Target, service btid.Service, kind btbundle.Kind, endpoint netip.AddrPort) {
	address := f.node(btprocess.AgentIdentity(name)).Address()
	f.AddTarget(btbundle.Target{Name: name, Service: service, Address: address, Endpoint: endpoint, Slots: 4, Queue: 8}, kind)
}

func (f *fleet) node(id btpeer.Identity) *btpeer.Node {
	f.nodes[id] = f.Node(id)
	return f.nodes[id]
}

// start publishes the bundle, starts every process that it lists, and waits until each
// entry has every target as eligible.
func (f *fleet) start() {
	f.startProcesses()
	f.awaitEligible()
}

// startProcesses publishes the bundle and starts every process that it lists.
func (f *fleet) startProcesses() {
	f.Publish(1)
	for _, e := range f.Bundle.Entries {
		f.entries[e.Name] = f.StartEntry(f.nodes[btprocess.EntryIdentity(e.Name)])
	}
	for _, t := range f.Bundle.Targets {
		f.agents[t.Name] = f.startAgent(f.nodes[btprocess.AgentIdentity(t.Name)])
	}
}

// awaitEligible waits until each entry has every target as eligible.
func (f *fleet) awaitEligible() {
	for _, e := range f.Bundle.Entries {
		for _, t := range f.Bundle.Targets {
			f.Await("eligible", func() bool { return f.target(e.Name, t.Name).Eligible })
		}
	}
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

// call sends a request to an entry and returns the status and the body.
func (f *fleet) call(entry btid.Entry, path, body string) (int, string) {
	response, text := f.do(entry, path, body, "")
	return response.StatusCode, text
}

// do sends a request to an entry, with the idempotency key unless that is empty, and
// returns the response and its body.
func (f *fleet) do(entry btid.Entry, path, body, key string) (*http.Response, string) {
	request, err := http.NewRequest(http.MethodPost, f.entries[entry].URL+path, strings.NewReader(body))
	assert.NilError(f.TB, err)
	request.Header.Set("Authorization", "Bearer "+btinprocess.CallerKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(f.TB, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(f.TB, err)
	return response, string(data)
}
