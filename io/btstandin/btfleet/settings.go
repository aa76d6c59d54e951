package btfleet

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btsettings"
	"bilberrytide/io/btstandin"
)

// trust holds the operator's private keys and the approvers that processes verify
// bundles with.
type trust struct {
	authority *btkeys.Authority
	approver  ed25519.PrivateKey
	approvers btbundle.Approvers
}

// keyValidity is the validity of certificates, longer than any test runs.
const keyValidity = 24 * time.Hour

func (f *Fleet) makeKeys(context.Context) error {
	authority, err := btkeys.NewAuthority("test", time.Now(), keyValidity)
	if err != nil {
		return err
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	f.trust = &trust{
		authority: authority,
		approver:  private,
		approvers: btbundle.Approvers{
			Required: 1,
			Keys:     []btbundle.Approver{{Name: "operator", Key: btbundle.PublicKey(public)}},
		},
	}
	return nil
}

// startStandins starts the stand-ins of the platform and the targets and records
// their addresses.
func (f *Fleet) startStandins(ctx context.Context) error {
	var err error
	if f.platform, err = f.standin(ctx, Platform, "platform", "--host-list-lag", "100ms", "--hosts", f.hosts()); err != nil {
		return err
	}
	for _, name := range names(string(Plain), f.options.Plains) {
		f.targets[name], err = f.standin(ctx, standinOf(name), "plain", "--name", name, "--delay", f.options.Delay.String())
		if err != nil {
			return err
		}
	}
	for _, name := range names(string(Model), f.options.Models) {
		rate := strconv.FormatFloat(f.options.DecodeRate, 'f', -1, 64)
		f.targets[name], err = f.standin(ctx, standinOf(name), "engine", "--name", name, "--decode-rate", rate, "--slots", strconv.Itoa(f.options.Slots))
		if err != nil {
			return err
		}
	}
	return nil
}

func standinOf(target string) string { return "target-" + target }

// standin starts one stand-in and returns its address once it listens.
func (f *Fleet) standin(ctx context.Context, name string, arguments ...string) (netip.AddrPort, error) {
	file := f.path(name + ".address")
	command := append([]string{f.options.Programs.Standin, "--address-file", file}, arguments...)
	if err := f.start(name, command...); err != nil {
		return netip.AddrPort{}, err
	}
	var address netip.AddrPort
	err := WaitUntil(ctx, name+" listens", func() error {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		address, err = netip.ParseAddrPort(strings.TrimSpace(string(data)))
		return err
	})
	return address, err
}

// hosts returns the hosts of all processes of the product, separated by commas.
func (f *Fleet) hosts() string {
	var list []string
	for _, name := range append(f.Entries(), f.Targets()...) {
		list = append(list, string(hostOf(name)))
	}
	return strings.Join(list, ",")
}

// dataCentreOf assigns processes to two data centres by the last digit of their
// name.
func dataCentreOf(name string) btid.DataCentre {
	if strings.HasSuffix(name, "1") || strings.HasSuffix(name, "3") {
		return north
	}
	return south
}

const (
	north btid.DataCentre = "north"
	south btid.DataCentre = "south"
)

// startProduct writes the settings of every process and starts them.
func (f *Fleet) startProduct(context.Context) error {
	for _, e := range f.draft.Entries {
		if err := f.startEntry(e); err != nil {
			return err
		}
	}
	for _, t := range f.draft.Targets {
		if err := f.startAgent(t); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEntry(e btbundle.Entry) error {
	name := string(e.Name)
	tls, err := f.issue(btkeys.Entry, name)
	if err != nil {
		return err
	}
	s := btsettings.DefaultEntry()
	s.Name = e.Name
	s.Host = e.Host
	s.DataCentre = e.DataCentre
	s.Listen = f.callers[name]
	s.PeerListen = e.Address
	s.BalancerLag = btbundle.Duration{Duration: 200 * time.Millisecond}
	s.Platform.Address = f.platform
	s.Approvers = f.trust.approvers
	s.TLS = tls
	s.Status.Listen = f.status[name]
	if f.options.Limits != (btsettings.Limits{}) {
		s.Limits = f.options.Limits
	}
	return f.startWith(name, "entry", s)
}

func (f *Fleet) startAgent(t btbundle.Target) error {
	tls, err := f.issue(btkeys.Agent, string(t.Name))
	if err != nil {
		return err
	}
	name := Agent(string(t.Name))
	s := btsettings.DefaultAgent()
	s.Target = t.Name
	s.Host = t.Host
	s.DataCentre = t.DataCentre
	s.PeerListen = t.Address
	s.Platform.Address = f.platform
	s.Approvers = f.trust.approvers
	s.TLS = tls
	s.Status.Listen = f.status[name]
	return f.startWith(name, "agent", s)
}

// startWith writes settings and starts the product's command with them.
func (f *Fleet) startWith(name, command string, settings any) error {
	data, err := toml.Marshal(settings)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", name, err)
	}
	file := f.path(name + ".toml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	return f.start(name, f.options.Programs.Product, command, "--settings", file)
}

func (f *Fleet) issue(role btkeys.Role, name string) (btsettings.TLS, error) {
	issued, err := f.trust.authority.Issue(btkeys.Identity{Role: role, Name: name}, time.Now(), keyValidity)
	if err != nil {
		return btsettings.TLS{}, err
	}
	folder := f.path("keys-" + string(role) + "-" + name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return btsettings.TLS{}, err
	}
	files, err := issued.Write(folder)
	return btsettings.TLS{CA: files.Authority, Cert: files.Certificate, Key: files.Key}, err
}

// MarkHostLeaving reports a host as leaving in the platform's host list.
func (f *Fleet) MarkHostLeaving(ctx context.Context, leaving btid.Host) error {
	list := btstandin.HostList{}
	for name := range strings.SplitSeq(f.hosts(), ",") {
		host := btstandin.Host{Name: btid.Host(name), State: btstandin.HostLive}
		if host.Name == leaving {
			host.State = btstandin.HostLeaving
		}
		list.Hosts = append(list.Hosts, host)
	}
	return f.control(ctx, f.platform, "hosts", list)
}
