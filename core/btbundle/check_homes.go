package btbundle

import (
	"time"

	"bilberrytide/core/btbundle/bttoml"
	"bilberrytide/core/btid"
)

// MaxHomes is the most key homes that one epoch may list: each grant costs a
// message to a majority of them.
const MaxHomes = 5

// MaxEpochs is the most epochs that one service may list: a question about a
// key names them all.
const MaxEpochs = 32

// homes checks each service's epochs.
func (c *checker) homes() {
	for i, s := range c.bundle.Services {
		list := bttoml.Path("services", i, "epochs")
		if !c.Require(len(s.Epochs) > 0, list, "must list at least one set of key homes") {
			continue
		}
		c.Require(len(s.Epochs) <= MaxEpochs, list,
			"lists %d epochs, at most %d: change homes again once the oldest is past its memory", len(s.Epochs), MaxEpochs)
		for j := range s.Epochs {
			c.epoch(list, j, s.Epochs)
		}
		last := len(s.Epochs) - 1
		for j, e := range s.Epochs[:last] {
			leftOut := s.Epochs[j+1].Since.Add(c.bundle.Idempotency.EpochRetention())
			c.majority(bttoml.Path(list, j, "homes"), s.Name, e.Homes, leftOut)
		}
		homes := s.Epochs[last].Homes
		key := bttoml.Path(list, last, "homes")
		c.lastHomes(key, s.Name, homes)
		c.advice.Require(len(homes)%2 == 1, key,
			"%d homes bear the loss of no more homes than %d would: list an odd number", len(homes), len(homes)-1)
	}
}

// epoch checks one epoch by itself and against the one before it. Its homes
// may name targets that are no longer listed.
func (c *checker) epoch(list string, j int, epochs []HomeEpoch) {
	e := epochs[j]
	numberKey := bttoml.Path(list, j, "number")
	sinceKey := bttoml.Path(list, j, "since")
	c.Require(e.Number > 0, numberKey, "must be 1 or more")
	c.Require(!e.Since.IsZero(), sinceKey, "is missing: the time at which the epoch was made")
	if j > 0 {
		before := epochs[j-1]
		c.Require(e.Number > before.Number, numberKey, "%d must be over the epoch before it, which is %d", e.Number, before.Number)
		c.Require(!e.Since.Before(before.Since), sinceKey, "is before the epoch that it follows")
	}
	homesKey := bttoml.Path(list, j, "homes")
	c.Require(len(e.Homes) > 0, homesKey, "must list at least one target")
	c.Require(len(e.Homes) <= MaxHomes, homesKey, "lists %d targets, at most %d", len(e.Homes), MaxHomes)
	seen := map[btid.Target]bool{}
	for k, home := range e.Homes {
		c.Require(!seen[home], bttoml.Path(homesKey, k, ""), "%q is listed twice", home)
		seen[home] = true
	}
}

// majority checks that the homes of an earlier epoch can still confirm a lease:
// only listed targets have an address to vote from. Destroyed homes don't count,
// and an epoch that has no others needs no vote.
func (c *checker) majority(key string, service btid.Service, homes []btid.Target, leftOut time.Time) {
	count := 0
	var missing []btid.Target
	for _, home := range homes {
		if c.gone[home] {
			continue
		}
		count++
		if t := c.targets[home]; t == nil || t.Service != service {
			missing = append(missing, home)
		}
	}
	need := count/2 + 1
	c.Require(count == 0 || count-len(missing) >= need, key,
		"%d of these homes must stay targets of service %q until %s, or none of its homes gets a lease, but %v are not: "+
			"list some of them again and replace homes in steps, or name in destroyed_targets those that are gone for good with what they remembered",
		need, service, leftOut.UTC().Format(time.RFC3339), missing)
}

// destroyedTargets checks the homes that a person states are gone for good.
func (c *checker) destroyedTargets() {
	named := listedHomes(c.bundle)
	for i, t := range c.bundle.DestroyedTargets {
		key := bttoml.Path("destroyed_targets", i, "")
		c.Require(!c.gone[t], key, "%q is listed twice", t)
		c.Require(c.targets[t] == nil, key, "%q stands under targets too: what is gone for good never comes back under its name", t)
		_, home := named[t]
		c.advice.Require(home, key, "%q is no key home of a listed epoch: leave it out", t)
		c.gone[t] = true
	}
}

// lastHomes checks that the homes in force are targets of the service.
func (c *checker) lastHomes(key string, service btid.Service, homes []btid.Target) {
	for k, home := range homes {
		t := c.targets[home]
		homeKey := bttoml.Path(key, k, "")
		if c.Require(t != nil, homeKey, "no target is named %q: append an epoch without it", home) {
			c.Require(t.Service == service, homeKey, "target %q belongs to service %q", home, t.Service)
		}
	}
}
