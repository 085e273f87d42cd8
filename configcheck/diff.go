package configcheck

import (
	"fmt"
	"reflect"
	"slices"

	"godwitlock.example/godwitlock/routemap"
)

// Change is a difference between the configuration in force and a new one.
type Change struct {
	Entry string `json:"entry"`
	// What is "added", "removed", or what changed.
	What string `json:"what"`
}

// Diff returns how a new configuration differs from the one in force: the entries that
// were removed or changed, in the order of the one in force, and then the added ones.
// Caller keys are counted, not shown.
func Diff(inForce, next routemap.Config) []Change {
	var out []Change
	if inForce.Limits != next.Limits {
		out = append(out, changedFields("limits", inForce.Limits, next.Limits)...)
	}
	if inForce.NeedsKeys() && !next.NeedsKeys() {
		out = append(out, Change{"customers", "without a list of customers, requests need no caller key any more"})
	}
	if !inForce.NeedsKeys() && next.NeedsKeys() {
		out = append(out, Change{"customers", "requests need a caller key"})
	}
	out = append(out, diffEntries(inForce.Routes, next.Routes, func(r routemap.Route) string { return routeEntry(r.Name) }, changedFields)...)
	out = append(out, diffEntries(inForce.Services, next.Services, func(s routemap.Service) string { return serviceEntry(s.Name) }, changedFields)...)
	return append(out, diffEntries(inForce.Customers, next.Customers, func(c routemap.Customer) string { return customerEntry(c.ID) }, changedCustomer)...)
}

// CheckVersion returns a finding if the store would reject the version of a new
// configuration, which must be above the one in force.
func CheckVersion(inForce, next routemap.Config) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{Error, "version", fmt.Sprintf("version %d is not above version %d, which is in force", next.Version, inForce.Version)}}
}

func diffEntries[T any](old, next []T, entry func(T) string, changed func(entry string, old, next any) []Change) []Change {
	var out []Change
	for _, o := range old {
		i := slices.IndexFunc(next, func(n T) bool { return entry(n) == entry(o) })
		if i < 0 {
			out = append(out, Change{entry(o), "removed"})
			continue
		}
		out = append(out, changed(entry(o), o, next[i])...)
	}
	for _, n := range next {
		if !slices.ContainsFunc(old, func(o T) bool { return entry(o) == entry(n) }) {
			out = append(out, Change{entry(n), "added"})
		}
	}
	return out
}

// changedFields returns the fields of a struct that differ.
func changedFields(entry string, old, next any) []Change {
	var out []Change
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if !reflect.DeepEqual(x, y) {
			out = append(out, Change{entry, fmt.Sprintf("%s: %s -> %s", a.Type().Field(i).Name, text(x), text(y))})
		}
	}
	return out
}

// text formats the value of a field; a missing optional one is "unset".
func text(v any) string {
	if rv := reflect.ValueOf(v); rv.Kind() == reflect.Pointer {
		if rv.IsNil() {
			return "unset"
		}
		v = rv.Elem().Interface()
	}
	return fmt.Sprintf("%+v", v)
}

// changedCustomer returns the fields of a customer that differ, and how many caller keys
// were added and withdrawn.
func changedCustomer(entry string, old, next any) []Change {
	a, b := old.(routemap.Customer), next.(routemap.Customer)
	withdrawn, added := missingFrom(b.Keys, a.Keys), missingFrom(a.Keys, b.Keys)
	a.Keys, b.Keys = nil, nil
	out := changedFields(entry, a, b)
	if withdrawn > 0 || added > 0 {
		out = append(out, Change{entry, fmt.Sprintf("caller keys: %d withdrawn, %d added", withdrawn, added)})
	}
	return out
}

// missingFrom counts the keys that are not in list.
func missingFrom(list, keys []string) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(list, k) {
			n++
		}
	}
	return n
}
