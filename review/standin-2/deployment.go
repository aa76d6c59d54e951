package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bilberrytide/platform/btmock"
)

// The sizes and bounds are those of the site himalwave-bookings.
const (
	callerHost   = "review.example"
	modelService = "llm"
	plainService = "pages"
	apiKey       = "key"
	graceSeconds = 8
	drainTime    = 2 * time.Second
	heartbeat    = 1200 * time.Millisecond
	streamEvents = 24
	stepTime     = 60 * time.Millisecond
	allowedPause = 120 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// sizes are the numbers of processes and targets of a deployment.
type sizes struct{ entries, ranks, plainTargets int }

// ports are free on all addresses of a deployment.
type ports struct{ front, ready, peer, agent, engine, store uint16 }

// process is an entry or agent.
type process struct {
	name, role, settings string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// deployment is the system under test with its stand-ins.
type deployment struct {
	record  *record
	dir     string
	program string
	network byte
	ports   ports
	ledger  *btmock.Ledger
	store   *btmock.Store
	group   *btmock.Group
	ranks   []*btmock.Target
	plain   []*btmock.Target
	servers []*http.Server
	entries []*process
	agents  []*process
	stop    chan struct{}
	onOrder atomic.Pointer[orderHook]
}

// host returns the address of a host: entries, ranks, plain targets and the store have
// kinds of their own.
func (d *deployment) host(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, byte(kind), byte(n + 1)})
}

const (
	kindEntry = iota + 1
	kindRank
	kindPlain
	kindStore
)

// freePorts returns ports that are free on all addresses.
func (d *deployment) freePorts(s sizes) (ports, error) {
	for range 100 {
		base := uint16(20000 + 16*rand.IntN(700))
		if d.allFree(base, s) {
			return ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func (d *deployment) allFree(base uint16, s sizes) bool {
	for kind, n := range map[int]int{kindEntry: s.entries, kindRank: s.ranks, kindPlain: s.plainTargets, kindStore: 1} {
		for i := range n {
			for p := range uint16(6) {
				l, err := net.Listen("tcp", netip.AddrPortFrom(d.host(kind, i), base+p).String())
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

// newDeployment starts the stand-ins and then the processes.
func newDeployment(r *record, s sizes) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: r, dir: dir, program: "target/bilberrytide", network: byte(60 + rand.IntN(150)),
		ledger: btmock.NewLedger(), store: btmock.NewStore(), stop: make(chan struct{}),
	}
	if d.ports, err = d.freePorts(s); err != nil {
		return d, err
	}
	d.group = btmock.NewGroup(btmock.Shape{Ranks: s.ranks, Layers: 4, Experts: 4 * s.ranks, Slots: 5, StepTime: stepTime, CopyTime: 250 * time.Millisecond, FormTime: 600 * time.Millisecond}, d.ledger)
	if err := d.serve(netip.AddrPortFrom(d.host(kindStore, 0), d.ports.store), d.store); err != nil {
		return d, err
	}
	for i := range s.ranks {
		t := btmock.NewTarget(fmt.Sprintf("i-rank-%d", i), modelService, d.ledger, btmock.Settings{Slots: 12, Events: streamEvents})
		d.group.Join(t, i)
		d.ranks = append(d.ranks, t)
		if err := d.serve(d.engine(i), d.observed(i, t)); err != nil {
			return d, err
		}
	}
	for i := range s.plainTargets {
		t := btmock.NewTarget(fmt.Sprintf("i-plain-%d", i), plainService, d.ledger, btmock.Settings{Slots: 6, Work: 30 * time.Millisecond})
		d.plain = append(d.plain, t)
		if err := d.serve(netip.AddrPortFrom(d.host(kindPlain, i), d.ports.engine), d.observed(i, t)); err != nil {
			return d, err
		}
	}
	d.publish(1)
	d.renewRecords()
	go d.renewUntilStop()
	return d, d.startProcesses(s)
}

// serve serves a stand-in at an address.
func (d *deployment) serve(at netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

func (d *deployment) engine(rank int) netip.AddrPort {
	return netip.AddrPortFrom(d.host(kindRank, rank), d.ports.engine)
}

// publish writes a version of the configuration.
func (d *deployment) publish(version uint64) {
	shape := d.group.Shape
	route := btmock.Route{Host: callerHost, Timeout: 800 * time.Millisecond, Objective: 150 * time.Millisecond, Attempts: 1}
	once, safe, stream := route, route, route
	once.Name, once.Prefix, once.Kind, once.Service = "once", "/once/", "unsafe", plainService
	safe.Name, safe.Prefix, safe.Kind, safe.Service, safe.Attempts = "safe", "/safe/", "safe", plainService, 2
	stream.Name, stream.Prefix, stream.Kind, stream.Service, stream.Attempts = "stream", "/stream/", "stream", modelService, 2
	stream.Timeout, stream.Objective, stream.MaxGap, stream.Resumable = 8*time.Second, 500*time.Millisecond, allowedPause, true
	d.store.Put(names.Catalog, btmock.Catalog{
		Version: version, Routes: []btmock.Route{once, safe, stream},
		Services:    map[string]*btmock.Shape{plainService: nil, modelService: &shape},
		AccountKeys: map[string][]string{"caller": {apiKey}},
	}.Value())
}

// renewRecords has all targets write their records.
func (d *deployment) renewRecords() {
	seq := rand.IntN(1 << 20)
	for i, t := range d.ranks {
		d.store.Put("servers/"+t.ID, t.Record(d.engine(i).String(), zone(i), "ready", seq))
	}
	for i, t := range d.plain {
		d.store.Put("servers/"+t.ID, t.Record(netip.AddrPortFrom(d.host(kindPlain, i), d.ports.engine).String(), zone(i), "ready", seq))
	}
}

func (d *deployment) renewUntilStop() {
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(heartbeat):
			d.renewRecords()
		}
	}
}

var zones = []string{"kathmandu-a", "lalitpur-b", "bhaktapur-c"}

func zone(n int) string { return zones[n%len(zones)] }

// startProcesses starts the agents and entries with settings like those that the pages
// show.
func (d *deployment) startProcesses(s sizes) error {
	for i := range s.ranks {
		p := &process{name: fmt.Sprintf("side-%d", i), role: "agent"}
		v := settingsValues{Zone: zone(i), MemoryMB: 152, App: d.engine(i).String(), Service: modelService}
		if err := d.writeSettings(p, d.host(kindRank, i), s, v); err != nil {
			return err
		}
		d.agents = append(d.agents, p)
	}
	for i := range s.entries {
		p := &process{name: fmt.Sprintf("edge-%d", i), role: "entry"}
		v := settingsValues{Zone: zone(i), MemoryMB: 284, Front: d.front(i).String(), Ready: d.ready(i).String(), Control: d.control(i).String()}
		if err := d.writeSettings(p, d.host(kindEntry, i), s, v); err != nil {
			return err
		}
		d.entries = append(d.entries, p)
	}
	for _, p := range d.processes() {
		if err := d.start(p); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) front(entry int) netip.AddrPort {
	return netip.AddrPortFrom(d.host(kindEntry, entry), d.ports.front)
}

func (d *deployment) ready(entry int) netip.AddrPort {
	return netip.AddrPortFrom(d.host(kindEntry, entry), d.ports.ready)
}

func (d *deployment) control(entry int) netip.AddrPort {
	return netip.AddrPortFrom(d.host(kindEntry, entry), d.ports.peer)
}

// writeSettings writes a settings file with the bounds of the site.
func (d *deployment) writeSettings(p *process, ip netip.Addr, s sizes, v settingsValues) error {
	for i := range min(s.entries, 3) {
		v.Seeds = append(v.Seeds, d.control(i).String())
	}
	v.Name, v.IP, v.Port = p.name, ip.String(), d.ports.agent
	v.HeartbeatMS, v.DrainMS, v.GraceS = heartbeat.Milliseconds(), drainTime.Milliseconds(), graceSeconds
	v.Store = netip.AddrPortFrom(d.host(kindStore, 0), d.ports.store).String()
	var text strings.Builder
	if err := settingsTemplate.Execute(&text, v); err != nil {
		return err
	}
	p.settings = filepath.Join(d.dir, p.name+".toml")
	return os.WriteFile(p.settings, []byte(text.String()), 0o600)
}

// endBootstrap sets bootstrap to false, as the platform does after the first start.
func (d *deployment) endBootstrap() error {
	for _, p := range d.processes() {
		text, err := os.ReadFile(p.settings)
		if err != nil {
			return err
		}
		next := p.settings + ".next"
		if err := os.WriteFile(next, []byte(strings.Replace(string(text), "bootstrap = true", "bootstrap = false", 1)), 0o600); err != nil {
			return err
		}
		if err := os.Rename(next, p.settings); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) processes() []*process {
	return append(append([]*process(nil), d.entries...), d.agents...)
}

// start starts a process, initially or again, with the command of the deploy file.
func (d *deployment) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(d.program, "direct", p.role)
	c.Env = append(os.Environ(), "BILBERRYTIDE_NODE_FILE="+p.settings, "GOMAXPROCS=1")
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended = c, ended
	go func() { defer close(ended); _ = c.Wait() }()
	return nil
}

// signal sends a signal to a process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// wait waits until the process has ended, at most for the time.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// close ends all that the deployment has started.
func (d *deployment) close() {
	close(d.stop)
	for _, p := range d.processes() {
		p.signal(syscall.SIGKILL)
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	if d.group != nil {
		d.group.Stop()
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range d.entries {
			answer, err := client.Get("http://" + d.ready(i).String() + names.Ready)
			if err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.entries) {
			return nil
		}
	}
	return fmt.Errorf("entries not ready after %s", limit)
}
