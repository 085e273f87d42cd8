package config

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/topo"
)

// Change describes the change of one element of the configuration.
type Change struct {
	// Action is Added, Removed or Changed.
	Action string `json:"action"`
	// Name identifies the element, for example by a server's id or by a route's
	// method and path.
	Name string `json:"name"`
	// Details lists the changed fields as "field: old -> new", and the fields of
	// an added element as "field: value".
	Details []string `json:"details,omitempty"`
}

// The actions of a Change.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// SliceMove is an estimate of the slices of a keyed service that get another
// owner.
type SliceMove struct {
	Service topo.ServiceName `json:"service"`
	// Lost and Gained are the numbers of servers that stop accepting new work
	// and that start accepting it.
	Lost   int `json:"lost"`
	Gained int `json:"gained"`
	// Slices is the number of slices that get another owner, and Share is their
	// share of all slices, from 0 to 1. Both assume that slices are spread
	// evenly over the servers and that no slice moves without need.
	Slices int     `json:"slices"`
	Share  float64 `json:"share"`
}

// Changes lists the differences between two configurations by kind of element.
type Changes struct {
	Limits      []Change    `json:"limits,omitempty"`
	Services    []Change    `json:"services,omitempty"`
	Servers     []Change    `json:"servers,omitempty"`
	Routes      []Change    `json:"routes,omitempty"`
	Rates       []Change    `json:"rates,omitempty"`
	Customers   []Change    `json:"customers,omitempty"`
	CallerKeys  []Change    `json:"caller_keys,omitempty"`
	DataCentres []Change    `json:"data_centres,omitempty"`
	Moves       []SliceMove `json:"moves,omitempty"`
}

// Diff returns the changes that lead from the old view to the new one.
func Diff(old, new *View) *Changes {
	return &Changes{
		Limits:      diffLimits(old.Limits(), new.Limits()),
		Services:    diffMaps(old.services, new.services, describeService),
		Servers:     diffMaps(serverStates(old), serverStates(new), describeServer),
		Routes:      diffMaps(routesByName(old), routesByName(new), describeRoute),
		Rates:       diffRates(old, new),
		Customers:   diffMaps(old.customers, new.customers, describeCustomer),
		CallerKeys:  diffMaps(keyStates(old), keyStates(new), describeKey),
		DataCentres: diffMaps(dataCentreStates(old), dataCentreStates(new), describeDataCentre),
		Moves:       estimateMoves(old, new),
	}
}

// Empty reports whether there are no changes.
func (c *Changes) Empty() bool { return c.String() == "" }

// String returns the changes as text for operators, one line per change, in a
// fixed order.
func (c *Changes) String() string {
	var b strings.Builder
	for _, section := range []struct {
		name    string
		changes []Change
	}{
		{"limits", c.Limits}, {"service", c.Services}, {"server", c.Servers}, {"route", c.Routes}, {"rate of customer", c.Rates},
		{"customer", c.Customers}, {"caller key", c.CallerKeys}, {"data centre", c.DataCentres},
	} {
		for _, ch := range section.changes {
			fmt.Fprintf(&b, "%s %s %s", section.name, ch.Name, ch.Action)
			if len(ch.Details) > 0 {
				b.WriteString(": " + strings.Join(ch.Details, ", "))
			}
			b.WriteByte('\n')
		}
	}
	for _, m := range c.Moves {
		fmt.Fprintf(&b, "service %s: %d servers stop and %d begin to take work, about %d slices move (%.1f%%)\n", m.Service, m.Lost, m.Gained, m.Slices, 100*m.Share)
	}
	return b.String()
}

// field is a named property of an element, to be compared and printed.
type field struct {
	name  string
	value any
}

// diffMaps compares the elements of two maps by key. The function describe
// returns the fields to compare; their number and order must not vary.
func diffMaps[K cmp.Ordered, V any](old, new map[K]V, describe func(V) []field) []Change {
	var changes []Change
	keys := maps.Clone(old)
	if keys == nil {
		keys = map[K]V{}
	}
	maps.Copy(keys, new)
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		o, inOld := old[k]
		n, inNew := new[k]
		name := fmt.Sprint(k)
		switch {
		case !inOld:
			changes = append(changes, Change{Action: Added, Name: name, Details: formatFields(describe(n))})
		case !inNew:
			changes = append(changes, Change{Action: Removed, Name: name})
		default:
			if details := changedFields(describe(o), describe(n)); len(details) > 0 {
				changes = append(changes, Change{Action: Changed, Name: name, Details: details})
			}
		}
	}
	return changes
}

func formatFields(fields []field) []string {
	var out []string
	for _, f := range fields {
		out = append(out, fmt.Sprintf("%s: %v", f.name, f.value))
	}
	return out
}

func changedFields(old, new []field) []string {
	var out []string
	for i := range old {
		if !reflect.DeepEqual(old[i].value, new[i].value) {
			out = append(out, fmt.Sprintf("%s: %v -> %v", old[i].name, old[i].value, new[i].value))
		}
	}
	return out
}

// tomlFields returns the fields of a struct that have a TOML name, except those
// named in skip.
func tomlFields(v any, skip ...string) []field {
	var out []field
	rv := reflect.ValueOf(v)
	for i := range rv.NumField() {
		if tag := rv.Type().Field(i).Tag.Get("toml"); tag != "" && tag != "-" && !slices.Contains(skip, tag) {
			out = append(out, field{tag, rv.Field(i).Interface()})
		}
	}
	return out
}

func diffLimits(old, new Limits) []Change {
	if details := changedFields(tomlFields(old), tomlFields(new)); len(details) > 0 {
		return []Change{{Action: Changed, Name: "per VM", Details: details}}
	}
	return nil
}

func describeService(s *Service) []field { return tomlFields(*s, "name", "server") }

// serverState is a server together with whether it is draining.
type serverState struct {
	topo.BackendServer
	draining bool
}

func serverStates(v *View) map[topo.ServerID]serverState {
	out := map[topo.ServerID]serverState{}
	for id, s := range v.servers {
		out[id] = serverState{*s, v.draining[id] != nil}
	}
	return out
}

func describeServer(s serverState) []field {
	return append(tomlFields(s.BackendServer, "id"), field{"service", s.Service}, field{"draining", s.draining})
}

func routesByName(v *View) map[string]Route {
	out := map[string]Route{}
	for _, r := range v.doc.Routes {
		for _, m := range r.Methods {
			out[m+" "+r.Path] = r
		}
	}
	return out
}

func describeRoute(r Route) []field { return tomlFields(r, "path", "methods") }

func diffRates(old, new *View) []Change {
	var changes []Change
	for _, ch := range diffMaps(old.customers, new.customers, describeRate) {
		if ch.Action == Changed {
			changes = append(changes, ch)
		}
	}
	return changes
}

func describeRate(c *Customer) []field {
	return []field{{"rate", c.Rate}, {"burst", c.Burst}, {"weight", c.Weight}}
}

func describeCustomer(c *Customer) []field {
	allowed := slices.Sorted(slices.Values(c.Services))
	return []field{{"services", fmt.Sprint(allowed)}}
}

// keyState is a caller key together with its customer.
type keyState struct {
	customer topo.CustomerID
	callerkey.Record
}

func keyStates(v *View) map[string]keyState {
	out := map[string]keyState{}
	for id, c := range v.customers {
		for _, k := range c.Keys {
			out[k.ID.String()] = keyState{id, k}
		}
	}
	return out
}

func describeKey(k keyState) []field {
	return []field{
		{"customer", k.customer}, {"withdrawn", !k.Withdrawn.IsZero()},
		{"not_before", formatTime(k.NotBefore)}, {"not_after", formatTime(k.NotAfter)},
	}
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "none"
	}
	return t.UTC().Format(time.RFC3339)
}

// dataCentreStates returns for each data centre whether it is in service.
func dataCentreStates(v *View) map[topo.DataCentreName]bool {
	out := map[topo.DataCentreName]bool{}
	for _, dc := range v.doc.DataCentres {
		out[dc.Name] = v.DataCentreInService(dc.Name)
	}
	return out
}

func describeDataCentre(inService bool) []field { return []field{{"in service", inService}} }

// estimateMoves estimates for each keyed service how many slices get another
// owner. It leaves out new services and services without moves.
func estimateMoves(old, new *View) []SliceMove {
	var out []SliceMove
	for _, name := range slices.Sorted(maps.Keys(new.services)) {
		n, o := new.services[name], old.services[name]
		if n.Kind != topo.Keyed || o == nil {
			continue
		}
		m := estimateMove(name, serversAcceptingWork(old, o), serversAcceptingWork(new, n))
		if o.Kind != topo.Keyed || o.Slices != n.Slices {
			// With another number of slices, every key may get another owner.
			m.Share = 1
		}
		if m.Slices = int(m.Share*float64(n.Slices) + 0.5); m.Slices > 0 {
			out = append(out, m)
		}
	}
	return out
}

// serversAcceptingWork returns the servers of a service that accept new work.
func serversAcceptingWork(v *View, s *Service) map[topo.ServerID]bool {
	out := map[topo.ServerID]bool{}
	for i := range s.Servers {
		if id := s.Servers[i].ID; v.AcceptsNewWork(id) {
			out[id] = true
		}
	}
	return out
}

// estimateMove counts the lost and gained servers and sets Share. All slices of
// the lost servers move, and the gained servers receive an even share. The same
// move can do both, so Share is the larger of the two shares.
func estimateMove(name topo.ServiceName, old, new map[topo.ServerID]bool) SliceMove {
	m := SliceMove{Service: name}
	for id := range old {
		if !new[id] {
			m.Lost++
		}
	}
	for id := range new {
		if !old[id] {
			m.Gained++
		}
	}
	if len(old) > 0 {
		m.Share = float64(m.Lost) / float64(len(old))
	}
	if len(new) > 0 {
		m.Share = max(m.Share, float64(m.Gained)/float64(len(new)))
	}
	return m
}
