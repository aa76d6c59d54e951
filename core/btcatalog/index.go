package btcatalog

import (
	"strings"

	"bilberrytide/core/btid"
)

// Index looks up the routes, accounts and services of one catalog. It is immutable
// and safe for concurrent use.
type Index struct {
	catalog  *Catalog
	routes   map[string]map[string]*Route
	accounts map[string]*Account
	services map[btid.Service]*Service
}

// NewIndex returns an index over a valid catalog, which must not change
// afterwards.
func NewIndex(c *Catalog) *Index {
	x := &Index{
		catalog:  c,
		routes:   make(map[string]map[string]*Route),
		accounts: make(map[string]*Account),
		services: make(map[btid.Service]*Service, len(c.Services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		byPrefix := x.routes[r.Host]
		if byPrefix == nil {
			byPrefix = make(map[string]*Route)
			x.routes[r.Host] = byPrefix
		}
		byPrefix[r.Prefix] = r
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			x.accounts[k] = &c.Accounts[i]
		}
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

// Version returns the catalog's version.
func (x *Index) Version() uint64 { return x.catalog.Version }

// Limits returns the limits of callers' requests.
func (x *Index) Limits() Limits { return x.catalog.Limits }

// Route returns the host name's route with the longest prefix of the path; false if
// there is none. The host name may carry a port.
func (x *Index) Route(host, path string) (*Route, bool) {
	byPrefix := x.routes[hostName(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if r, found := byPrefix[path[:slash+1]]; found {
			return r, true
		}
		end = slash
	}
	return nil, false
}

func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// RequiresKey reports whether the catalog lists accounts, so that requests of routes that
// aren't public need a key.
func (x *Index) RequiresKey() bool { return len(x.catalog.Accounts) > 0 }

// Account returns the account that holds the key.
func (x *Index) Account(key string) (*Account, bool) {
	a, found := x.accounts[key]
	return a, found
}

// Service returns the service of that name.
func (x *Index) Service(name btid.Service) (*Service, bool) {
	s, found := x.services[name]
	return s, found
}

// Services returns the services in the catalog's order.
func (x *Index) Services() []Service { return x.catalog.Services }

// PickService selects a service of the route by weight. The draw is a uniform random
// number in [0, 1).
func (r *Route) PickService(draw float64) btid.Service {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	remaining := draw * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(max(s.Weight, 0))
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
