package slicemap

import (
	"cmp"
	"maps"
	"slices"

	"godwitlock.example/godwitlock/topo"
)

// Builder derives a new table from a base table and records the changes as a delta.
// It copies only the parts that change. Its methods ignore unknown services;
// indices must be valid.
type Builder struct {
	base     *Table
	sum      uint64
	services map[topo.ServiceName]*draft
	removed  []topo.ServiceName
}

// draft is a modifiable copy of a service. chunkCopied marks the chunks that were
// copied from the base and may be modified; servers, entries and hotSlots hold the
// indices of changed items.
type draft struct {
	*Service
	chunkCopied []bool
	servers     map[uint16]bool
	entries     map[topo.SliceID]bool
	hotSlots    map[uint16]bool
}

// NewBuilder returns a builder that starts from base. It does not modify base.
func NewBuilder(base *Table) *Builder {
	return &Builder{base: base, sum: base.sum, services: map[topo.ServiceName]*draft{}}
}

// Changed reports whether any service was added, changed or removed.
func (b *Builder) Changed() bool { return len(b.services) > 0 || len(b.removed) > 0 }

// draft returns the draft of a service and creates it on first use. It returns nil
// if the service is unknown or removed.
func (b *Builder) draft(name topo.ServiceName) *draft {
	if d := b.services[name]; d != nil {
		return d
	}
	s := b.base.services[name]
	if s == nil || slices.Contains(b.removed, name) {
		return nil
	}
	copied := *s
	copied.servers = slices.Clone(s.servers)
	copied.chunks = slices.Clone(s.chunks)
	copied.hot = slices.Clone(s.hot)
	return b.addDraft(&copied)
}

func (b *Builder) addDraft(s *Service) *draft {
	d := &draft{Service: s, chunkCopied: make([]bool, len(s.chunks)), servers: map[uint16]bool{},
		entries: map[topo.SliceID]bool{}, hotSlots: map[uint16]bool{}}
	b.services[s.name] = d
	return d
}

// AddService adds a service with n unowned slices and no servers. It does nothing if
// the service already exists.
func (b *Builder) AddService(name topo.ServiceName, kind topo.ServiceKind, n uint32) {
	if b.draft(name) != nil {
		return
	}
	s := &Service{name: name, kind: kind, slices: n, seed: Hash(string(name))}
	s.chunks = make([]*chunk, (n+chunkSize-1)/chunkSize)
	blank := &chunk{}
	for i := range blank {
		blank[i] = Entry{Owner: NoOwner, Next: NoOwner}
	}
	for i := range s.chunks {
		s.chunks[i] = blank
	}
	b.addDraft(s)
	b.sum += s.headerSum()
}

// RemoveService removes a service with all its servers and slices.
func (b *Builder) RemoveService(name topo.ServiceName) {
	if d := b.draft(name); d != nil {
		b.sum -= d.fullSum()
		delete(b.services, name)
		if b.base.services[name] != nil {
			b.removed = append(b.removed, name)
		}
	}
}

// SetServer sets the server at index i. An index equal to the number of servers
// appends one; higher indices are not allowed.
func (b *Builder) SetServer(name topo.ServiceName, i uint16, srv Server) {
	d := b.draft(name)
	if d == nil {
		return
	}
	if int(i) == len(d.Service.servers) {
		d.Service.servers = append(d.Service.servers, srv)
	} else {
		b.sum -= d.serverSum(int(i))
		d.Service.servers[i] = srv
	}
	b.sum += d.serverSum(int(i))
	d.servers[i] = true
}

// SetEntry sets the entry of a slice or, for numbers of Slices and above, of a hot
// key.
func (b *Builder) SetEntry(name topo.ServiceName, id topo.SliceID, e Entry) {
	d := b.draft(name)
	if d == nil {
		return
	}
	if uint32(id) >= d.slices {
		slot := int(id) - int(d.slices)
		b.SetHot(name, slot, Hot{d.hot[slot].Key, e})
		return
	}
	c := id / chunkSize
	if !d.chunkCopied[c] {
		copied := *d.chunks[c]
		d.chunks[c], d.chunkCopied[c] = &copied, true
	}
	b.sum -= d.entrySum(id)
	d.chunks[c][id%chunkSize] = e
	b.sum += d.entrySum(id)
	d.entries[id] = true
}

// SetHot sets a hot slot, which must be below MaxHot. An empty key frees the slot.
func (b *Builder) SetHot(name topo.ServiceName, slot int, h Hot) {
	d := b.draft(name)
	if d == nil {
		return
	}
	for len(d.hot) <= slot {
		d.hot = append(d.hot, Hot{Entry: Entry{Owner: NoOwner, Next: NoOwner}})
	}
	if h.Key == "" {
		h.Entry = Entry{Owner: NoOwner, Next: NoOwner}
	}
	b.sum -= d.hotSum(slot)
	d.hot[slot] = h
	b.sum += d.hotSum(slot)
	d.hotSlots[uint16(slot)] = true
}

// Entry returns the entry with the changes so far. It is unowned if the service is
// unknown or id is out of range.
func (b *Builder) Entry(name topo.ServiceName, id topo.SliceID) Entry {
	if s := b.Service(name); s != nil {
		return s.Entry(id)
	}
	return Entry{Owner: NoOwner, Next: NoOwner}
}

// Service returns the service with the changes so far, or nil if it is unknown.
// Later calls of the builder may modify the result.
func (b *Builder) Service(name topo.ServiceName) *Service {
	if d := b.services[name]; d != nil {
		return d.Service
	}
	if slices.Contains(b.removed, name) {
		return nil
	}
	return b.base.services[name]
}

// Build returns the new table and the delta from the base to it. Its version v must
// be higher than that of the base. The builder must not be used afterwards.
func (b *Builder) Build(v Version) (*Table, *Delta) {
	t := &Table{version: v, sum: b.sum, services: maps.Clone(b.base.services)}
	d := &Delta{From: b.base.version, To: v, Sum: b.sum, Removed: b.removed}
	for _, name := range b.removed {
		delete(t.services, name)
	}
	for _, name := range sortedNames(b.services) {
		s := b.services[name]
		if len(s.hotSlots) > 0 {
			s.indexHot()
		}
		t.services[name] = s.Service
		d.Services = append(d.Services, s.delta())
	}
	return t, d
}

func (d *draft) indexHot() {
	d.hotIndex = map[string]uint16{}
	for i, h := range d.hot {
		if h.Key != "" {
			d.hotIndex[h.Key] = uint16(i)
		}
	}
}

func (d *draft) delta() ServiceDelta {
	sd := ServiceDelta{Name: d.name, Kind: d.kind, Slices: d.slices}
	for _, i := range sortedKeys(d.servers) {
		sd.Servers = append(sd.Servers, ServerChange{i, d.Service.servers[i]})
	}
	for _, id := range sortedKeys(d.entries) {
		sd.Entries = append(sd.Entries, EntryChange{id, d.Entry(id)})
	}
	for _, i := range sortedKeys(d.hotSlots) {
		sd.Hot = append(sd.Hot, HotChange{i, d.hot[i]})
	}
	return sd
}

func sortedKeys[K cmp.Ordered](m map[K]bool) []K { return slices.Sorted(maps.Keys(m)) }
