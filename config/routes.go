package config

import (
	"net/http"
	"net/url"
	"strings"
)

// routeTable finds the route of a request by longest prefix and method.
type routeTable map[string][]*Route

func newRouteTable(routes []Route) routeTable {
	t := routeTable{}
	for i := range routes {
		r := &routes[i]
		t[r.Path] = append(t[r.Path], r)
	}
	return t
}

// match walks from the whole path to its shorter prefixes. It allocates
// nothing. A longer prefix whose routes lack the method is passed over, as in
// http.ServeMux.
func (t routeTable) match(method, path string) *Route {
	for end := len(path); end > 0; {
		if r := routeForMethod(t[path[:end]], method); r != nil {
			return r
		}
		if path[end-1] == '/' {
			end--
			continue
		}
		end = strings.LastIndexByte(path[:end], '/') + 1
	}
	return nil
}

func routeForMethod(routes []*Route, method string) *Route {
	for _, r := range routes {
		for _, m := range r.Methods {
			if m == method {
				return r
			}
		}
	}
	return nil
}

// Key returns the part of a request that determines its owner, by the route's
// source. Path is the escaped path. It returns false when the key is missing,
// empty or ambiguous: a header or parameter that occurs twice could be read
// differently by the backend server. On routes of pooled services the key is
// empty and found.
func (r *Route) Key(path, rawQuery string, header http.Header) (string, bool) {
	switch {
	case r.KeyHeader != "":
		return singleValue(header.Values(r.KeyHeader))
	case r.KeyQuery != "":
		query, err := url.ParseQuery(rawQuery)
		if err != nil {
			return "", false
		}
		return singleValue(query[r.KeyQuery])
	case r.KeySegment > 0:
		return pathSegment(path, r.KeySegment)
	}
	return "", true
}

func singleValue(values []string) (string, bool) {
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// pathSegment returns the decoded n-th pathSegment of an escaped path, from 1. It is
// decoded so that two spellings of a path have one owner.
func pathSegment(path string, n int) (string, bool) {
	rest := strings.TrimPrefix(path, "/")
	for ; n > 1; n-- {
		i := strings.IndexByte(rest, '/')
		if i < 0 {
			return "", false
		}
		rest = rest[i+1:]
	}
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		rest = rest[:i]
	}
	key, err := url.PathUnescape(rest)
	return key, err == nil && key != ""
}
