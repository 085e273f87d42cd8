package view

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/topo"
)

// canaryPoolPrefix is the prefix of the names of pools of servers that get requests of a
// roll-out.
const canaryPoolPrefix = "canary/"

// CanaryPool returns the name of the pool of the servers of a service that get requests
// with a right to use the target of a roll-out.
func CanaryPool(name topo.ServiceName) string { return canaryPoolPrefix + string(name) }

// versions says which versions of services are used. The mutex of the View guards it.
type versions struct {
	limits map[topo.ServiceName]rollout.Limit
	// newFor is how long a version that was not known before is not used if the service
	// has servers of others; 0 disables that.
	newFor time.Duration
	// usedFrom holds when each known version of a service may be used.
	usedFrom map[topo.ServiceName]map[string]time.Time
	// changes counts the changes of what is used.
	changes uint64
	// next is when the next version may be used, zero if there is none.
	next time.Time
}

// maxVersions bounds the versions that are known of a service. Those without a server
// are forgotten first.
const maxVersions = 64

// HoldNewVersions makes the view leave out a version of a service's servers that was not
// known before for the time d, if the service has other servers: an order to roll it
// out may arrive after its servers.
func (v *View) HoldNewVersions(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.versions.newFor = d
}

// SetLimits replaces the limits on versions by those that are in force at now.
func (v *View) SetLimits(now time.Time, limits map[topo.ServiceName]rollout.Limit) {
	v.mu.Lock()
	defer v.mu.Unlock()
	due := !v.versions.next.IsZero() && !now.Before(v.versions.next)
	if !due && (len(limits) == 0 && len(v.versions.limits) == 0 || reflect.DeepEqual(limits, v.versions.limits)) {
		return
	}
	v.versions.limits = limits
	v.versions.changes++
	v.dirty = true
	v.publish()
}

// asideVersions holds the versions of each service that are not used like others.
type asideVersions struct {
	limits map[topo.ServiceName]rollout.Limit
	held   map[topo.ServiceName]map[string]bool
}

// has reports whether a server's version is set aside.
func (a asideVersions) has(s *directory.Server) bool {
	if a.held[s.Service][s.Version] {
		return true
	}
	l, limited := a.limits[s.Service]
	return limited && (slices.Contains(l.Barred, s.Version) || l.Target != "" && (s.Version == l.Target) != l.Whole)
}

// Canaries returns the servers of a service that get requests with a right to use the
// target of a roll-out.
func (s *Snapshot) Canaries(name topo.ServiceName) []topo.ServerID {
	out := make([]topo.ServerID, 0, len(s.canaries[name]))
	for _, srv := range s.canaries[name] {
		out = append(out, srv.ID)
	}
	return out
}

// canaries returns the servers that get requests with a right.
func (a asideVersions) canaries(snap *Snapshot) map[topo.ServiceName][]*directory.Server {
	var out map[topo.ServiceName][]*directory.Server
	for service, l := range a.limits {
		if l.Whole || l.Share <= 0 || l.Target == "" || a.held[service][l.Target] {
			continue
		}
		var list []*directory.Server
		for id, s := range snap.Servers {
			if s.Service == service && s.Version == l.Target && !snap.Unusable[id] {
				list = append(list, s)
			}
		}
		slices.SortFunc(list, func(x, y *directory.Server) int {
			return cmp.Or(cmp.Compare(hash("canary", string(x.ID)), hash("canary", string(y.ID))), cmp.Compare(x.ID, y.ID))
		})
		if out == nil {
			out = make(map[topo.ServiceName][]*directory.Server)
		}
		out[service] = list[:rollout.Canaries(len(list), l.Share)]
	}
	return out
}

// aside returns the versions of the usable servers of a directory that are not used like
// others.
func (v *versions) aside(dir *directory.Directory) asideVersions {
	out := asideVersions{limits: v.limits}
	v.next = time.Time{}
	if v.newFor <= 0 {
		return out
	}
	now := clock.Boot()
	present := make(map[topo.ServiceName]map[string]bool)
	dir.Servers(func(s *directory.Server) {
		if !dir.Usable(s) {
			return
		}
		if present[s.Service] == nil {
			present[s.Service] = make(map[string]bool)
		}
		present[s.Service][s.Version] = true
	})
	for service, list := range present {
		if held := v.heldVersions(now, service, list); len(held) > 0 {
			if out.held == nil {
				out.held = make(map[topo.ServiceName]map[string]bool)
			}
			out.held[service] = held
		}
	}
	return out
}

// heldVersions returns the versions of a service's usable servers that are too new.
func (v *versions) heldVersions(now time.Time, service topo.ServiceName, present map[string]bool) map[string]bool {
	known := v.usedFrom[service]
	first := known == nil
	if first {
		if v.usedFrom == nil {
			v.usedFrom = make(map[topo.ServiceName]map[string]time.Time)
		}
		known = make(map[string]time.Time)
		v.usedFrom[service] = known
	}
	held := make(map[string]bool)
	for version := range present {
		from, ok := known[version]
		if !ok && !first {
			from = now.Add(v.newFor)
		}
		known[version] = from
		if now.Before(from) {
			held[version] = true
		}
	}
	for version := range known {
		if len(known) > maxVersions && !present[version] {
			delete(known, version)
		}
	}
	if len(held) == len(present) {
		// The service has no other servers.
		return nil
	}
	for version := range held {
		if from := known[version]; v.next.IsZero() || from.Before(v.next) {
			v.next = from
		}
	}
	return held
}
