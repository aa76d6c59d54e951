package btbundle

import (
	"bilberrytide/core/btbundle/bttoml"
	"bilberrytide/core/btid"
)

// checkDataCentresAndEntries checks data centres, destroyed hosts and entries.
func (c *checker) checkDataCentresAndEntries() {
	c.Require(len(c.bundle.DataCentres) > 0, "data_centres", "must list at least one data centre")
	for i, d := range c.bundle.DataCentres {
		key := bttoml.Path("data_centres", i, "name")
		c.Require(d.Name != "", key, "is missing")
		c.Require(!c.dataCentres[d.Name], key, "%q is listed twice", d.Name)
		c.Require(d.Region != "", bttoml.Path("data_centres", i, "region"), "is missing")
		c.dataCentres[d.Name] = true
	}
	for i, h := range c.bundle.DestroyedHosts {
		c.Require(!c.destroyedHosts[h], bttoml.Path("destroyed_hosts", i, ""), "%q is listed twice", h)
		c.destroyedHosts[h] = true
	}
	c.Require(len(c.bundle.Entries) > 0, "entries", "must list at least one entry")
	names := map[btid.Entry]bool{}
	for i, e := range c.bundle.Entries {
		key := bttoml.Path("entries", i, "name")
		c.Require(e.Name != "", key, "is missing")
		c.Require(!names[e.Name], key, "%q is listed twice", e.Name)
		names[e.Name] = true
		c.checkLocation("entries", i, e.Host, e.DataCentre)
		c.checkAddress(e.Address, bttoml.Path("entries", i, "address"), c.addresses)
	}
}

// checkLocation checks a host and its data centre. A host belongs to one data
// centre.
func (c *checker) checkLocation(list string, i int, host btid.Host, centre btid.DataCentre) {
	hostKey := bttoml.Path(list, i, "host")
	centreKey := bttoml.Path(list, i, "data_centre")
	if !c.Require(c.dataCentres[centre], centreKey, "no data centre is named %q", centre) {
		return
	}
	if !c.Require(host != "", hostKey, "is missing") {
		return
	}
	c.Require(!c.destroyedHosts[host], hostKey, "%q is listed in destroyed_hosts: move what runs there, or remove the host from that list", host)
	other, seen := c.hostCentres[host]
	c.Require(!seen || other == centre, centreKey, "host %q is in %q elsewhere", host, other)
	c.hostCentres[host] = centre
}

// checkServicesAndTargets checks services and targets and fills their tables.
func (c *checker) checkServicesAndTargets() {
	c.Require(len(c.bundle.Services) > 0, "services", "must list at least one service")
	for i := range c.bundle.Services {
		s := &c.bundle.Services[i]
		key := bttoml.Path("services", i, "name")
		c.Require(s.Name != "", key, "is missing")
		c.Require(c.services[s.Name] == nil, key, "%q is listed twice", s.Name)
		c.Require(s.Kind == Model || s.Kind == Plain, bttoml.Path("services", i, "kind"), "%q must be %q or %q", s.Kind, Model, Plain)
		c.requireAtLeast(s.MaxBody, 1, bttoml.Path("services", i, "max_body"))
		c.services[s.Name] = s
	}
	for i := range c.bundle.Targets {
		t := &c.bundle.Targets[i]
		key := bttoml.Path("targets", i, "name")
		c.Require(t.Name != "", key, "is missing")
		c.Require(c.targets[t.Name] == nil, key, "%q is listed twice", t.Name)
		c.targets[t.Name] = t
		c.Require(c.services[t.Service] != nil, bttoml.Path("targets", i, "service"), "no service is named %q", t.Service)
		c.checkLocation("targets", i, t.Host, t.DataCentre)
		c.checkAddress(t.Address, bttoml.Path("targets", i, "address"), c.addresses)
		c.checkAddress(t.Endpoint, bttoml.Path("targets", i, "endpoint"), c.endpoints)
		c.requireAtLeast(int64(t.Slots), 1, bttoml.Path("targets", i, "slots"))
		c.requireAtLeast(int64(t.Queue), 0, bttoml.Path("targets", i, "queue"))
	}
}

// checkGroups checks that ranks are targets of the group's service, each in one
// group, and that the experts fit into the ranks' slots.
func (c *checker) checkGroups() {
	names := map[btid.Group]bool{}
	groupOf := map[btid.Target]btid.Group{}
	for i, g := range c.bundle.Groups {
		key := bttoml.Path("groups", i, "name")
		c.Require(g.Name != "", key, "is missing")
		c.Require(!names[g.Name], key, "%q is listed twice", g.Name)
		names[g.Name] = true
		c.checkGroupFields(i, g)
		ranks := bttoml.Path("groups", i, "ranks")
		for r, name := range g.Ranks {
			t := c.targets[name]
			rank := bttoml.Path(ranks, r, "")
			if c.Require(t != nil, rank, "no target is named %q", name) {
				c.Require(t.Service == g.Service, rank, "target %q belongs to service %q, the group to %q", name, t.Service, g.Service)
			}
			other, taken := groupOf[name]
			c.Require(!taken, rank, "target %q is already a rank of group %q", name, other)
			groupOf[name] = g.Name
		}
	}
}

// checkGroupFields checks a group's service and sizes.
func (c *checker) checkGroupFields(i int, g Group) {
	serviceKey := bttoml.Path("groups", i, "service")
	s := c.services[g.Service]
	if c.Require(s != nil, serviceKey, "no service is named %q", g.Service) {
		c.Require(s.Kind == Model, serviceKey, "service %q is %q: only model engines form groups", s.Name, s.Kind)
	}
	c.Require(len(g.Ranks) > 0, bttoml.Path("groups", i, "ranks"), "must list at least one target")
	c.requireAtLeast(int64(g.Layers), 1, bttoml.Path("groups", i, "layers"))
	c.requireAtLeast(int64(g.Experts), 1, bttoml.Path("groups", i, "experts"))
	c.requireAtLeast(int64(g.SlotsPerRank), 1, bttoml.Path("groups", i, "slots_per_rank"))
	c.requireAtLeast(g.ExpertBytes, 1, bttoml.Path("groups", i, "expert_bytes"))
	capacity := len(g.Ranks) * max(g.SlotsPerRank, 0)
	c.Require(g.Experts <= capacity, bttoml.Path("groups", i, "experts"),
		"%d experts don't fit %d ranks with %d slots each", g.Experts, len(g.Ranks), g.SlotsPerRank)
	c.advice.Require(g.Experts != capacity, bttoml.Path("groups", i, "slots_per_rank"),
		"the ranks hold each expert once and none twice: no hot expert can be replicated")
}

// checkAccounts checks client accounts. No two accounts share a key.
func (c *checker) checkAccounts() {
	names := map[btid.Account]bool{}
	keyOwners := map[Digest]btid.Account{}
	for i, a := range c.bundle.Accounts {
		key := bttoml.Path("accounts", i, "name")
		c.Require(a.Name != "", key, "is missing")
		c.Require(!names[a.Name], key, "%q is listed twice", a.Name)
		names[a.Name] = true
		hashes := bttoml.Path("accounts", i, "key_hashes")
		c.Require(len(a.KeyHashes) > 0, hashes, "must list at least one SHA-256 digest of a bearer key")
		for j, hash := range a.KeyHashes {
			other, taken := keyOwners[hash]
			c.Require(!taken, bttoml.Path(hashes, j, ""), "is already a key of account %q", other)
			c.Require(!hash.IsZero(), bttoml.Path(hashes, j, ""), "is no digest of a key")
			keyOwners[hash] = a.Name
		}
		for j, name := range a.Services {
			c.Require(c.services[name] != nil, bttoml.Path(bttoml.Path("accounts", i, "services"), j, ""), "no service is named %q", name)
		}
		c.requirePositiveNumber(a.Rate, bttoml.Path("accounts", i, "rate"))
		c.requireAtLeast(int64(a.Burst), 1, bttoml.Path("accounts", i, "burst"))
		c.requireAtLeast(int64(a.Concurrency), 1, bttoml.Path("accounts", i, "concurrency"))
		c.requirePositiveNumber(a.Weight, bttoml.Path("accounts", i, "weight"))
	}
}
