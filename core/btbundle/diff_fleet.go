package btbundle

import (
	"fmt"
	"slices"
	"strings"

	"bilberrytide/core/btid"
)

func diffTargets(d *diffBuilder, old, new *Bundle) {
	diffList(d, listDiff[btid.Target, Target]{
		kind: "target",
		name: func(t *Target) btid.Target { return t.Name },
		added: func(t *Target) string {
			return fmt.Sprintf("takes work of service %s in data centre %s, %d requests at a time", t.Service, t.DataCentre, t.Slots)
		},
		removed: func(t *Target) string {
			return fmt.Sprintf("gets no new work of service %s; requests in flight finish", t.Service)
		},
		changed: diffTarget,
	}, old.Targets, new.Targets)
}

func diffTarget(d *diffBuilder, subject string, before, after *Target) {
	diffField(d, subject, "service", before.Service, after.Service)
	diffField(d, subject, "host", before.Host, after.Host)
	diffField(d, subject, "data centre", before.DataCentre, after.DataCentre)
	diffField(d, subject, "agent's address", before.Address, after.Address)
	diffField(d, subject, "endpoint", before.Endpoint, after.Endpoint)
	diffField(d, subject, "requests at a time", before.Slots, after.Slots)
	diffField(d, subject, "requests waiting", before.Queue, after.Queue)
	diffField(d, subject, "checks fencing numbers", before.ChecksFencing, after.ChecksFencing)
}

func diffServices(d *diffBuilder, old, new *Bundle) {
	diffList(d, listDiff[btid.Service, Service]{
		kind:    "service",
		name:    func(s *Service) btid.Service { return s.Name },
		added:   func(s *Service) string { return fmt.Sprintf("clients may request it; its kind is %s", s.Kind) },
		removed: func(*Service) string { return "requests for it are refused" },
		changed: diffService,
	}, old.Services, new.Services)
}

func diffService(d *diffBuilder, subject string, before, after *Service) {
	diffField(d, subject, "kind", before.Kind, after.Kind)
	diffField(d, subject, "largest body in bytes", before.MaxBody, after.MaxBody)
	diffField(d, subject, "goal for the first token", before.FirstToken, after.FirstToken)
	diffField(d, subject, "idempotency key required", before.KeyRequired, after.KeyRequired)
	diffHomes(d, subject, before, after)
}

func diffGroups(d *diffBuilder, old, new *Bundle) {
	diffList(d, listDiff[btid.Group, Group]{
		kind: "group",
		name: func(g *Group) btid.Group { return g.Name },
		added: func(g *Group) string {
			return fmt.Sprintf("%d ranks of service %s step together", len(g.Ranks), g.Service)
		},
		removed: func(*Group) string { return "its expert map is no longer kept" },
		changed: diffGroup,
	}, old.Groups, new.Groups)
}

func diffGroup(d *diffBuilder, subject string, before, after *Group) {
	if !slices.Equal(before.Ranks, after.Ranks) {
		d.add(Changed, subject, "its ranks change from %d to %d: the group agrees on a new map", len(before.Ranks), len(after.Ranks))
	}
	diffField(d, subject, "service", before.Service, after.Service)
	diffField(d, subject, "layers", before.Layers, after.Layers)
	diffField(d, subject, "experts a layer", before.Experts, after.Experts)
	diffField(d, subject, "expert slots a rank", before.SlotsPerRank, after.SlotsPerRank)
	diffField(d, subject, "bytes an expert", before.ExpertBytes, after.ExpertBytes)
	diffField(d, subject, "barrier", before.Barrier, after.Barrier)
}

func diffAccounts(d *diffBuilder, old, new *Bundle) {
	diffList(d, listDiff[btid.Account, Account]{
		kind: "client account",
		name: func(a *Account) btid.Account { return a.Name },
		added: func(a *Account) string {
			return fmt.Sprintf("may send %v requests a second, %d at once", a.Rate, a.Concurrency)
		},
		removed: func(*Account) string { return "its keys are refused" },
		changed: diffAccount,
	}, old.Accounts, new.Accounts)
}

func diffAccount(d *diffBuilder, subject string, before, after *Account) {
	diffField(d, subject, "requests a second", before.Rate, after.Rate)
	diffField(d, subject, "burst", before.Burst, after.Burst)
	diffField(d, subject, "requests at once", before.Concurrency, after.Concurrency)
	diffField(d, subject, "weight", before.Weight, after.Weight)
	if !slices.Equal(before.Services, after.Services) {
		d.add(Changed, subject, "services become %s, were %s", serviceNames(after), serviceNames(before))
	}
	for _, hash := range difference(after.KeyHashes, before.KeyHashes) {
		d.add(Added, subject, "a key is accepted: digest %s", shortDigest(hash))
	}
	for _, hash := range difference(before.KeyHashes, after.KeyHashes) {
		d.add(Removed, subject, "a key is refused from now on: digest %s", shortDigest(hash))
	}
}

func serviceNames(a *Account) string {
	if len(a.Services) == 0 {
		return "all"
	}
	var names []string
	for _, s := range a.Services {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}

func shortDigest(d Digest) string { return d.String()[:12] }

func diffDataCentres(d *diffBuilder, old, new *Bundle) {
	diffList(d, listDiff[btid.DataCentre, DataCentre]{
		kind:    "data centre",
		name:    func(c *DataCentre) btid.DataCentre { return c.Name },
		added:   func(c *DataCentre) string { return fmt.Sprintf("in region %s", c.Region) },
		removed: func(*DataCentre) string { return "no part of the fleet is there any more" },
		changed: func(d *diffBuilder, subject string, before, after *DataCentre) {
			diffField(d, subject, "region", before.Region, after.Region)
		},
	}, old.DataCentres, new.DataCentres)
}

func diffEntries(d *diffBuilder, old, new *Bundle) {
	diffList(d, listDiff[btid.Entry, Entry]{
		kind: "entry",
		name: func(e *Entry) btid.Entry { return e.Name },
		added: func(e *Entry) string {
			return fmt.Sprintf("counts for shares of limits, in data centre %s", e.DataCentre)
		},
		removed: func(*Entry) string { return "no longer counts for shares of limits" },
		changed: diffEntry,
	}, old.Entries, new.Entries)
}

func diffEntry(d *diffBuilder, subject string, before, after *Entry) {
	diffField(d, subject, "host", before.Host, after.Host)
	diffField(d, subject, "data centre", before.DataCentre, after.DataCentre)
	diffField(d, subject, "address", before.Address, after.Address)
}

func diffDestroyedLists(d *diffBuilder, old, new *Bundle) {
	for _, host := range difference(new.DestroyedHosts, old.DestroyedHosts) {
		d.add(Added, "destroyed host "+string(host), "what only it stored counts as permanently lost: approve only if it can't come back")
	}
	for _, host := range difference(old.DestroyedHosts, new.DestroyedHosts) {
		d.add(Removed, "destroyed host "+string(host), "may hold targets and entries again")
	}
	for _, target := range difference(new.DestroyedTargets, old.DestroyedTargets) {
		d.add(Added, "destroyed target "+string(target),
			"is excluded from all majorities of key homes: approve only if its process has exited and its records can't come back")
	}
	for _, target := range difference(old.DestroyedTargets, new.DestroyedTargets) {
		d.add(Removed, "destroyed target "+string(target), "its name may be used again")
	}
}
