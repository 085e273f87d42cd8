package slicemap

import (
	"sync/atomic"

	"godwitlock.example/godwitlock/topo"
)

// Limits of a table. DecodeDelta and Apply reject deltas that exceed them.
const (
	// MaxSlices is the maximum number of slices of one service.
	MaxSlices = 1 << 20
	// MaxServers is the maximum number of servers of one service. It follows
	// from the 2-byte owner index, of which one value is NoOwner.
	MaxServers = 1<<16 - 1
	// MaxHot is the maximum number of hot keys of one service. The hot key in
	// slot i has the slice number Slices+i.
	MaxHot = 256
	// MaxServices is the maximum number of services of a cell.
	MaxServices = 256
	// MaxString is the maximum length of a name, address or hot key in bytes.
	MaxString = 4096
)

// NoOwner is the server index of an entry without an owner or planned owner.
const NoOwner uint16 = 0xFFFF

// Version orders the routing tables of a cell by (term, sequence). The fencing
// token of an ownership is the version of the table in which it began, so
// versions and fences are comparable.
type Version = topo.Fence

// Phase is the ownership state of a slice or hot key.
type Phase uint8

// The phases of a slice or hot key.
const (
	// Unowned means that no server may run requests. Next is the planned owner.
	Unowned Phase = iota
	// Serving means that Owner accepts and runs requests.
	Serving
	// Draining means that Owner completes its running requests and accepts no
	// new ones. Next is the planned owner.
	Draining

	numPhases
)

// Entry records the ownership of one slice or hot key.
type Entry struct {
	// Fence is the table version in which the current ownership began.
	Fence topo.Fence
	// Owner and Next are indices of servers of the service, or NoOwner.
	Owner, Next uint16
	Phase       Phase
}

// ServerState says whether a server may get work.
type ServerState uint8

// The states of a server.
const (
	// ServerRemoved marks an index that is free for reuse.
	ServerRemoved ServerState = iota
	// ServerServing means that the server accepts new work.
	ServerServing
	// ServerDraining means that the server is being removed and gets no new
	// work.
	ServerDraining
	// ServerOutOfService means that the data centre of the server is out of
	// service.
	ServerOutOfService
	// ServerLost means that the home VM reported the server as lost.
	ServerLost

	numServerStates
)

// Server is the record of one backend server in the routing table. Its index in
// the service does not change while an entry refers to it.
type Server struct {
	ID         topo.ServerID
	Addr       string
	DataCentre topo.DataCentreName
	Slots      uint32
	MaxConns   uint32
	State      ServerState
	// ChecksGrants says that the server itself rejects requests and commands
	// that carry a lower fence than it has seen.
	ChecksGrants bool
	// Home is the only VM that dispatches to the server, or empty if there is
	// none. HomeAddr is the peer address of that VM.
	Home     topo.VMID
	HomeAddr string
	// Releasing asks the home VM to stop dispatching to the server and to report
	// when it has.
	Releasing bool
	// NoPriorLease says that no server lease of an earlier home VM remained
	// when Home was set.
	NoPriorLease bool
	// HomeSince is the version in which Home was last set, including to the
	// same VM.
	HomeSince Version
	// ReleasingSince is the version in which Releasing was last set or cleared.
	ReleasingSince Version
}

// Hot is a hot key, which has its own owner independent of its slice. An empty Key
// marks a free slot.
type Hot struct {
	Key string
	Entry
}

// chunkSize is the number of entries in a chunk, the unit of copy-on-write: a
// change of one entry copies 1,024 x 24 bytes.
const chunkSize = 1024

type chunk [chunkSize]Entry

// Service is the immutable routing state of one service in one table version.
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

// Slices returns the number of slices, which is 0 for a pooled service.
func (s *Service) Slices() uint32 { return s.slices }

// Servers returns the servers by index, including removed ones. The slice is
// shared and must not be modified.
func (s *Service) Servers() []Server { return s.servers }

// Hot returns the hot keys by slot, including free slots. The slice is shared and
// must not be modified.
func (s *Service) Hot() []Hot { return s.hot }

// ServerIndex returns the index of a server, or NoOwner and false if the service
// has no such server. Removed servers are ignored.
func (s *Service) ServerIndex(id topo.ServerID) (uint16, bool) {
	for i := range s.servers {
		if s.servers[i].ID == id && s.servers[i].State != ServerRemoved {
			return uint16(i), true
		}
	}
	return NoOwner, false
}

// HotSlice returns the slice number of a hot slot. Hot slots are numbered after the
// slices of the service.
func (s *Service) HotSlice(slot int) topo.SliceID { return topo.SliceID(s.slices) + topo.SliceID(slot) }

// Entry returns the entry of a slice or, for numbers of Slices and above, of a hot
// key. For a number out of range or a free hot slot it returns an unowned entry.
func (s *Service) Entry(id topo.SliceID) Entry {
	if uint32(id) < s.slices {
		return s.chunks[id/chunkSize][id%chunkSize]
	}
	if slot := int(id) - int(s.slices); slot < len(s.hot) && s.hot[slot].Key != "" {
		return s.hot[slot].Entry
	}
	return Entry{Owner: NoOwner, Next: NoOwner}
}

// Route is the result of looking up a key.
type Route struct {
	// Slice is the number of the slice or hot key.
	Slice topo.SliceID
	Entry
	// Server is the owner, or nil if there is none. It is shared and must not
	// be modified.
	Server *Server
}

// Lookup returns the route of a key without allocating memory. For a pooled
// service it returns a route without an owner.
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

// Table is an immutable snapshot of the routing state of a cell.
type Table struct {
	version  Version
	sum      uint64
	services map[topo.ServiceName]*Service
}

// Empty returns the table without services, which has the zero version.
func Empty() *Table { return &Table{services: map[topo.ServiceName]*Service{}} }

// Version returns the table's version.
func (t *Table) Version() Version { return t.version }

// Checksum returns the checksum of the routing state, which does not cover the
// version.
func (t *Table) Checksum() uint64 { return t.sum }

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name topo.ServiceName) *Service { return t.services[name] }

// Services returns the names of the services in sorted order.
func (t *Table) Services() []topo.ServiceName { return sortedNames(t.services) }

// Lookup returns the route of a key of a service, or false if the service is
// unknown.
func (t *Table) Lookup(name topo.ServiceName, key string) (Route, bool) {
	s := t.services[name]
	if s == nil {
		return Route{}, false
	}
	return s.Lookup(key), true
}

// Holder publishes the current table to lock-free readers. Calls that change the
// table must not run concurrently.
type Holder struct{ p atomic.Pointer[Table] }

// NewHolder returns a holder that publishes the empty table.
func NewHolder() *Holder {
	h := &Holder{}
	h.p.Store(Empty())
	return h
}

// Load returns the current table. It is safe for concurrent use.
func (h *Holder) Load() *Table { return h.p.Load() }

// Apply applies d to the current table and publishes the result. On an error,
// which is an *ApplyError, the current table stays published.
func (h *Holder) Apply(d *Delta) error {
	t, err := h.Load().Apply(d)
	if err == nil {
		h.p.Store(t)
	}
	return err
}

// Store publishes t. It returns an *ApplyError if t has a lower version than the
// current table.
func (h *Holder) Store(t *Table) error {
	if have := h.Load().version; t.version.Less(have) {
		return &ApplyError{Reason: Older, Have: have, To: t.version}
	}
	h.p.Store(t)
	return nil
}
