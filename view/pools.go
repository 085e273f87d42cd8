package view

import (
	"net/url"
	"slices"
	"strconv"
	"strings"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
)

const (
	// maxPoolSlots is the number of slots up to which the servers of a service
	// without keys share one pool. The home VM of a pool handles two calls per
	// request; the smallest VMs handle a few hundred per second beside the requests
	// of their own callers.
	maxPoolSlots = 64
	// partSlots is the number of slots that a part of a divided pool has about. It
	// is large enough that requests seldom wait in one part while slots are free in
	// another.
	partSlots = 24
)

// Prefixes of pool names.
const serverPoolPrefix, servicePoolPrefix = "server/", "service/"

// partSeparator separates the fields in the name of a part of a divided pool. The
// names in it are escaped, since they may contain it.
const partSeparator = "|"

// Pool is a group of servers whose slots are granted by one home VM.
type Pool struct {
	Name string
	// DataCentre is the data centre of the servers, empty if they are in several.
	DataCentre topo.DataCentreName
	Slots      int
}

// ServerPool returns the name of the pool of a server of a keyed service.
func ServerPool(id topo.ServerID) string { return serverPoolPrefix + string(id) }

// PoolsOf returns the pools of a service that is not keyed: one, or several in each
// data centre if the service has many slots.
func (s *Snapshot) PoolsOf(name topo.ServiceName) []Pool { return s.pools[name] }

// PoolDataCentre returns the data centre in which the home VM of a pool should be:
// that of its servers, where their answers arrive first. It is empty if they are in
// several, and for an unknown server.
func (s *Snapshot) PoolDataCentre(pool string) topo.DataCentreName {
	if id, ok := strings.CutPrefix(pool, serverPoolPrefix); ok {
		if srv := s.Servers[topo.ServerID(id)]; srv != nil {
			return srv.DataCentre
		}
		return ""
	}
	p, _ := parsePart(pool)
	return p.dataCentre
}

// PoolServers returns the usable servers whose slots belong to a pool. It knows the
// parts of a pool however many there are, since another VM may count the servers
// differently.
func (s *Snapshot) PoolServers(pool string) []*directory.Server {
	if id, ok := strings.CutPrefix(pool, serverPoolPrefix); ok {
		if srv := s.Usable(topo.ServerID(id)); srv != nil {
			return []*directory.Server{srv}
		}
		return nil
	}
	if name, ok := strings.CutPrefix(pool, canaryPoolPrefix); ok {
		return s.canaries[topo.ServiceName(name)]
	}
	p, ok := parsePart(pool)
	if !ok {
		return s.ServersOf(topo.ServiceName(strings.TrimPrefix(pool, servicePoolPrefix)))
	}
	var out []*directory.Server
	for _, srv := range s.ServersOf(p.service) {
		if p.has(srv) {
			out = append(out, srv)
		}
	}
	return out
}

// ServersOf returns the usable servers of a service, in the order of their ids, without
// those whose version is set aside by a roll-out.
// Callers must not change the list.
func (s *Snapshot) ServersOf(name topo.ServiceName) []*directory.Server { return s.usable[name] }

// part identifies one of the parts into which the pool of a service is divided in a
// data centre. A server belongs to a part by the hash of its id, so that it changes
// its part only with the number of parts.
type part struct {
	service    topo.ServiceName
	dataCentre topo.DataCentreName
	index, of  int
}

func (p part) has(srv *directory.Server) bool {
	return srv.DataCentre == p.dataCentre && partIndex(srv.ID, p.of) == p.index
}

// partIndex returns the index of the part to which a server belongs.
func partIndex(id topo.ServerID, of int) int { return int(hash("part", string(id)) % uint64(of)) }

func (p part) name() string {
	return servicePoolPrefix + strings.Join([]string{
		url.PathEscape(string(p.service)), url.PathEscape(string(p.dataCentre)), strconv.Itoa(p.index), strconv.Itoa(p.of),
	}, partSeparator)
}

func parsePart(pool string) (part, bool) {
	fields := strings.Split(strings.TrimPrefix(pool, servicePoolPrefix), partSeparator)
	if len(fields) != 4 {
		return part{}, false
	}
	service, err := url.PathUnescape(fields[0])
	dataCentre, err2 := url.PathUnescape(fields[1])
	index, err3 := strconv.Atoi(fields[2])
	of, err4 := strconv.Atoi(fields[3])
	if err != nil || err2 != nil || err3 != nil || err4 != nil || of < 1 {
		return part{}, false
	}
	return part{topo.ServiceName(service), topo.DataCentreName(dataCentre), index, of}, true
}

// dividePools returns the pools of a service that is not keyed, given its usable
// servers.
func dividePools(name topo.ServiceName, servers []*directory.Server) []Pool {
	total, byDataCentre := 0, make(map[topo.DataCentreName][]*directory.Server)
	for _, srv := range servers {
		total += srv.Slots
		byDataCentre[srv.DataCentre] = append(byDataCentre[srv.DataCentre], srv)
	}
	if total <= maxPoolSlots {
		return []Pool{{Name: servicePoolPrefix + string(name), Slots: total}}
	}
	var out []Pool
	for dc, list := range byDataCentre {
		out = append(out, divideDataCentre(name, dc, list)...)
	}
	slices.SortFunc(out, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func divideDataCentre(name topo.ServiceName, dc topo.DataCentreName, servers []*directory.Server) []Pool {
	slots := 0
	for _, srv := range servers {
		slots += srv.Slots
	}
	parts := max(1, (slots+partSlots/2)/partSlots)
	slotsOf := make(map[int]int)
	for _, srv := range servers {
		slotsOf[partIndex(srv.ID, parts)] += srv.Slots
	}
	out := make([]Pool, 0, len(slotsOf))
	for i, n := range slotsOf {
		if n > 0 {
			out = append(out, Pool{Name: part{name, dc, i, parts}.name(), DataCentre: dc, Slots: n})
		}
	}
	return out
}

// setPools divides the pools of the services that are not keyed.
func (s *Snapshot) setPools() {
	s.pools = make(map[topo.ServiceName][]Pool)
	if s.Routes == nil {
		return
	}
	s.Routes.Services(func(svc *routemap.Service) {
		if !svc.Keyed {
			s.pools[svc.Name] = dividePools(svc.Name, s.usable[svc.Name])
		}
	})
}
