package btfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin"
)

// control sends a value to one of a stand-in's control paths.
func (f *Fleet) control(ctx context.Context, address netip.AddrPort, name string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return f.put(ctx, address, "/control/"+name, body)
}

// get reads JSON from a path of a process.
func get[T any](f *Fleet, address netip.AddrPort, path string) (T, error) {
	var value T
	response, err := f.client.Get("http://" + address.String() + path)
	if err != nil {
		return value, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return value, fmt.Errorf("%s: %s", path, response.Status)
	}
	return value, json.NewDecoder(response.Body).Decode(&value)
}

// Ready returns nil if a process of the product reports that it is ready.
func (f *Fleet) Ready(name string) error {
	if !f.Process(name).Running() {
		return fmt.Errorf("%s has ended", name)
	}
	response, err := f.client.Get("http://" + f.status[name].String() + "/readyz")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: /readyz: %s", name, response.Status)
	}
	return nil
}

// StatusAddress returns the address of a process's operator pages.
func (f *Fleet) StatusAddress(name string) netip.AddrPort { return f.status[name] }

// Status reads the status of a process of the product.
func (f *Fleet) Status(name string) (btprocess.Status, error) {
	return get[btprocess.Status](f, f.status[name], "/status")
}

// metric holds the field of a metric that counters have.
type metric struct {
	Count int64 `json:"count"`
}

// Counter reads a counter of a process; a counter that was never incremented is 0.
func (f *Fleet) Counter(name, counter string) (int64, error) {
	all, err := get[map[string]json.RawMessage](f, f.status[name], "/metrics")
	if err != nil || all[counter] == nil {
		return 0, err
	}
	var m metric
	return m.Count, json.Unmarshal(all[counter], &m)
}

// Executions returns the sum of the execution counts of all targets.
func (f *Fleet) Executions() (btstandin.Executions, error) {
	sum := btstandin.Executions{Keys: map[string]int{}, Requests: map[string]int{}}
	for _, t := range f.Targets() {
		one, err := f.ExecutionsAt(t)
		if err != nil {
			return sum, err
		}
		sum.Total += one.Total
		sum.Cancelled += one.Cancelled
		for _, v := range one.Violations {
			sum.Violations = append(sum.Violations, t+": "+v)
		}
		for key, count := range one.Keys {
			sum.Keys[key] += count
		}
		for id, count := range one.Requests {
			sum.Requests[id] += count
		}
	}
	return sum, nil
}

// ExecutionsAt returns the execution counts of one target.
func (f *Fleet) ExecutionsAt(target string) (btstandin.Executions, error) {
	return get[btstandin.Executions](f, f.targets[target], "/control/executions")
}

// CheckKeyLeases returns nil if every key home of the plain service has held its
// lease long enough to grant keys that are made from now on.
func (f *Fleet) CheckKeyLeases() error {
	for _, t := range names(string(Plain), f.options.Plains) {
		status, err := f.Status(Agent(t))
		if err != nil {
			return err
		}
		if status.Home == nil || !status.Home.Leased {
			return fmt.Errorf("%s holds no lease", t)
		}
		if time.Since(status.Home.Since) <= leaseMargin {
			return fmt.Errorf("%s has held its lease since %s", t, status.Home.Since)
		}
	}
	return nil
}

// leaseMargin is how long a home must have held its lease before it accepts that a
// key made now is younger than the lease: btclaim requires twice ClockError.
const leaseMargin = 2 * ClockError

// Eligible returns nil if an entry sends new requests to a target, otherwise an
// error with the entry's cause. An entry that has ended sends none.
func (f *Fleet) Eligible(entry, target string) error {
	if !f.Process(entry).Running() {
		return fmt.Errorf("%s has ended", entry)
	}
	status, err := f.Status(entry)
	if err != nil {
		return err
	}
	for _, t := range status.Targets {
		if string(t.Target) == target && t.Eligible {
			return nil
		}
		if string(t.Target) == target {
			return fmt.Errorf("%s at %s: %s", target, entry, t.Cause)
		}
	}
	return fmt.Errorf("%s is unknown to %s", target, entry)
}

// inForcePattern matches the log line of a bundle that came into force.
var inForcePattern = regexp.MustCompile(`msg="bundle in force" bundle_version=(\d+)`)

// History returns the bundle versions that a process put in force, in the order of
// its log, which includes those before a restart.
func (f *Fleet) History(name string) ([]btid.BundleVersion, error) {
	data, err := os.ReadFile(f.path(name + ".log"))
	if err != nil {
		return nil, err
	}
	var versions []btid.BundleVersion
	for _, found := range inForcePattern.FindAllSubmatch(data, -1) {
		version, err := strconv.ParseUint(string(found[1]), 10, 64)
		if err != nil {
			return nil, err
		}
		versions = append(versions, btid.BundleVersion(version))
	}
	return versions, nil
}
