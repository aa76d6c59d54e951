package btroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btroute"
)

var epoch = time.Unix(1_700_000_000, 0)

// newRouter returns a router over one service whose targets hold leases and are
// spread over three data centres of one region.
func newRouter(targets int, seed uint64) *btroute.Router {
	c := btroute.Defaults()
	c.DataCentre, c.Region = "dc0", "r"
	r := btroute.New(c, btload.New(btload.Defaults()), rand.NewPCG(seed, 1), btassert.New(btassert.Panic()))
	var members []btroute.Member
	for i := range targets {
		members = append(members, btroute.Member{
			Target:     targetName(i),
			DataCentre: btid.DataCentre(fmt.Sprintf("dc%d", i%3)),
			Region:     "r",
		})
	}
	r.Step(epoch, btroute.Members{Service: "s", Targets: members})
	for i := range targets {
		r.Step(epoch, btroute.Lease{Target: targetName(i), Until: epoch.Add(time.Hour)})
	}
	return r
}

func targetName(i int) btid.Target { return btid.Target(fmt.Sprintf("t%03d", i)) }

func BenchmarkPick(b *testing.B) {
	for _, targets := range []int{16, 830} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			r := newRouter(targets, 1)
			for i := range targets {
				report := btload.Report{Target: targetName(i), Incarnation: 1, Number: 1, Running: i % 16, Slots: 16}
				r.Step(epoch, btroute.LoadEvent{Event: btload.Reported{Report: report}})
			}
			prompt := make([]byte, 32*btload.ChunkBytes)
			request := btroute.Request{Service: "s", Tokens: 2048, Prefixes: btload.Prefixes(prompt)}
			b.ReportAllocs()
			for b.Loop() {
				_, err := r.Pick(epoch, request)
				assert.NilError(b, err)
			}
		})
	}
}
