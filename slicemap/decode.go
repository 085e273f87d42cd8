package slicemap

import "godwitlock.example/godwitlock/topo"

// Minimum encoded sizes in bytes. They bound the memory that a short message can make
// the decoder allocate.
const (
	minServerBytes = 14
	minEntryBytes  = 1
	minHotBytes    = 3
)

func (r *reader) service() ServiceDelta {
	s := ServiceDelta{Name: topo.ServiceName(r.string()), Kind: topo.ServiceKind(r.string())}
	s.Slices = uint32(r.uvarint("number of slices", MaxSlices))
	for n := r.count("servers", MaxServers, minServerBytes); n > 0 && r.err == nil; n-- {
		s.Servers = append(s.Servers, r.server())
	}
	var fence topo.Fence
	n := r.count("entries", MaxSlices, minEntryBytes)
	if n > 0 {
		s.Entries = make([]EntryChange, 0, n)
	}
	for next := uint64(0); len(s.Entries) < n && r.err == nil; {
		next = r.run(&s, next, n, &fence)
	}
	for n := r.count("hot keys", MaxHot, minHotBytes); n > 0 && r.err == nil; n-- {
		c := HotChange{Slot: uint16(r.uvarint("hot slot", MaxHot-1))}
		c.Key = r.string()
		c.Entry = r.entry(&fence)
		s.Hot = append(s.Hot, c)
	}
	return s
}

// run decodes one run of consecutive slices into s, whose position is encoded as the
// distance from next, and returns the number of the slice after the run.
func (r *reader) run(s *ServiceDelta, next uint64, total int, fence *topo.Fence) uint64 {
	next += r.uvarint("slice", MaxSlices)
	length := r.uvarint("run length", uint64(total-len(s.Entries)))
	if r.err == nil && (length == 0 || next+length > uint64(s.Slices)) {
		r.fail("run of %d slices from slice %d is empty or exceeds the %d slices of the service", length, next, s.Slices)
	}
	for ; length > 0 && r.err == nil; length-- {
		s.Entries = append(s.Entries, EntryChange{topo.SliceID(next), r.entry(fence)})
		next++
	}
	return next
}

func (r *reader) server() ServerChange {
	c := ServerChange{Index: uint16(r.uvarint("server index", MaxServers-1))}
	c.ID = topo.ServerID(r.string())
	c.Addr = r.string()
	c.DataCentre = topo.DataCentreName(r.string())
	c.Home = topo.VMID(r.string())
	c.HomeAddr = r.string()
	c.Slots = uint32(r.uvarint("number of slots", 1<<31))
	c.MaxConns = uint32(r.uvarint("maximum number of connections", 1<<31))
	c.State = ServerState(r.byte())
	flags := r.byte()
	if c.State >= numServerStates || flags > 7 {
		r.fail("unknown server state %d or flags %d", c.State, flags)
	}
	c.ChecksGrants, c.Releasing, c.NoPriorLease = flags&1 != 0, flags&2 != 0, flags&4 != 0
	c.HomeSince, c.ReleasingSince = r.version(), r.version()
	return c
}

func (r *reader) entry(prev *topo.Fence) Entry {
	flags := r.byte()
	e := Entry{Owner: NoOwner, Next: NoOwner, Phase: Phase(flags & 3)}
	if e.Phase >= numPhases || flags > 15 {
		r.fail("unknown entry flags %d", flags)
	}
	if e.Phase != Unowned {
		e.Owner = uint16(r.uvarint("owner", MaxServers-1))
	}
	if flags&flagNext != 0 {
		e.Next = uint16(r.uvarint("next owner", MaxServers-1))
	}
	if flags&flagSameFence == 0 {
		*prev = r.version()
	}
	e.Fence = *prev
	return e
}
