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

func TestMessagesThatNobodySendsAreRefused(t *testing.T) {
	good := report(1, 16)
	outside := report(20, 16)
	negative := btrank.AgedReport{Report: good, Age: -time.Second}
	for name, message := range map[string]btwire.Validator{
		"rank outside its group":   outside,
		"bundle from nowhere":      btrank.Bundle{Reports: []btrank.AgedReport{{Report: good}}},
		"report from the future":   btrank.Bundle{From: relayAddress, Reports: []btrank.AgedReport{negative}},
		"bundle of a bad report":   btrank.Bundle{From: relayAddress, Reports: []btrank.AgedReport{{Report: outside}}},
		"counts without a unit":    btrank.Bundle{From: relayAddress, Counts: &btrank.Sample{Values: []byte{1}}},
		"batch for nobody":         btrank.Batch{},
		"notice for nobody":        btrank.Notice{Load: btdirect.LoadReport{Service: "s"}},
		"notice of no service":     btrank.Notice{Entries: []netip.AddrPort{relayAddress}},
		"pace that is no number":   btdirect.LoadReport{Service: "s", Paces: []btdirect.RankPace{{Pace: float32(math.NaN())}}},
		"pace without an end":      btdirect.LoadReport{Service: "s", Paces: []btdirect.RankPace{{Pace: float32(math.Inf(1))}}},
		"answer without a verdict": btrank.BatchAnswer{Results: fleets()[0].results("")},
	} {
		assert.Assert(t, message.Validate() != nil, name)
	}
	assert.NilError(t, btrank.Bundle{From: relayAddress, Reports: []btrank.AgedReport{{Report: good}}, Counts: &btrank.Sample{Unit: 1}}.Validate())
}

// FuzzMessages decodes what may come from another process; nothing may panic, and
// what is accepted can be encoded again.
func FuzzMessages(f *testing.F) {
	for _, size := range fleets()[:1] {
		for _, message := range []btwire.Validator{size.bundle(), size.batch(), size.notice(), size.load(), report(1, 16)} {
			data, err := btwire.Encode(message)
			assert.NilError(f, err)
			f.Add([]byte(data))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		again[btrank.Report](t, data)
		again[btrank.Bundle](t, data)
		again[btrank.Batch](t, data)
		again[btrank.BatchAnswer](t, data)
		again[btrank.Notice](t, data)
		again[btdirect.LoadReport](t, data)
	})
}

func again[M btwire.Validator](t *testing.T, data []byte) {
	t.Helper()
	message, err := btwire.Decode[M](data)
	if err != nil {
		return
	}
	_, err = btwire.Encode(message)
	assert.NilError(t, err)
}
