package slicemap

import (
	"fmt"
	"maps"
	"slices"

	"godwitlock.example/godwitlock/topo"
)

// Delta leads from one version of a table to a later one. A delta from the
// zero version is a full copy.
type Delta struct {
	From, To Version
	// Sum is the checksum of the state that the delta leads to.
	Sum uint64
	// Removed lists services that are gone.
	Removed []topo.ServiceName
	// Services lists changed services in order of name.
	Services []ServiceDelta
}

// Full reports whether the delta is a full copy.
func (d *Delta) Full() bool { return d.From == Version{} }

// ServiceDelta holds the changes of one service, each list in order of number.
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

// EntryChange sets the entry of a slice.
type EntryChange struct {
	Slice topo.SliceID
	Entry
}

// HotChange sets a hot slot. An empty key frees it.
type HotChange struct {
	Slot uint16
	Hot
}

// Reason tells why a delta was refused.
type Reason uint8

// The reasons for which Apply refuses a delta.
const (
	// Gap: the delta starts from a version other than the table's. The holder
	// needs a full copy.
	Gap Reason = iota + 1
	// Older: the delta leads to a version that is not above the table's.
	Older
	// Diverged: the checksum differs after the delta. The holder needs a full
	// copy.
	Diverged
	// Invalid: the delta breaks a limit or refers to a missing index.
	Invalid
)

// String returns the name of the reason.
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

// ApplyError says why a delta was refused.
type ApplyError struct {
	Reason         Reason
	Have, From, To Version
	Detail         string
}

// Error implements error.
func (e *ApplyError) Error() string {
	s := fmt.Sprintf("table delta from %s to %s refused at %s: %s", e.From, e.To, e.Have, e.Reason)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	return s
}

// Apply returns the table that d leads to, or an *ApplyError. A full copy
// applies to every lower version.
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

// validate checks every number of d against base, so that applying it can't
// fail.
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
			return fmt.Errorf("kind %s or %d slices differ from the table's", s.Kind, s.Slices)
		}
		servers = len(current.servers)
	}
	if err := s.Kind.Validate(); err != nil {
		return err
	}
	if s.Slices > MaxSlices {
		return fmt.Errorf("%d slices, more than %d", s.Slices, MaxSlices)
	}
	for _, c := range s.Servers {
		switch {
		case int(c.Index) > servers || c.Index == NoOwner:
			return fmt.Errorf("server index %d leaves a hole", c.Index)
		case c.State >= numServerStates:
			return fmt.Errorf("server state %d", c.State)
		}
		servers = max(servers, int(c.Index)+1)
	}
	for _, c := range s.Entries {
		if uint32(c.Slice) >= s.Slices {
			return fmt.Errorf("slice %d of %d", c.Slice, s.Slices)
		}
		if err := c.validate(servers); err != nil {
			return err
		}
	}
	for _, c := range s.Hot {
		if c.Slot >= MaxHot {
			return fmt.Errorf("hot slot %d", c.Slot)
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
			return fmt.Errorf("owner index %d of %d servers", i, servers)
		}
	}
	if e.Phase >= numPhases {
		return fmt.Errorf("phase %d", e.Phase)
	}
	if (e.Phase == Unowned) != (e.Owner == NoOwner) {
		return fmt.Errorf("phase %d with owner %d", e.Phase, e.Owner)
	}
	return nil
}

// FullCopy returns the delta from the zero version to t.
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
