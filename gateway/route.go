package gateway

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

const maxKeyBytes = 1024

// KeySource is the part of a request that holds its key.
type KeySource uint8

// Key sources.
const (
	// NoKey is for pooled services, whose requests have no key.
	NoKey KeySource = iota
	// KeyHeader takes the key from the header field KeyName.
	KeyHeader
	// KeyQuery takes the key from the query parameter KeyName.
	KeyQuery
	// KeySegment takes the key from the path segment KeyIndex.
	KeySegment
)

// Route matches requests by method and path prefix and defines how they are
// handled.
type Route struct {
	// Name identifies the route in logs.
	Name string
	// Prefix is a path prefix; it matches whole segments.
	Prefix string
	// Methods lists the methods that the route accepts.
	Methods []string
	Service topo.ServiceName

	KeySource KeySource
	KeyName   string
	// KeyIndex is the position of the key among the segments of the whole path,
	// counted from 0.
	KeyIndex int

	// OpenToAll admits every customer to the route; otherwise only Customers
	// are admitted.
	OpenToAll bool
	Customers []topo.CustomerID

	// IdempotentMethods lists the methods whose requests may run more than
	// once.
	IdempotentMethods []string
	// ExactlyOnce requires an Idempotency-Key for all other methods.
	ExactlyOnce bool
	// Large puts all requests of the route into the class call.Large.
	Large bool
	// MaxBody limits request bodies, in bytes.
	MaxBody        int64
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
}

// Idempotent reports whether requests with method may run more than once.
func (rt *Route) Idempotent(method string) bool {
	return slices.Contains(rt.IdempotentMethods, method)
}

// Allows reports whether customer may use the route.
func (rt *Route) Allows(customer topo.CustomerID) bool {
	return rt.OpenToAll || slices.Contains(rt.Customers, customer)
}

// key returns the key of r, or "" for routes without keys.
func (rt *Route) key(r *http.Request, segments []string) (string, error) {
	var values []string
	switch rt.KeySource {
	case NoKey:
		return "", nil
	case KeyHeader:
		values = r.Header.Values(rt.KeyName)
	case KeyQuery:
		query, err := url.ParseQuery(r.URL.RawQuery)
		if err != nil {
			return "", errkind.Wrap(err, errkind.BadRequest, "the query is malformed")
		}
		values = query[rt.KeyName]
	case KeySegment:
		if rt.KeyIndex < len(segments) {
			values = segments[rt.KeyIndex : rt.KeyIndex+1]
		}
	}
	if len(values) != 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return "", errkind.New(errkind.BadRequest,
			"the key must be given once, with 1 to %d bytes", maxKeyBytes)
	}
	return values[0], nil
}

// Table is a RouteFinder over a fixed list of routes. Among the routes that
// accept the method, the one with the longest matching prefix is selected.
type Table struct {
	entries []tableEntry
}

type tableEntry struct {
	prefix []string
	route  *Route
}

// NewTable validates routes and returns a table of them.
func NewTable(routes []*Route) (*Table, error) {
	t := &Table{}
	for _, rt := range routes {
		prefix, err := splitPath(rt.Prefix)
		if err != nil {
			return nil, errors.Annotatef(err, "route %q", rt.Name)
		}
		if rt.MaxTimeout <= 0 || rt.DefaultTimeout <= 0 || rt.DefaultTimeout > rt.MaxTimeout {
			return nil, errors.NotValidf("route %q: timeouts (expected 0 < default <= maximum)", rt.Name)
		}
		if len(rt.Methods) == 0 || rt.MaxBody < 0 {
			return nil, errors.NotValidf("route %q: methods (expected at least 1) or body limit (expected >= 0)", rt.Name)
		}
		t.entries = append(t.entries, tableEntry{prefix, rt})
	}
	slices.SortStableFunc(t.entries, func(a, b tableEntry) int { return len(b.prefix) - len(a.prefix) })
	return t, nil
}

// Route implements RouteFinder.
func (t *Table) Route(method string, segments []string) *Route {
	for i := range t.entries {
		e := &t.entries[i]
		if len(e.prefix) <= len(segments) && slices.Equal(e.prefix, segments[:len(e.prefix)]) &&
			slices.Contains(e.route.Methods, method) {
			return e.route
		}
	}
	return nil
}

// splitPath returns the unescaped segments of an escaped path. It rejects empty
// and dot segments, because a backend server could resolve the path to a
// different one. A trailing slash is not a segment.
func splitPath(escaped string) ([]string, error) {
	rest, ok := strings.CutPrefix(escaped, "/")
	if !ok {
		return nil, errkind.New(errkind.BadRequest, "the target must be a path")
	}
	rest = strings.TrimSuffix(rest, "/")
	if rest == "" {
		if len(escaped) > 1 {
			return nil, errkind.New(errkind.BadRequest, "the path has an empty segment")
		}
		return nil, nil
	}
	segments := strings.Split(rest, "/")
	for i, s := range segments {
		u, err := url.PathUnescape(s)
		if err != nil || u == "" || u == "." || u == ".." {
			return nil, errkind.New(errkind.BadRequest, "the path has an empty, dot or malformed segment")
		}
		segments[i] = u
	}
	return segments, nil
}
