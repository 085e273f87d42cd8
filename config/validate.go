package config

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"godwitlock.example/godwitlock/internal/tomlcheck"
	"godwitlock.example/godwitlock/topo"
)

// Limits of the values in a document.
const (
	maxNameBytes   = 63
	maxSlots       = 10_000
	maxConnections = 1_000_000
	maxQueueLength = 100_000
	maxDuration    = time.Hour
	// minHeaderBytes is large enough for a caller key and an idempotency key.
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
)

// definedNames maps each name found so far to the field that defines it.
type definedNames map[string]string

type validator struct {
	c   *tomlcheck.Checker
	doc *Document
}

func tooLarge(file string, size int) Problems {
	return Problems{{
		Position: tomlcheck.Position{File: file, Line: 1, Column: 1},
		Message:  fmt.Sprintf("the document has %d bytes; at most %d are accepted", size, MaxDocumentBytes),
	}}
}

// ValidName reports whether s is valid as the name of a customer, service,
// server, data centre, cell or environment: 1 to 63 lower-case ASCII letters,
// digits and hyphens, beginning and ending with a letter or digit. The character
// set is this small because names are parts of store keys.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if c != '-' && (c < '0' || c > '9') && (c < 'a' || c > 'z') {
			return false
		}
	}
	return true
}

func (v *validator) document() {
	v.limits()
	v.dataCentres()
	v.services()
	v.routes()
}

func (v *validator) limits() {
	l := &v.doc.Limits
	v.checkRange("limits.max_header_bytes", int64(l.MaxHeaderBytes), minHeaderBytes, maxHeaderBytes)
	v.checkRange("limits.max_body", int64(l.MaxBody), 1, 1<<40)
	v.checkRange("limits.max_connections", int64(l.MaxConnections), 1, maxConnections)
	v.duration("limits.header_timeout", l.HeaderTimeout)
	v.duration("limits.idle_timeout", l.IdleTimeout)
	v.duration("limits.body_stall_timeout", l.BodyStallTimeout)
	v.duration("limits.timeout", l.Timeout)
	v.duration("limits.max_timeout", l.MaxTimeout)
	v.duration("limits.queue_wait", l.QueueWait)
	v.checkRange("limits.queue_length", int64(l.QueueLength), 1, maxQueueLength)
	if l.Timeout > l.MaxTimeout {
		v.c.Add("limits.timeout", "is %s, longer than limits.max_timeout, %s", l.Timeout, l.MaxTimeout)
	}
}

func (v *validator) checkRange(field string, value, low, high int64) {
	if value < low || value > high {
		v.c.Add(field, "is %d; must be from %d to %d", value, low, high)
	}
}

func (v *validator) duration(field string, d Duration) {
	if d < Duration(time.Millisecond) || d > Duration(maxDuration) {
		v.c.Add(field, "is %s; must be from 1ms to %s", d, maxDuration)
	}
}

func (v *validator) checkName(field, name string) bool {
	if !ValidName(name) {
		v.c.Add(field, "%q is not a name: use 1 to %d lower-case letters, digits and hyphens, beginning and ending with a letter or digit", name, maxNameBytes)
		return false
	}
	return true
}

// name checks that the name field of a table is valid and not in seen, and adds
// it to seen.
func (v *validator) name(table, name string, seen definedNames) {
	v.checkUniqueName(table+".name", name, seen)
}

func (v *validator) checkUniqueName(field, name string, seen definedNames) {
	if !v.checkName(field, name) {
		return
	}
	if other, ok := seen[name]; ok {
		v.c.Add(field, "%q is already the name in %s", name, other)
		return
	}
	seen[name] = field
}

func (v *validator) dataCentres() {
	seen := definedNames{}
	for i, dc := range v.doc.DataCentres {
		v.name(fmt.Sprintf("data_centre[%d]", i), string(dc.Name), seen)
	}
}

func (v *validator) services() {
	seen, ids := definedNames{}, definedNames{}
	for i := range v.doc.Services {
		s := &v.doc.Services[i]
		field := fmt.Sprintf("service[%d]", i)
		v.name(field, string(s.Name), seen)
		v.checkName(field+".cell", string(s.Cell))
		v.kind(field, s)
		v.servers(field, s.Servers, ids)
	}
}

func (v *validator) kind(field string, s *Service) {
	if err := s.Kind.Validate(); err != nil {
		suggestion := tomlcheck.Nearest(string(s.Kind), []string{string(topo.Keyed), string(topo.Pooled)})
		v.c.Suggest(field+".kind", suggestion, "%s", err)
		return
	}
	if !v.c.Has(field + ".slices") {
		return
	}
	if s.Kind == topo.Pooled {
		v.c.Add(field+".slices", "only a keyed service has slices")
	} else if n := s.Slices; n < 1 || n > MaxSlices || n&(n-1) != 0 {
		v.c.Add(field+".slices", "is %d; must be a power of two from 1 to %d", n, MaxSlices)
	}
}

func (v *validator) servers(service string, servers []topo.BackendServer, ids definedNames) {
	for i := range servers {
		s := &servers[i]
		field := fmt.Sprintf("%s.server[%d]", service, i)
		v.checkUniqueName(field+".id", string(s.ID), ids)
		v.dataCentreRef(field+".data_centre", s.DataCentre)
		v.addr(field+".addr", s.Addr)
		v.checkRange(field+".slots", int64(s.Slots), 1, maxSlots)
		v.checkRange(field+".max_conns", int64(s.MaxConns), 1, maxConnections)
		if s.Slots >= 1 && s.MaxConns >= 1 && s.MaxConns < s.Slots {
			v.c.Add(field+".max_conns", "is %d, fewer than the %d slots", s.MaxConns, s.Slots)
		}
	}
}

// dataCentreRef checks that a data centre with the name exists. If the document
// lists no data centres it checks only the form of the name, because the local
// overrides of the environment may list them.
func (v *validator) dataCentreRef(field string, name topo.DataCentreName) {
	if !v.checkName(field, string(name)) || len(v.doc.DataCentres) == 0 {
		return
	}
	var known []string
	for _, dc := range v.doc.DataCentres {
		if dc.Name == name {
			return
		}
		known = append(known, string(dc.Name))
	}
	v.c.Suggest(field, tomlcheck.Nearest(string(name), known), "no data_centre is named %q", name)
}

func (v *validator) addr(field, addr string) {
	if err := CheckAddr(addr); err != nil {
		v.c.Add(field, "%s", err)
	}
}

// CheckAddr returns an error unless addr is an IP address and port. Host names
// are not accepted, so that connections to servers do not depend on a name
// service.
func CheckAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address and port such as 10.0.0.1:8080", addr)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%q has no port from 1 to 65535", addr)
	}
	return nil
}

// mergedDocument validates what can be checked only after the local overrides have
// been applied to the document.
func (v *validator) mergedDocument() {
	ids, addrs := definedNames{}, definedNames{}
	if len(v.doc.DataCentres) == 0 {
		v.c.Add("data_centre", "neither the document nor the environment's own part lists data centres")
	}
	for i := range v.doc.Services {
		s := &v.doc.Services[i]
		field := fmt.Sprintf("service[%d]", i)
		if len(s.Servers) == 0 {
			v.c.Add(field+".server", "service %q has no servers, neither in the document nor in the environment's own part", s.Name)
		}
		if s.Kind == topo.Keyed && len(s.Servers) > s.Slices {
			v.c.Add(field+".slices", "service %q has %d slices for %d servers", s.Name, s.Slices, len(s.Servers))
		}
		for j, server := range s.Servers {
			serverField := fmt.Sprintf("%s.server[%d]", field, j)
			v.checkUniqueName(serverField+".id", string(server.ID), ids)
			v.dataCentreRef(serverField+".data_centre", server.DataCentre)
			if other, ok := addrs[server.Addr]; ok {
				v.c.Add(serverField+".addr", "%s is already the address in %s", server.Addr, other)
			}
			addrs[server.Addr] = serverField
		}
	}
}
