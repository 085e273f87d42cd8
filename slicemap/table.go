package slicemap

import (
	"sync/atomic"

	"godwitlock.example/godwitlock/topo"
)

// Limits of a table. DecodeDelta and Apply refuse anything larger.
const (
	// MaxSlices is the greatest number of slices of one service.
	MaxSlices = 1 << 20
	// MaxServers is the greatest number of servers of one service, bounded by
	// the 2-byte owner index.
	MaxServers = 1<<16 - 1
	// MaxHot is the greatest number of hot keys of one service. A hot key in
	// slot i has the slice number Slices+i.
	MaxHot = 256
	// MaxServices is the greatest number of services of a cell.
	MaxServices = 256
	// MaxString bounds every name, address and hot key, in bytes.
	MaxString = 4096
)

// NoOwner is the owner index of an entry without an owner.
const NoOwner uint16 = 0xFFFF

// Version orders the routing tables of a cell by (term, sequence). A fence is
// the version of the table in which the ownership began, so versions and
// fences compare with one another.
type Version = topo.Fence

// Phase is the state of a slice or hot key.
type Phase uint8

// The phases of a slice or hot key.
const (
	// Unowned: no server may run requests; Next is the planned owner.
	Unowned Phase = iota
	// Serving: Owner runs requests.
	Serving
	// Draining: Owner finishes running requests and takes no new ones; Next is
	// the planned owner.
	Draining

	numPhases
)

// Entry is the ownership of one slice or hot key.
type Entry struct {
	// Fence is the version in which the present ownership began.
	Fence topo.Fence
	// Owner and Next are indexes into the service's servers, or NoOwner.
	Owner, Next uint16
	Phase       Phase
}

// ServerState tells how a server may be used.
type ServerState uint8

// The states of a server.
const (
	// ServerRemoved marks a free index.
	ServerRemoved ServerState = iota
	// ServerServing: the server takes work.
	ServerServing
	// ServerDraining: the server leaves, and gets no new work.
	ServerDraining
	// ServerOutOfService: its data centre is out of service.
	ServerOutOfService
	// ServerLost: its home VM reported it lost.
	ServerLost

	numServerStates
)

// Server is one backend server as the routing table records it. Its index in
// the service never changes while an entry refers to it.
type Server struct {
	ID         topo.ServerID
	Addr       string
	DataCentre topo.DataCentreName
	Slots      uint32
	MaxConns   uint32
	State      ServerState
	// ChecksGrants says that the server itself refuses requests and orders
	// with a lower fence.
	ChecksGrants bool
	// Home is the one VM that dispatches to the server, empty when there is
	// none, and HomeAddr its peer address.
	Home     topo.VMID
	HomeAddr string
	// LetGo asks the home VM to stop dispatching to the server and to report
	// that it let go.
	LetGo bool
	// NoPriorLease says that no server lease of an earlier home VM was left when
	// Home was set.
	NoPriorLease bool
	// HomeSince is the version in which Home was last set, even to the same VM.
	HomeSince Version
	// LetGoSince is the version in which LetGo was last set or cleared.
	LetGoSince Version
}

// Hot is a key with an owner of its own. An empty key marks a free slot.
type Hot struct {
	Key string
	Entry
}

// chunkSize is the number of entries that a table copies for one changed
// entry: 1,024 x 24 bytes.
const chunkSize = 1024

type chunk [chunkSize]Entry

// Service is the routing state of one service in one table. It is immutable.
type Service struct {
	name     topo.ServiceName
	kind     topo.ServiceKind
	slices   uint32
	seed     uint64
	servers  []Server
	chunks   []*chunk
	hot      []Hot
	hotIndex map[string]uint16
}

// Name returns the service's name.
func (s *Service) Name() topo.ServiceName { return s.name }

// Kind returns the service's kind.
func (s *Service) Kind() topo.ServiceKind { return s.kind }

// Slices returns the number of slices, 0 for a pooled service.
func (s *Service) Slices() uint32 { return s.slices }

// Servers returns the servers by index. The caller must not change them.
func (s *Service) Servers() []Server { return s.servers }

// Hot returns the hot keys by slot. The caller must not change them.
func (s *Service) Hot() []Hot { return s.hot }

// ServerIndex returns the index of a server.
func (s *Service) ServerIndex(id topo.ServerID) (uint16, bool) {
	for i := range s.servers {
		if s.servers[i].ID == id && s.servers[i].State != ServerRemoved {
			return uint16(i), true
		}
	}
	return NoOwner, false
}

// HotSlice returns the slice number of a hot slot.
func (s *Service) HotSlice(slot int) topo.SliceID { return topo.SliceID(s.slices) + topo.SliceID(slot) }

// Entry returns the entry of a slice or, from Slices on, of a hot key. It is
// the zero entry without an owner for a number out of range.
func (s *Service) Entry(id topo.SliceID) Entry {
	if uint32(id) < s.slices {
		return s.chunks[id/chunkSize][id%chunkSize]
	}
	if slot := int(id) - int(s.slices); slot < len(s.hot) && s.hot[slot].Key != "" {
		return s.hot[slot].Entry
	}
	return Entry{Owner: NoOwner, Next: NoOwner}
}

// Route is the result of a look-up.
type Route struct {
	// Slice is the number of the slice or hot key.
	Slice topo.SliceID
	Entry
	// Server is the owner, or nil. It is shared and must not be changed.
	Server *Server
}

// Lookup returns the route of a key. It doesn't allocate. The result of a
// pooled service is the zero route.
func (s *Service) Lookup(key string) Route {
	if s.slices == 0 {
		return Route{Entry: Entry{Owner: NoOwner, Next: NoOwner}}
	}
	if len(s.hotIndex) > 0 {
		if slot, ok := s.hotIndex[key]; ok {
			return s.route(s.HotSlice(int(slot)), s.hot[slot].Entry)
		}
	}
	id := SliceOf(Hash(key), s.slices)
	return s.route(id, s.chunks[id/chunkSize][id%chunkSize])
}

func (s *Service) route(id topo.SliceID, e Entry) Route {
	r := Route{Slice: id, Entry: e}
	if int(e.Owner) < len(s.servers) {
		r.Server = &s.servers[e.Owner]
	}
	return r
}

// Table is an immutable snapshot of a cell's routing state.
type Table struct {
	version  Version
	sum      uint64
	services map[topo.ServiceName]*Service
}

// Empty returns the table of version zero, without services.
func Empty() *Table { return &Table{services: map[topo.ServiceName]*Service{}} }

// Version returns the table's version.
func (t *Table) Version() Version { return t.version }

// Checksum returns the checksum of the state, without the version.
func (t *Table) Checksum() uint64 { return t.sum }

// Service returns a service, or nil.
func (t *Table) Service(name topo.ServiceName) *Service { return t.services[name] }

// Services returns the names of the services in order.
func (t *Table) Services() []topo.ServiceName { return sortedNames(t.services) }

// Lookup returns the route of a key of a service. It is false for an unknown
// service.
func (t *Table) Lookup(name topo.ServiceName, key string) (Route, bool) {
	s := t.services[name]
	if s == nil {
		return Route{}, false
	}
	return s.Lookup(key), true
}

// Holder publishes tables to readers without locks. There must be one writer
// at a time.
type Holder struct{ p atomic.Pointer[Table] }

// NewHolder returns a holder of the empty table.
func NewHolder() *Holder {
	h := &Holder{}
	h.p.Store(Empty())
	return h
}

// Load returns the present table.
func (h *Holder) Load() *Table { return h.p.Load() }

// Apply replaces the present table with the one that d leads to. On an error
// of type *ApplyError the table stays as it is.
func (h *Holder) Apply(d *Delta) error {
	t, err := h.Load().Apply(d)
	if err == nil {
		h.p.Store(t)
	}
	return err
}

// Store replaces the present table with t, which must not be older.
func (h *Holder) Store(t *Table) error {
	if have := h.Load().version; t.version.Less(have) {
		return &ApplyError{Reason: Older, Have: have, To: t.version}
	}
	h.p.Store(t)
	return nil
}
