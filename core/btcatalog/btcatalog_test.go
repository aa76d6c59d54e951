package btcatalog_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btid"
)

func route(host, prefix string) btcatalog.Route {
	return btcatalog.Route{
		Name: host + prefix, Host: host, Prefix: prefix, Kind: btcatalog.Idempotent,
		Shares: []btcatalog.Share{{Service: "s", Weight: 1}}, Timeout: time.Second, Attempts: 1,
	}
}

func catalog(routes ...btcatalog.Route) *btcatalog.Catalog {
	return &btcatalog.Catalog{Version: 1, Routes: routes, Services: []btcatalog.Service{{Name: "s"}}}
}

func TestRouteWithTheLongestPrefixWins(t *testing.T) {
	x := btcatalog.NewIndex(catalog(route("a.example", "/"), route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/x/")))
	for path, want := range map[string]string{
		"/":         "a.example/",
		"/x":        "a.example/",
		"/x/":       "a.example/x/",
		"/x/y":      "a.example/x/",
		"/x/y/z%2f": "a.example/x/y/",
		"/xx/y/":    "a.example/",
	} {
		r, found := x.Route("A.Example:80", path)
		assert.Assert(t, found, path)
		assert.Equal(t, r.Name, want, path)
	}
	_, found := x.Route("b.example", "/y")
	assert.Assert(t, !found)
	_, found = x.Route("c.example", "/x/")
	assert.Assert(t, !found)
	_, found = x.Route("a.example", "")
	assert.Assert(t, !found)
}

func TestKeysNameTheirAccount(t *testing.T) {
	c := catalog(route("a", "/"))
	assert.Assert(t, !btcatalog.NewIndex(c).RequiresKey())
	c.Accounts = []btcatalog.Account{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two"}}
	x := btcatalog.NewIndex(c)
	assert.Assert(t, x.RequiresKey())
	a, found := x.Account("k2")
	assert.Assert(t, found)
	assert.Equal(t, a.Name, btid.Account("one"))
	_, found = x.Account("")
	assert.Assert(t, !found)
}

func TestPickServiceFollowsTheWeights(t *testing.T) {
	r := route("a", "/")
	r.Shares = []btcatalog.Share{{Service: "x", Weight: 9}, {Service: "y", Weight: 1}, {Service: "z", Weight: 0}}
	counts := map[btid.Service]int{}
	const draws = 1000
	for i := range draws {
		counts[r.PickService(float64(i)/draws)]++
	}
	assert.Equal(t, counts["x"], 900)
	assert.Equal(t, counts["y"], 100)
}

func TestInvalidCatalogsAreRejected(t *testing.T) {
	for name, change := range map[string]func(*btcatalog.Catalog){
		"no version":      func(c *btcatalog.Catalog) { c.Version = 0 },
		"service twice":   func(c *btcatalog.Catalog) { c.Services = append(c.Services, c.Services[0]) },
		"prefix":          func(c *btcatalog.Catalog) { c.Routes[0].Prefix = "/x" },
		"kind":            func(c *btcatalog.Catalog) { c.Routes[0].Kind = "" },
		"unknown service": func(c *btcatalog.Catalog) { c.Routes[0].Shares[0].Service = "t" },
		"no weight":       func(c *btcatalog.Catalog) { c.Routes[0].Shares[0].Weight = 0 },
		"timeout":         func(c *btcatalog.Catalog) { c.Routes[0].Timeout = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			c := catalog(route("a", "/"))
			change(c)
			assert.ErrorIs(t, c.Validate(), btcatalog.ErrCatalog)
		})
	}
	assert.NilError(t, catalog(route("a", "/")).Validate())
}

func ExampleIndex_Route() {
	x := btcatalog.NewIndex(catalog(route("shop.example", "/"), route("shop.example", "/orders/")))
	r, _ := x.Route("shop.example", "/orders/17")
	fmt.Println(r.Prefix)
	// Output: /orders/
}
