package btrank_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btwire"
	"bilberrytide/io/btdirect"
	"bilberrytide/io/btrank"
)

var relayAddress = netip.MustParseAddrPort("10.1.2.3:8232")

// TestInvalidMessagesAreRejected guards against accepting messages that no agent sends,
// such as numbers out of range or a message without recipients.
func TestInvalidMessagesAreRejected(t *testing.T) {
	good := report(1, 16)
	outside := report(20, 16)
	negative := btrank.AgedReport{Report: good, Age: -time.Second}
	for name, message := range map[string]btwire.Validator{
		"rank outside its group":    outside,
		"bundle without sender":     btrank.Bundle{Reports: []btrank.AgedReport{{Report: good}}},
		"report of negative age":    btrank.Bundle{From: relayAddress, Reports: []btrank.AgedReport{negative}},
		"bundle of a bad report":    btrank.Bundle{From: relayAddress, Reports: []btrank.AgedReport{{Report: outside}}},
		"counts without a unit":     btrank.Bundle{From: relayAddress, Counts: &btrank.ScaledCounts{Values: []byte{1}}},
		"batch without ranks":       btrank.Batch{},
		"notice without entries":    btrank.LoadNotice{Load: btdirect.LoadReport{Service: "s"}},
		"notice without a service":  btrank.LoadNotice{Entries: []netip.AddrPort{relayAddress}},
		"pace that is not a number": btdirect.LoadReport{Service: "s", Paces: []btdirect.RankPace{{Pace: float32(math.NaN())}}},
		"infinite pace":             btdirect.LoadReport{Service: "s", Paces: []btdirect.RankPace{{Pace: float32(math.Inf(1))}}},
		"answer without a verdict":  btrank.BatchAnswer{Results: deployments()[0].results("")},
	} {
		assert.Assert(t, message.Validate() != nil, name)
	}
	assert.NilError(t, btrank.Bundle{From: relayAddress, Reports: []btrank.AgedReport{{Report: good}}, Counts: &btrank.ScaledCounts{Unit: 1}}.Validate())
}

// FuzzMessages guards against messages from other processes that make the decoder panic, or
// that are accepted but can't be encoded again.
func FuzzMessages(f *testing.F) {
	for _, size := range deployments()[:1] {
		for _, message := range []btwire.Validator{size.bundle(), size.batch(), size.notice(), size.load(), report(1, 16)} {
			data, err := btwire.Encode(message)
			assert.NilError(f, err)
			f.Add([]byte(data))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		reencode[btrank.Report](t, data)
		reencode[btrank.Bundle](t, data)
		reencode[btrank.Batch](t, data)
		reencode[btrank.BatchAnswer](t, data)
		reencode[btrank.LoadNotice](t, data)
		reencode[btdirect.LoadReport](t, data)
	})
}

func reencode[M btwire.Validator](t *testing.T, data []byte) {
	t.Helper()
	message, err := btwire.Decode[M](data)
	if err != nil {
		return
	}
	_, err = btwire.Encode(message)
	assert.NilError(t, err)
}
