// Package routemap holds a routing configuration: routes, services, customers
// and limits, compiled for look-ups. A Map is immutable.
package routemap

import (
	"crypto/sha256"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// Kind says whether the requests of a route may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once for each request of a caller.
	NonIdempotent
	// Download requests are idempotent and have large responses.
	Download
)

// Repeatable reports whether requests may run more than once.
func (k Kind) Repeatable() bool { return k != NonIdempotent }

// Destination is a service that receives a share of a route's requests.
type Destination struct {
	Service topo.ServiceName
	// Weight is the share of the requests, relative to the other destinations
	// of the route.
	Weight float64
}

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time from a request's arrival to its response.
	Timeout time.Duration
	// Objective is the latency objective (SLO), measured from a request's
	// arrival. A later response has less value to the caller.
	Objective time.Duration
	// Attempts bounds the attempts of a request that reach a backend server.
	Attempts int
	// Priority is the priority class of the requests; 0 is the most urgent.
	Priority int
	// Public routes need no caller key.
	Public       bool
	Destinations []Destination
}

// Service is a set of backend servers with the same settings.
type Service struct {
	Name       topo.ServiceName
	HealthPath string
	// MaxConns bounds the connections to one server, over all VMs.
	MaxConns int
	// WarmUp is how long a server stays cold after its start.
	WarmUp time.Duration
	// ColdRate is the load that a cold server can take, in requests per second;
	// 0 means no limit.
	ColdRate float64
	// Keyed services divide their keys among their servers.
	Keyed bool
}

// Customer is a party whose requests share a rate limit.
type Customer struct {
	ID   topo.CustomerID
	Keys []string
	// Priority replaces the route's priority; nil keeps it.
	Priority *int
	// Rate is in requests per second and Burst in requests, over all VMs
	// together. A Rate of 0 means no limit.
	Rate, Burst float64
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time in which a caller sends the header section
	// of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
}

// Config is one version of the configuration, before it is compiled.
type Config struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// Authenticate says that requests need a caller key, except on public routes. Without
	// customers no key is valid. It is implied if there are customers.
	Authenticate bool
	Limits       Limits
}

// NeedsKeys reports whether requests need a caller key, except on public routes.
func (c *Config) NeedsKeys() bool { return c.Authenticate || len(c.Customers) > 0 }

// keyHash is the hash of a caller key. The map holds only hashes, so that it
// contains no secrets.
type keyHash [sha256.Size]byte

// Map is a compiled Config. It is safe for concurrent use.
type Map struct {
	Version        int64
	Limits         Limits
	hosts          map[string][]*Route
	services       map[topo.ServiceName]*Service
	customersByKey map[keyHash]*Customer
	customersByID  map[topo.CustomerID]*Customer
	authenticates  bool
}

// Compile returns the Map of cfg. It fails when a route has no destination, an
// invalid kind or an unknown service. It clears the caller keys in cfg.Customers; the
// Map refers to the other contents of cfg, which must not be changed
// afterwards.
func Compile(cfg Config) (*Map, error) {
	m := &Map{
		Version:        cfg.Version,
		Limits:         cfg.Limits,
		hosts:          make(map[string][]*Route),
		services:       make(map[topo.ServiceName]*Service),
		customersByKey: make(map[keyHash]*Customer),
		customersByID:  make(map[topo.CustomerID]*Customer),
		authenticates:  cfg.NeedsKeys(),
	}
	for i := range cfg.Services {
		m.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Customers {
		m.addCustomer(&cfg.Customers[i])
	}
	for i := range cfg.Routes {
		if err := m.addRoute(&cfg.Routes[i]); err != nil {
			return nil, errors.Annotatef(err, "route %q", cfg.Routes[i].Name)
		}
	}
	for _, routes := range m.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	return m, nil
}

func (m *Map) addCustomer(c *Customer) {
	m.customersByID[c.ID] = c
	for _, key := range c.Keys {
		m.customersByKey[sha256.Sum256([]byte(key))] = c
	}
	c.Keys = nil
}

func (m *Map) addRoute(r *Route) error {
	switch {
	case len(r.Destinations) == 0:
		return errors.New("no destinations, expected at least one")
	case r.Kind < Idempotent || r.Kind > Download:
		return errors.New("kind is missing or unknown, expected idempotent, non-idempotent or download")
	}
	for _, p := range r.Destinations {
		if m.services[p.Service] == nil {
			return errors.Errorf("service %q does not exist", p.Service)
		}
	}
	host := strings.ToLower(r.Host)
	m.hosts[host] = append(m.hosts[host], r)
	return nil
}

// Route returns the route of the host with the longest prefix of path, or nil.
// Host may include a port and is matched without regard to case.
func (m *Map) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range m.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Authenticates reports whether requests need a caller key, except on public routes.
func (m *Map) Authenticates() bool { return m.authenticates }

// CustomerOf returns the customer that holds a caller key, or nil.
func (m *Map) CustomerOf(key string) *Customer { return m.customersByKey[sha256.Sum256([]byte(key))] }

// Customer returns a customer by its id, or nil.
func (m *Map) Customer(id topo.CustomerID) *Customer { return m.customersByID[id] }

// Customers calls f for each customer, in no particular order.
func (m *Map) Customers(f func(*Customer)) {
	for _, c := range m.customersByID {
		f(c)
	}
}

// Service returns a service by its name, or nil.
func (m *Map) Service(name topo.ServiceName) *Service { return m.services[name] }

// LongestTimeout returns the longest timeout of the routes that lead to a service.
func (m *Map) LongestTimeout(name topo.ServiceName) time.Duration {
	longest := time.Duration(0)
	for _, list := range m.hosts {
		for _, r := range list {
			if slices.ContainsFunc(r.Destinations, func(d Destination) bool { return d.Service == name }) {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest
}

// Services calls f for each service, in no particular order.
func (m *Map) Services(f func(*Service)) {
	for _, s := range m.services {
		f(s)
	}
}
