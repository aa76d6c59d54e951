package btinventory_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btinventory"
)

// After a restore, the list holds the record of a target whose address went to another
// target after the snapshot was taken. The older record must not drop the newer target.
func TestRestoredListDoesNotReplaceNewerRecord(t *testing.T) {
	r := newRegistry()
	at := func(era, revision uint64) btinventory.Position {
		p, err := btinventory.NewPosition(era, revision)
		assert.NilError(t, err)
		return p
	}
	older := listed("older", at(1, 10))
	older.Address = netip.MustParseAddrPort("127.0.0.1:90")
	r.Put(older)
	// The address goes to another target after the snapshot was taken.
	newer := listed("newer", at(1, 40))
	newer.Address = older.Address
	r.Put(newer)
	now := start.Add(time.Minute)
	r.Restored(now, 2)
	older.Created = at(2, 10)
	changes := r.Replace(now, []btinventory.Target{older})
	assert.DeepEqual(t, ids(r), []btinventory.ID{"newer"})
	assert.Equal(t, changes[0].What, btinventory.Kept)
	// Records written after the restore apply at once.
	newer.Created = at(2, 12)
	r.Put(newer)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"newer"})
	assert.Equal(t, len(r.Expire(now.Add(time.Minute))), 0, fmt.Sprint(ids(r)))
}
