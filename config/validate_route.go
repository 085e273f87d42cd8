package config

import (
	"fmt"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"

	"godwitlock.example/godwitlock/internal/tomlcheck"
	"godwitlock.example/godwitlock/topo"
)

// ReservedPathPrefix is the prefix of the paths that godwitlock serves itself.
const ReservedPathPrefix = "/.godwitlock/"

// Methods lists the HTTP methods that a route may accept.
var Methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (v *validator) routes() {
	seen := definedNames{}
	for i := range v.doc.Routes {
		r := &v.doc.Routes[i]
		field := fmt.Sprintf("route[%d]", i)
		v.path(field+".path", r.Path)
		v.methods(field, r, seen)
		v.checkFlagConflicts(field, r)
		v.routeLimits(field, r)
		if s := v.referencedService(field, r.Service); s != nil {
			v.checkRouteService(field, r, s)
		}
	}
}

func (v *validator) path(field, path string) {
	switch {
	case !strings.HasPrefix(path, "/"):
		v.c.Add(field, "%q must begin with a slash", path)
	case strings.ContainsAny(path, "?#%* \t\r\n"):
		v.c.Add(field, "%q must be a plain path without query, fragment, escape sequences, wildcards or white space", path)
	case slices.ContainsFunc(strings.Split(strings.Trim(path, "/"), "/"), func(s string) bool { return s == "." || s == ".." }), strings.Contains(path, "//"):
		v.c.Add(field, "%q must have no empty, \".\" or \"..\" segments", path)
	case strings.HasPrefix(path+"/", ReservedPathPrefix):
		v.c.Add(field, "paths below %s are reserved", ReservedPathPrefix)
	}
}

func (v *validator) methods(field string, r *Route, seen definedNames) {
	if len(r.Methods) == 0 {
		v.c.Add(field+".methods", "must list at least one method")
	}
	for j, m := range r.Methods {
		methodField := fmt.Sprintf("%s.methods[%d]", field, j)
		if !slices.Contains(Methods, m) {
			v.c.Suggest(methodField, tomlcheck.Nearest(strings.ToUpper(m), Methods), "%q is not a method; use %s", m, strings.Join(Methods, ", "))
			continue
		}
		if other, ok := seen[m+" "+r.Path]; ok {
			v.c.Add(methodField, "%s %s is already a route in %s", m, r.Path, other)
			continue
		}
		seen[m+" "+r.Path] = methodField
	}
}

func (v *validator) checkFlagConflicts(field string, r *Route) {
	if r.Idempotent && r.ExactlyOnce {
		v.c.Add(field+".exactly_once", "a route cannot be both idempotent and exactly_once: idempotent requests may run more than once")
	}
	if r.Large && r.ExactlyOnce {
		v.c.Add(field+".large", "a route cannot be both large and exactly_once: only responses of at most 64 KiB are recorded for repeated requests")
	}
}

func (v *validator) routeLimits(field string, r *Route) {
	if v.c.Has(field + ".max_body") {
		v.checkRange(field+".max_body", int64(r.MaxBody), 1, 1<<40)
	}
	if v.c.Has(field + ".timeout") {
		v.duration(field+".timeout", r.Timeout)
	}
	if !v.c.Has(field + ".max_timeout") {
		return
	}
	v.duration(field+".max_timeout", r.MaxTimeout)
	timeout := r.Timeout
	if timeout == 0 {
		timeout = v.doc.Limits.Timeout
	}
	if timeout > r.MaxTimeout {
		v.c.Add(field+".max_timeout", "is %s, shorter than the route's timeout, %s", r.MaxTimeout, timeout)
	}
}

func (v *validator) referencedService(field string, name topo.ServiceName) *Service {
	var known []string
	for i := range v.doc.Services {
		if v.doc.Services[i].Name == name {
			return &v.doc.Services[i]
		}
		known = append(known, string(v.doc.Services[i].Name))
	}
	v.c.Suggest(field+".service", tomlcheck.Nearest(string(name), known), "no service is named %q", name)
	return nil
}

func (v *validator) checkRouteService(field string, r *Route, s *Service) {
	sources := 0
	for _, name := range []string{".key_header", ".key_query", ".key_segment"} {
		if v.c.Has(field + name) {
			sources++
		}
	}
	if s.Kind == topo.Pooled {
		if sources > 0 {
			v.c.Add(field, "service %q is pooled, so the route must not set key_header, key_query or key_segment", s.Name)
		}
		if r.ExactlyOnce {
			v.c.Add(field+".exactly_once", "service %q is pooled; only a keyed service has one home VM per request that can record the requests to detect repeated ones", s.Name)
		}
		return
	}
	if sources != 1 {
		v.c.Add(field, "service %q is keyed, so the route must set exactly one of key_header, key_query and key_segment", s.Name)
		return
	}
	v.keySource(field, r)
}

func (v *validator) keySource(field string, r *Route) {
	switch {
	case v.c.Has(field + ".key_header"):
		if !httpguts.ValidHeaderFieldName(r.KeyHeader) {
			v.c.Add(field+".key_header", "%q is not a header name", r.KeyHeader)
		}
		if strings.EqualFold(r.KeyHeader, "Authorization") {
			v.c.Add(field+".key_header", "the Authorization header holds the caller key, which is never used as a key")
		}
	case v.c.Has(field + ".key_query"):
		if r.KeyQuery == "" {
			v.c.Add(field+".key_query", "must not be empty")
		}
	default:
		v.checkRange(field+".key_segment", int64(r.KeySegment), 1, 64)
	}
}
