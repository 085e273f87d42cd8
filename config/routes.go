package config

import (
	"net/http"
	"net/url"
	"strings"
)

// routeTable maps path prefixes to their routes. It finds the route of a request
// by longest prefix and method.
type routeTable map[string][]*Route

func newRouteTable(routes []Route) routeTable {
	t := routeTable{}
	for i := range routes {
		r := &routes[i]
		t[r.Path] = append(t[r.Path], r)
	}
	return t
}

// match looks up the path and then its prefixes, from the longest to the
// shortest. It skips a prefix if none of its routes accepts the method, as
// http.ServeMux does. match does not allocate.
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

// Key returns the key of a request, which determines the owner, from the header,
// query parameter or path segment that the route specifies. The argument path is
// the escaped path. Key returns false if the key is missing, empty, not decodable
// or ambiguous: if a header or parameter occurs twice, the backend server might
// use the other value. For routes of pooled services it returns "" and true.
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

// pathSegment returns the n-th segment of an escaped path, counted from 1. The
// segment is unescaped, so that all escaped forms of a key have the same owner.
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
