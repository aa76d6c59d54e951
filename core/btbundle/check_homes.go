package btbundle

import (
	"time"

	"bilberrytide/core/btbundle/bttoml"
	"bilberrytide/core/btid"
)

// MaxHomes is the largest number of key homes in one epoch: each grant costs a
// message to a majority of them.
const MaxHomes = 5

// MaxEpochs is the largest number of epochs of one service: a query about a key
// lists them all.
const MaxEpochs = 32

// checkEpochs checks the epochs of every service.
func (c *checker) checkEpochs() {
	for i, s := range c.bundle.Services {
		list := bttoml.Path("services", i, "epochs")
		if !c.Require(len(s.Epochs) > 0, list, "must list at least one set of key homes") {
			continue
		}
		c.Require(len(s.Epochs) <= MaxEpochs, list,
			"lists %d epochs, at most %d: change homes again once the oldest is past its retention", len(s.Epochs), MaxEpochs)
		for j := range s.Epochs {
			c.checkEpoch(list, j, s.Epochs)
		}
		last := len(s.Epochs) - 1
		for j, e := range s.Epochs[:last] {
			dropTime := s.Epochs[j+1].Since.Add(c.bundle.Idempotency.EpochRetention())
			c.checkMajority(bttoml.Path(list, j, "homes"), s.Name, e.Homes, dropTime)
		}
		homes := s.Epochs[last].Homes
		key := bttoml.Path(list, last, "homes")
		c.checkCurrentHomes(key, s.Name, homes)
		c.advice.Require(len(homes)%2 == 1, key,
			"%d homes bear the loss of no more homes than %d would: list an odd number", len(homes), len(homes)-1)
	}
}

// checkEpoch checks one epoch by itself and against the previous one. Its homes
// may name targets that are no longer listed.
func (c *checker) checkEpoch(list string, j int, epochs []HomeEpoch) {
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

// checkMajority checks that the homes of an earlier epoch can still confirm a
// lease: only listed targets have an address from which to vote. Destroyed
// homes don't count; an epoch that has no other homes needs no vote.
func (c *checker) checkMajority(key string, service btid.Service, homes []btid.Target, dropTime time.Time) {
	count := 0
	var missing []btid.Target
	for _, home := range homes {
		if c.destroyedTargets[home] {
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
			"list some of them again and replace homes in steps, or list in destroyed_targets those that are permanently lost with their records",
		need, service, dropTime.UTC().Format(time.RFC3339), missing)
}

// checkDestroyedTargets checks the list of homes that an operator declares
// permanently gone.
func (c *checker) checkDestroyedTargets() {
	homes := listedHomes(c.bundle)
	for i, t := range c.bundle.DestroyedTargets {
		key := bttoml.Path("destroyed_targets", i, "")
		c.Require(!c.destroyedTargets[t], key, "%q is listed twice", t)
		c.Require(c.targets[t] == nil, key, "%q is listed under targets too: a permanently lost target must not return under its name", t)
		_, isHome := homes[t]
		c.advice.Require(isHome, key, "%q is no key home of a listed epoch: leave it out", t)
		c.destroyedTargets[t] = true
	}
}

// checkCurrentHomes checks that the homes of the epoch in force are targets of
// the service.
func (c *checker) checkCurrentHomes(key string, service btid.Service, homes []btid.Target) {
	for k, home := range homes {
		t := c.targets[home]
		homeKey := bttoml.Path(key, k, "")
		if c.Require(t != nil, homeKey, "no target is named %q: append an epoch without it", home) {
			c.Require(t.Service == service, homeKey, "target %q belongs to service %q", home, t.Service)
		}
	}
}
