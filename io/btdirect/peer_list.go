package btdirect

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btinventory"
	"bilberrytide/core/btwire"
)

// listedByPeer tells whether the list that is known is fresh though this entry
// doesn't read it: another entry has.
func (k *knowledge) listedByPeer(now time.Time) bool {
	if k.reads() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known && k.index.Load() != nil && now.Sub(k.listedAt) < heardFresh
}

// digest identifies the targets that are known.
func (k *knowledge) digest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return digestOf(k.register.Targets())
}

func digestOf(list []btinventory.Target) uint64 {
	data, err := btwire.Encode(btinventory.Roster{Targets: list})
	if err != nil {
		// A list that can't be encoded is like no other.
		return 0
	}
	return xxhash.Sum64(data)
}

// readList returns what this entry has read of the list, for one that knows the
// targets of the digest. An entry that only heard of it says nothing, so that no
// age grows on the way from one to the next.
func (k *knowledge) readList(known uint64) ReadList {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.known || k.lost || k.readAt.IsZero() {
		return ReadList{}
	}
	l := ReadList{Revision: k.revision, Age: max(k.clock().Sub(k.readAt), 0)}
	targets := k.register.Targets()
	if digestOf(targets) == known {
		l.Same = true
		return l
	}
	l.Targets = targets
	return l
}

// learnList takes in what another entry has read. Asked is when it was asked, so
// that the way counts towards the list's age.
func (k *knowledge) learnList(l ReadList, asked time.Time, from netip.AddrPort) {
	if l.Revision == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	readAt := asked.Add(-l.Age)
	if l.Revision < k.revision || !readAt.After(k.listedAt) {
		return
	}
	k.listedAt = readAt
	k.revision = l.Revision
	k.known = true
	if l.Same {
		return
	}
	changes := k.register.Adopt(l.Targets)
	for _, c := range changes {
		k.log.Info(c.What, "target", c.ID, "service", c.Target.Service, "address", c.Target.Address, "revision", l.Revision, "from", from, "age_ms", k.clock().Sub(readAt).Milliseconds())
	}
	if len(changes) > 0 {
		k.publish()
	}
}
