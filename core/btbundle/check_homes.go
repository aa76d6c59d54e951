package btbundle

import (
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
