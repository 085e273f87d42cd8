package slicemap

import (
	"fmt"
	"maps"
	"slices"

	"godwitlock.example/godwitlock/topo"
)

// Delta holds the changes from one version of a table to a later one. A delta from
// the zero version is a full copy.
type Delta struct {
	From, To Version
	// Sum is the checksum of the table after the delta.
	Sum uint64
	// Removed lists the services that were removed.
	Removed []topo.ServiceName
	// Services lists the added and changed services, sorted by name.
	Services []ServiceDelta
}

// Full reports whether the delta is a full copy.
func (d *Delta) Full() bool { return d.From == Version{} }

// ServiceDelta holds the changes of one service. Each list is sorted by index, slice
// or slot.
type ServiceDelta struct {
	Name    topo.ServiceName
	Kind    topo.ServiceKind
	Slices  uint32
	Servers []ServerChange
	Entries []EntryChange
	Hot     []HotChange
}

// ServerChange sets the server at an index.
type ServerChange struct {
	Index uint16
	Server
}

// EntryChange sets the entry of one slice.
type EntryChange struct {
	Slice topo.SliceID
	Entry
}

// HotChange sets a hot slot. An empty key frees it.
type HotChange struct {
	Slot uint16
	Hot
}

// Reason says why a delta or table was rejected.
type Reason uint8

// The reasons for rejecting a delta.
const (
	// Gap means that the delta does not start from the version of the table.
	// A full copy is needed.
	Gap Reason = iota + 1
	// Older means that the delta leads to a version that is not higher than
	// that of the table.
	Older
	// Diverged means that the table would have a checksum other than Sum after
	// the delta. A full copy is needed.
	Diverged
	// Invalid means that the delta exceeds a limit, refers to an index that
	// does not exist or contradicts the table.
	Invalid
)

// String returns the name of the reason in lower case.
func (r Reason) String() string {
	switch r {
	case Gap:
		return "gap"
	case Older:
		return "older"
	case Diverged:
		return "diverged"
	case Invalid:
		return "invalid"
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

// ApplyError is the error for a delta or table that was rejected. Have is the version
// of the current table; Detail explains the reason Invalid.
type ApplyError struct {
	Reason         Reason
	Have, From, To Version
	Detail         string
}

// Error returns a message with the versions, the reason and the detail.
func (e *ApplyError) Error() string {
	s := fmt.Sprintf("table delta from version %s to %s rejected at version %s: %s", e.From, e.To, e.Have, e.Reason)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	return s
}

// Apply returns the table that results from applying d to t, or an *ApplyError. It
// does not modify t. A full copy can be applied to every lower version.
func (t *Table) Apply(d *Delta) (*Table, error) {
	fail := func(r Reason, detail string) error {
		return &ApplyError{Reason: r, Have: t.version, From: d.From, To: d.To, Detail: detail}
	}
	if !t.version.Less(d.To) {
		return nil, fail(Older, "")
	}
	base := t
	if d.Full() {
		base = Empty()
	} else if d.From != t.version {
		return nil, fail(Gap, "")
	}
	if err := d.validate(base); err != nil {
		return nil, fail(Invalid, err.Error())
	}
	b := NewBuilder(base)
	for _, name := range d.Removed {
		b.RemoveService(name)
	}
	for i := range d.Services {
		b.applyService(&d.Services[i])
	}
	if b.sum != d.Sum {
		return nil, fail(Diverged, "")
	}
	next, _ := b.Build(d.To)
	return next, nil
}

func (b *Builder) applyService(s *ServiceDelta) {
	b.AddService(s.Name, s.Kind, s.Slices)
	for _, c := range s.Servers {
		b.SetServer(s.Name, c.Index, c.Server)
	}
	for _, c := range s.Entries {
		b.SetEntry(s.Name, c.Slice, c.Entry)
	}
	for _, c := range s.Hot {
		b.SetHot(s.Name, int(c.Slot), c.Hot)
	}
}

// validate checks all counts, indices and states in d against base, so that applying
// d can't fail.
func (d *Delta) validate(base *Table) error {
	if len(d.Services) > MaxServices || len(d.Removed) > MaxServices {
		return fmt.Errorf("more than %d services", MaxServices)
	}
	for i := range d.Services {
		s := &d.Services[i]
		if err := s.validate(base.services[s.Name], slices.Contains(d.Removed, s.Name)); err != nil {
			return fmt.Errorf("service %q: %w", s.Name, err)
		}
	}
	return nil
}

func (s *ServiceDelta) validate(current *Service, removed bool) error {
	servers := 0
	if current != nil && !removed {
		if current.slices != s.Slices || current.kind != s.Kind {
			return fmt.Errorf("kind %s with %d slices differs from the service in the table", s.Kind, s.Slices)
		}
		servers = len(current.servers)
	}
	if err := s.Kind.Validate(); err != nil {
		return err
	}
	if s.Slices > MaxSlices {
		return fmt.Errorf("%d slices exceed the limit of %d", s.Slices, MaxSlices)
	}
	for _, c := range s.Servers {
		switch {
		case int(c.Index) > servers || c.Index == NoOwner:
			return fmt.Errorf("server index %d is not contiguous", c.Index)
		case c.State >= numServerStates:
			return fmt.Errorf("unknown server state %d", c.State)
		}
		servers = max(servers, int(c.Index)+1)
	}
	for _, c := range s.Entries {
		if uint32(c.Slice) >= s.Slices {
			return fmt.Errorf("slice %d out of range for %d slices", c.Slice, s.Slices)
		}
		if err := c.validate(servers); err != nil {
			return err
		}
	}
	for _, c := range s.Hot {
		if c.Slot >= MaxHot {
			return fmt.Errorf("hot slot %d out of range", c.Slot)
		}
		if err := c.validate(servers); err != nil {
			return err
		}
	}
	return nil
}

func (e Entry) validate(servers int) error {
	for _, i := range []uint16{e.Owner, e.Next} {
		if i != NoOwner && int(i) >= servers {
			return fmt.Errorf("owner index %d out of range for %d servers", i, servers)
		}
	}
	if e.Phase >= numPhases {
		return fmt.Errorf("unknown phase %d", e.Phase)
	}
	if (e.Phase == Unowned) != (e.Owner == NoOwner) {
		return fmt.Errorf("phase %d is inconsistent with owner index %d", e.Phase, e.Owner)
	}
	return nil
}

// FullCopy returns the delta from the zero version to t, which recreates all of t.
func (t *Table) FullCopy() *Delta {
	d := &Delta{To: t.version, Sum: t.sum}
	for _, name := range t.Services() {
		s := t.services[name]
		sd := ServiceDelta{Name: name, Kind: s.kind, Slices: s.slices}
		for i, srv := range s.servers {
			sd.Servers = append(sd.Servers, ServerChange{uint16(i), srv})
		}
		sd.Entries = make([]EntryChange, s.slices)
		for i := range sd.Entries {
			id := topo.SliceID(i)
			sd.Entries[i] = EntryChange{id, s.Entry(id)}
		}
		for i, h := range s.hot {
			if h.Key != "" {
				sd.Hot = append(sd.Hot, HotChange{uint16(i), h})
			}
		}
		d.Services = append(d.Services, sd)
	}
	return d
}

func sortedNames[V any](m map[topo.ServiceName]V) []topo.ServiceName {
	return slices.Sorted(maps.Keys(m))
}
