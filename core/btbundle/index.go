package btbundle

import (
	"crypto/sha256"
	"crypto/subtle"

	"bilberrytide/core/btid"
)

// Index looks up a bundle's elements by name in constant time. It is built once
// for each bundle and only read afterwards.
type Index struct {
	services     map[btid.Service]*Service
	targets      map[btid.Target]*Target
	byService    map[btid.Service][]*Target
	entries      map[btid.Entry]*Entry
	groups       map[btid.Group]*Group
	ranks        map[btid.Target]Rank
	accounts     map[btid.Account]*Account
	keysByPrefix map[keyPrefix][]accountKey
	dataCentres  map[btid.DataCentre]*DataCentre
}

// Rank is a target's position in its group.
type Rank struct {
	Group  *Group
	Number int
}

// keyPrefix selects the few key hashes to compare in full. It is part of a
// digest, which reveals nothing about the key that a caller could use.
type keyPrefix [8]byte

type accountKey struct {
	hash    Digest
	account *Account
}

// NewIndex builds the index of a bundle that Decode returned.
func NewIndex(b *Bundle) *Index {
	x := &Index{
		services:     byName(b.Services, func(s *Service) btid.Service { return s.Name }),
		targets:      byName(b.Targets, func(t *Target) btid.Target { return t.Name }),
		byService:    map[btid.Service][]*Target{},
		entries:      byName(b.Entries, func(e *Entry) btid.Entry { return e.Name }),
		groups:       byName(b.Groups, func(g *Group) btid.Group { return g.Name }),
		ranks:        map[btid.Target]Rank{},
		accounts:     byName(b.Accounts, func(a *Account) btid.Account { return a.Name }),
		keysByPrefix: map[keyPrefix][]accountKey{},
		dataCentres:  byName(b.DataCentres, func(d *DataCentre) btid.DataCentre { return d.Name }),
	}
	for i := range b.Targets {
		t := &b.Targets[i]
		x.byService[t.Service] = append(x.byService[t.Service], t)
	}
	for i := range b.Groups {
		for number, name := range b.Groups[i].Ranks {
			x.ranks[name] = Rank{Group: &b.Groups[i], Number: number}
		}
	}
	for i := range b.Accounts {
		x.addKeys(&b.Accounts[i])
	}
	return x
}

func byName[N comparable, V any](list []V, name func(*V) N) map[N]*V {
	table := make(map[N]*V, len(list))
	for i := range list {
		table[name(&list[i])] = &list[i]
	}
	return table
}

func (x *Index) addKeys(a *Account) {
	for _, hash := range a.KeyHashes {
		prefix := keyPrefix(hash[:8])
		x.keysByPrefix[prefix] = append(x.keysByPrefix[prefix], accountKey{hash: hash, account: a})
	}
}

// Service returns the service of that name.
func (x *Index) Service(name btid.Service) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Target returns the target of that name.
func (x *Index) Target(name btid.Target) (*Target, bool) {
	t, ok := x.targets[name]
	return t, ok
}

// TargetsOf returns the service's targets in the document's order. The slice
// must not be modified.
func (x *Index) TargetsOf(service btid.Service) []*Target { return x.byService[service] }

// Entry returns the entry of that name.
func (x *Index) Entry(name btid.Entry) (*Entry, bool) {
	e, ok := x.entries[name]
	return e, ok
}

// Group returns the group of that name.
func (x *Index) Group(name btid.Group) (*Group, bool) {
	g, ok := x.groups[name]
	return g, ok
}

// RankOf returns the target's position in its group, or false if it has none.
func (x *Index) RankOf(target btid.Target) (Rank, bool) {
	r, ok := x.ranks[target]
	return r, ok
}

// DataCentre returns the data centre of that name.
func (x *Index) DataCentre(name btid.DataCentre) (*DataCentre, bool) {
	d, ok := x.dataCentres[name]
	return d, ok
}

// Account returns the client account of that name.
func (x *Index) Account(name btid.Account) (*Account, bool) {
	a, ok := x.accounts[name]
	return a, ok
}

// AccountByKey returns the client account that holds the bearer key. Digests
// are compared in constant time.
func (x *Index) AccountByKey(bearer string) (*Account, bool) {
	hash := HashKey(bearer)
	var found *Account
	for _, k := range x.keysByPrefix[keyPrefix(hash[:8])] {
		if subtle.ConstantTimeCompare(k.hash[:], hash[:]) == 1 {
			found = k.account
		}
	}
	return found, found != nil
}

// HashKey returns the digest under which a bundle lists a bearer key.
func HashKey(bearer string) Digest { return sha256.Sum256([]byte(bearer)) }

// MayUse reports whether the account may use the service.
func (a *Account) MayUse(service btid.Service) bool {
	for _, s := range a.Services {
		if s == service {
			return true
		}
	}
	return len(a.Services) == 0
}

// CurrentEpoch returns the epoch of key homes in force.
func (s *Service) CurrentEpoch() HomeEpoch { return s.Epochs[len(s.Epochs)-1] }
