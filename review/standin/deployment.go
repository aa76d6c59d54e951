package main

import (
	"bytes"
	"context"
	_ "embed" // The settings and a key are files.
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"text/template"
	"time"

	"bilberrytide/io/btstandin/btfleet"
	btadapter "bilberrytide/platform"
	"bilberrytide/platform/btmock"
)

//go:embed settings.tmpl
var settingsText string

//go:embed catalog-key.txt
var catalogKey string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

const (
	callerHost = "review.example"
	callerKey  = "key-of-the-caller"
	// readyTimeout bounds the start of an entry.
	readyTimeout = 15 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// entry is an entry that runs as a process.
type entry struct {
	name                     string
	host, front, ready, peer string
	store                    string
	process                  *btfleet.Process
}

// deployment is the system under test with all stand-ins.
type deployment struct {
	record  *record
	ledger  *btmock.Ledger
	store   *store
	targets []*target
	entries []*entry
	servers []*http.Server
}

// startDeployment starts the stand-ins and the entries, and waits until these are ready.
func startDeployment(ctx context.Context, program, dir string, r *record) (*deployment, error) {
	d := &deployment{record: r, ledger: btmock.NewLedger(), store: newStore(r)}
	if err := d.start(ctx, program, dir); err != nil {
		d.stop()
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context, program, dir string) error {
	for i, zone := range zones {
		t, err := startTarget(fmt.Sprintf("127.71.1.%d", i+1), fmt.Sprintf("target-%d", i+1), zone, d.ledger, d.record)
		if err != nil {
			return err
		}
		d.targets = append(d.targets, t)
		d.putRecord(t)
	}
	d.store.Put(catalogKey, catalog().Value())
	for i, zone := range zones {
		e, err := d.newEntry(i)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, e)
		d.record.logf("%s in %s: callers %s, store %s", e.name, zone, e.front, e.store)
	}
	for i, e := range d.entries {
		if err := d.startEntry(e, zones[i], program, dir); err != nil {
			return err
		}
	}
	for _, e := range d.entries {
		if err := awaitReady(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

func catalog() btmock.Catalog {
	base := btmock.Route{Host: callerHost, Service: serviceName, Timeout: callerDeadline, Objective: 150 * time.Millisecond}
	read, write := base, base
	read.Name, read.Prefix, read.Kind, read.Attempts = "read", "/read/", "safe", 2
	write.Name, write.Prefix, write.Kind, write.Attempts = "write", "/write/", "unsafe", 1
	return btmock.Catalog{
		Version:     1,
		Routes:      []btmock.Route{read, write},
		Services:    map[string]*btmock.Shape{serviceName: nil},
		AccountKeys: map[string][]string{"account": {callerKey}},
	}
}

// recordPrefix begins the keys of the targets' records.
const recordPrefix = "servers/"

func (d *deployment) putRecord(t *target) {
	d.store.Put(recordPrefix+t.ID, t.Record(t.address, t.zone, "ready", 1))
}

// newEntry reserves the addresses of an entry and starts its listener of the store.
func (d *deployment) newEntry(i int) (*entry, error) {
	e := &entry{name: fmt.Sprintf("entry-%d", i+1), host: fmt.Sprintf("127.71.2.%d", i+1)}
	listener, err := net.Listen("tcp", fmt.Sprintf("127.71.3.%d:0", i+1))
	if err != nil {
		return nil, err
	}
	e.store = listener.Addr().String()
	server := &http.Server{Handler: d.store.handler(e.name)}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	for _, address := range []*string{&e.front, &e.ready, &e.peer} {
		if *address, err = freeAddress(e.host); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// freeAddress returns an address of the host that is free now.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// settings are the values of the settings template.
type settings struct {
	Name, Host, Zone          string
	FirstPort, LastPort       int
	Seeds                     string
	Front, Ready, Peer, Store string
}

func (d *deployment) startEntry(e *entry, zone, program, dir string) error {
	var seeds []string
	for _, other := range d.entries {
		seeds = append(seeds, fmt.Sprintf("%q", other.peer))
	}
	const firstPort, lastPort = 7340, 7355
	var text bytes.Buffer
	err := settingsTemplate.Execute(&text, settings{
		Name: e.name, Host: e.host, Zone: zone, FirstPort: firstPort, LastPort: lastPort,
		Seeds: strings.Join(seeds, ", "), Front: e.front, Ready: e.ready, Peer: e.peer, Store: e.store,
	})
	if err != nil {
		return err
	}
	path := filepath.Join(dir, e.name+".toml")
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		return err
	}
	variables := []string{btadapter.SettingsVariable + "=" + path}
	e.process, err = btfleet.StartProcess(e.name, filepath.Join(dir, e.name+".log"), variables, program, "direct", "entry")
	return err
}

// awaitReady waits until an entry says that it is ready.
func awaitReady(ctx context.Context, e *entry) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+btadapter.PathReady, nil)
		if err != nil {
			return err
		}
		answer, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !sleep(ctx, 20*time.Millisecond) {
			return fmt.Errorf("%s isn't ready: %w", e.name, ctx.Err())
		}
	}
}

// sleep waits, and returns false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stop ends all processes and stand-ins.
func (d *deployment) stop() {
	for _, e := range d.entries {
		if e.process != nil {
			_ = e.process.Kill()
		}
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	for _, t := range d.targets {
		t.exit()
	}
}
