package btclaim_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

type message interface{ Validate() error }

func encode(t testing.TB, m any) []byte {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	assert.NilError(t, err)
	data, err := mode.Marshal(m)
	assert.NilError(t, err)
	return data
}

func sampleMessages() []message {
	id := btclaim.EpochIDOf(epochs[0])
	request := btid.Request{Entry: "e0", Incarnation: 1, Number: 1}
	at := startTime.Add(10*time.Second + 123456789)
	grant := grantAt("k", at)
	sealed := btclaim.Sealed{Claim: grant.Claim, Attempt: 1, Executor: self, By: self}
	record := &btclaim.Record{Grant: &grant}
	return []message{
		&btclaim.Acquire{Request: request, Ask: 1, Claim: grant.Claim, Executor: self, Accepted: at},
		&btclaim.AcquireReply{Request: request, Ask: 1, Grant: &grant},
		&btclaim.AcquireReply{Request: request, Outcome: btrequest.NotRun, Reason: btclaim.Held, Hold: 1},
		&btclaim.Release{Request: request, Ask: 2, Sealed: sealed, Next: self},
		&btclaim.Lookup{From: "t1", To: "t0", Claim: grant.Claim, Number: 1, Incarnation: 1},
		&btclaim.LookupReply{From: "t1", To: "t0", Claim: grant.Claim, Number: 1, Incarnation: 1, Since: at, Record: record},
		&btclaim.LeaseAsk{Service: service, From: "t1", To: "t0", Incarnation: 1, Epoch: id, Listed: []btclaim.EpochID{id}, Round: 1, Lease: time.Second},
		&btclaim.LeaseVote{Service: service, From: "t1", To: "t0", Incarnation: 1, Epoch: id, Round: 1, Granted: true, Since: at},
		&btclaim.Refused{Claim: grant.Claim, Attempt: 1, Reason: btclaim.GrantSealed, Sealed: &sealed},
	}
}

// newUnleasedHome returns home t0 of epoch 1, which has no votes of the other two
// homes.
func newUnleasedHome(t testing.TB) *btclaim.Home {
	s := btclaim.DefaultHomeSettings(btid.Executor{Target: "t0", Incarnation: 1}, service, startTime)
	s.MaxLease = time.Second
	r := btclaim.Rules{
		Epochs:        epochs[:1],
		Retention:     time.Hour,
		ClockError:    clockError,
		Lease:         time.Second,
		GrantLifetime: time.Minute,
	}
	home, err := btclaim.NewHome(startTime, s, r, btassert.New(btassert.Panic()))
	assert.NilError(t, err)
	return home
}

// emptyMessages returns a zero value of each message type to decode into.
func emptyMessages() []message {
	return []message{
		new(btclaim.Acquire), new(btclaim.AcquireReply), new(btclaim.Release),
		new(btclaim.Lookup), new(btclaim.LookupReply),
		new(btclaim.LeaseAsk), new(btclaim.LeaseVote), new(btclaim.Refused),
	}
}

// homeEvent returns the message as an event of a home; nil if it is none.
func homeEvent(m message) btclaim.HomeEvent {
	switch m := m.(type) {
	case *btclaim.Acquire:
		return *m
	case *btclaim.Release:
		return *m
	case *btclaim.Lookup:
		return *m
	case *btclaim.LookupReply:
		return *m
	case *btclaim.LeaseAsk:
		return *m
	case *btclaim.LeaseVote:
		return *m
	}
	return nil
}

// TestMessagesKeepNanoseconds: the fuzz seeds are valid, and times keep
// their nanoseconds on the wire. Since decides whether a key is newer than a lease,
// so that a rounded time could let a key run twice.
func TestMessagesKeepNanoseconds(t *testing.T) {
	for _, m := range sampleMessages() {
		assert.NilError(t, m.Validate())
	}
	var vote btclaim.LeaseVote
	sent := sampleMessages()[7].(*btclaim.LeaseVote)
	assert.NilError(t, cbor.Unmarshal(encode(t, sent), &vote))
	assert.Assert(t, vote.Since.Equal(sent.Since))
}

// FuzzMessages decodes arbitrary bytes as every message. Invalid messages change
// nothing, and none causes a panic.
func FuzzMessages(f *testing.F) {
	for _, m := range sampleMessages() {
		data := encode(f, m)
		f.Add(data)
		f.Add(data[:len(data)/2])
		f.Add(bytes.ReplaceAll(data, []byte("receipts"), []byte("Receipt!")))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		home := newUnleasedHome(t)
		for _, m := range emptyMessages() {
			if cbor.Unmarshal(data, m) != nil {
				continue
			}
			invalid := m.Validate() != nil
			e := homeEvent(m)
			if e == nil {
				continue
			}
			before := home.Status()
			effects := home.Step(startTime, e)
			if invalid {
				assert.Equal(t, len(effects), 0)
				assert.Equal(t, home.Status(), before)
			}
		}
	})
}
