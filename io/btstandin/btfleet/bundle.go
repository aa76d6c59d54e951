package btfleet

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pelletier/go-toml/v2"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btstandin"
)

const (
	// bearerKey is the key of the fleet's only client account.
	bearerKey = "fleet-caller-key"
	// bundleKey is the configuration key under which the bundle is published.
	bundleKey = "bilberrytide-bundle"

	// ClockError is the bundle's bound of clock errors. All processes share one
	// clock, so it can be small.
	ClockError = 50 * time.Millisecond
	// RequestMax is the longest deadline of a request.
	RequestMax = 10 * time.Second
	// unlimited is a rate, burst and concurrency that no test reaches.
	unlimited = 1_000_000
	// maxBody is the maximum size of a request body in bytes.
	maxBody = 1 << 20
)

func duration(d time.Duration) btbundle.Duration { return btbundle.Duration{Duration: d} }

// writeDraft creates the first version of the bundle.
func (f *Fleet) writeDraft(ctx context.Context) error {
	created := time.Now().UTC().Truncate(time.Second)
	f.draft = btbundle.Bundle{
		Version: 1,
		Created: created,
		Timeouts: btbundle.Timeouts{
			Request:     duration(RequestMax),
			RequestMax:  duration(RequestMax),
			Heartbeat:   duration(250 * time.Millisecond),
			TargetLease: duration(3 * time.Second),
		},
		Idempotency: btbundle.Idempotency{Retention: duration(10 * time.Minute), ClockError: duration(ClockError), Lease: duration(2 * time.Second)},
		Retry:       btbundle.Retry{BudgetShare: 0.2, MaxAttempts: 3, Backoff: duration(10 * time.Millisecond)},
		Ejection:    btbundle.Ejection{MaxShare: 0.4, Failures: 5, SlowFactor: 4, Duration: duration(5 * time.Second)},
		Placement:   btbundle.Placement{SkewWeight: 1, MoveWeight: 1, Interval: duration(10 * time.Second), Horizon: duration(time.Minute)},
		DataCentres: []btbundle.DataCentre{{Name: north, Region: "home"}, {Name: south, Region: "home"}},
		Groups:      []btbundle.Group{},
		Accounts: []btbundle.Account{{
			Name:        "caller",
			KeyHashes:   []btbundle.Digest{btbundle.DigestOf([]byte(bearerKey))},
			Rate:        unlimited,
			Burst:       unlimited,
			Concurrency: unlimited,
			Weight:      1,
		}},
	}
	f.addService(Plain, btbundle.Plain, names(string(Plain), f.options.Plains), created)
	f.addService(Model, btbundle.Model, names(string(Model), f.options.Models), created)
	return f.assignAddresses(ctx)
}

// addService adds a service and its targets, which are all key homes.
func (f *Fleet) addService(name btid.Service, kind btbundle.Kind, targets []string, created time.Time) {
	if len(targets) == 0 {
		return
	}
	homes := make([]btid.Target, len(targets))
	for i, t := range targets {
		homes[i] = btid.Target(t)
		f.draft.Targets = append(f.draft.Targets, btbundle.Target{
			Name:       homes[i],
			Service:    name,
			Host:       hostOf(t),
			DataCentre: dataCentreOf(t),
			Endpoint:   f.targets[t],
			Slots:      f.options.Slots,
			Queue:      f.options.Queue,
		})
	}
	f.draft.Services = append(f.draft.Services, btbundle.Service{
		Name:    name,
		Kind:    kind,
		MaxBody: maxBody,
		Epochs:  []btbundle.HomeEpoch{{Number: 1, Since: created, Homes: homes}},
	})
}

// assignAddresses assigns free addresses to every process of the product.
func (f *Fleet) assignAddresses(ctx context.Context) error {
	free, err := f.ports(ctx, 3*f.options.Entries+2*len(f.draft.Targets))
	if err != nil {
		return err
	}
	next := func() netip.AddrPort {
		a := free[0]
		free = free[1:]
		return a
	}
	for _, name := range f.Entries() {
		f.draft.Entries = append(f.draft.Entries, btbundle.Entry{
			Name:       btid.Entry(name),
			Host:       hostOf(name),
			DataCentre: dataCentreOf(name),
			Address:    next(),
		})
		f.callers[name] = next()
		f.status[name] = next()
	}
	for i := range f.draft.Targets {
		f.draft.Targets[i].Address = next()
		f.status[Agent(string(f.draft.Targets[i].Name))] = next()
	}
	return nil
}

// File is a signed bundle, ready to be published.
type File struct {
	Revision btbundle.Revision
	Raw      []byte
}

// Version returns the first bundle with another version number and the change
// applied, signed by the operator. change may be nil.
func (f *Fleet) Version(version btid.BundleVersion, change func(*btbundle.Bundle)) (File, error) {
	return f.signedBy(f.trust.approver, version, change)
}

// Forged returns a version signed with a key that no process trusts.
func (f *Fleet) Forged(version btid.BundleVersion) (File, error) {
	_, untrusted, err := ed25519.GenerateKey(nil)
	if err != nil {
		return File{}, err
	}
	return f.signedBy(untrusted, version, nil)
}

func (f *Fleet) signedBy(approver ed25519.PrivateKey, version btid.BundleVersion, change func(*btbundle.Bundle)) (File, error) {
	next := f.draft
	next.Version = version
	if change != nil {
		change(&next)
	}
	document, err := toml.Marshal(next)
	if err != nil {
		return File{}, err
	}
	document = btbundle.TerminateDocument(document)
	signed := btbundle.Signed{
		Document:   document,
		Signatures: []btbundle.Signature{btbundle.Sign(document, approver)},
	}
	revision := btbundle.Revision{Version: version, Digest: btbundle.DigestOf(document)}
	return File{Revision: revision, Raw: signed.Bytes()}, nil
}

func (f *Fleet) publishFirst(ctx context.Context) error {
	first, err := f.Version(f.draft.Version, nil)
	if err != nil {
		return err
	}
	return f.Publish(ctx, first.Raw)
}

// Publish writes a file to the configuration service, as the platform's own tool
// would.
func (f *Fleet) Publish(ctx context.Context, raw []byte) error {
	return f.put(ctx, f.platform, "/control/config/"+bundleKey, raw)
}

// FailPlatform replaces the platform's fault.
func (f *Fleet) FailPlatform(ctx context.Context, fault btstandin.PlatformFault) error {
	return f.control(ctx, f.platform, "fault", fault)
}

// FailTarget replaces a target's fault.
func (f *Fleet) FailTarget(ctx context.Context, target string, fault btstandin.TargetFault) error {
	return f.control(ctx, f.targets[target], "fault", fault)
}

// InForce returns nil if a process has exactly this bundle in force.
func (f *Fleet) InForce(name string, want btbundle.Revision) error {
	status, err := f.Status(name)
	if err != nil {
		return err
	}
	got := btbundle.Revision{Version: status.Bundle.Version, Digest: status.Bundle.Digest}
	if got != want {
		return fmt.Errorf("%s has version %d, digest %s", name, got.Version, got.Digest)
	}
	return nil
}

// UntilInForce waits until all of these processes have the bundle in force.
func (f *Fleet) UntilInForce(ctx context.Context, want btbundle.Revision, processes ...string) error {
	for _, name := range processes {
		what := fmt.Sprintf("version %d at %s", want.Version, name)
		if err := WaitUntil(ctx, what, func() error { return f.InForce(name, want) }); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) put(ctx context.Context, address netip.AddrPort, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s: %s", path, response.Status)
	}
	return nil
}
