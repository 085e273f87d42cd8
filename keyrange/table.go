// Package keyrange holds the table from contiguous ranges of keys to the
// backend servers that own them. Tables are immutable values.
package keyrange

import (
	"encoding/json"
	"slices"
	"sort"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// Key is a key of a keyed service.
type Key = uint16

// MaxKey is the greatest key.
const MaxKey Key = 1<<16 - 1

// KeyCount is the number of keys.
const KeyCount = 1 << 16

// Owner is one life of a backend server.
type Owner struct {
	Server topo.ServerID `json:"server"`
	// StartedAtMs is the Unix time of the server's start, in milliseconds.
	StartedAtMs int64 `json:"born"`
}

// Range is a range of keys with its owner.
type Range struct {
	// First and Last are inclusive.
	First Key `json:"first"`
	Last  Key `json:"last"`
	Owner
	// Fence orders the owners of a key: each later one has a higher fence.
	Fence int64 `json:"fence"`
	// State says whether the owner runs requests. It is not stored.
	State State `json:"-"`
}

// State tells what a router should do with requests for keys.
type State uint8

// The states.
const (
	// Owned keys have an owner that runs requests.
	Owned State = iota
	// Moving keys will have an owner in a moment.
	Moving
	// Orphaned keys have no owner until the hold of a server that does not
	// answer has ended.
	Orphaned
)

// Width returns the number of keys in the range.
func (r Range) Width() int { return int(r.Last) - int(r.First) + 1 }

// Contains reports whether the range has the key.
func (r Range) Contains(k Key) bool { return r.First <= k && k <= r.Last }

// Table is the table of one service. Its ranges are in order and cover all
// keys, or there are none.
type Table struct {
	Service topo.ServiceName `json:"service"`
	// Term is the leader that wrote the table.
	Term topo.Term `json:"term"`
	// NextFence is above every fence that was ever granted.
	NextFence int64   `json:"next_fence"`
	Ranges    []Range `json:"ranges"`
}

// Find returns the range of a key; false when the table is empty.
func (t *Table) Find(k Key) (Range, bool) {
	if t == nil || len(t.Ranges) == 0 {
		return Range{}, false
	}
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].Last >= k })
	return t.Ranges[i], true
}

// Assign returns a table in which the keys of each range belong to its owner
// under a new fence. The ranges are in order and do not overlap. Neighbouring
// ranges keep their owners and fences.
func (t *Table) Assign(ranges ...Range) *Table {
	list := slices.Clone(ranges)
	for i := range list {
		list[i].Fence = t.NextFence + int64(i)
	}
	out := t.replace(list)
	out.NextFence = t.NextFence + int64(len(list))
	return out
}

// Overlay returns a table in which the keys of each range have its owner and
// state. A later range goes before an earlier one.
func (t *Table) Overlay(ranges []Range) *Table {
	for len(ranges) > 0 {
		n := orderedPrefix(ranges)
		t, ranges = t.replace(ranges[:n]), ranges[n:]
	}
	return t
}

// ordered returns how many ranges from the first are in order and do not
// overlap.
func orderedPrefix(ranges []Range) int {
	for i := 1; i < len(ranges); i++ {
		if ranges[i].First <= ranges[i-1].Last {
			return i
		}
	}
	return len(ranges)
}

// replace returns a table with the given ranges, which are in order and do not
// overlap, and the rest of t.
func (t *Table) replace(list []Range) *Table {
	out := &Table{
		Service: t.Service, Term: t.Term, NextFence: t.NextFence,
		Ranges: make([]Range, 0, len(t.Ranges)+2*len(list)),
	}
	rest, next := t.Ranges, 0
	for _, r := range list {
		rest = out.appendOverlap(rest, next, int(r.First))
		out.Ranges = append(out.Ranges, r)
		next = int(r.Last) + 1
	}
	out.appendOverlap(rest, next, KeyCount)
	return out
}

// take appends the parts of ranges whose keys are at least from and below to,
// and returns the ranges that reach to or beyond.
func (t *Table) appendOverlap(ranges []Range, from, to int) []Range {
	for from < to && len(ranges) > 0 && int(ranges[0].First) < to {
		r := ranges[0]
		r.First, r.Last = Key(max(int(r.First), from)), Key(min(int(r.Last), to-1))
		if int(ranges[0].Last) >= from {
			t.Ranges = append(t.Ranges, r)
		}
		if int(ranges[0].Last) >= to {
			return ranges
		}
		ranges = ranges[1:]
	}
	return ranges
}

// Changed returns the ranges of t that old does not have with the same owner
// and state.
func (t *Table) Changed(old *Table) []Range {
	var out []Range
	i := 0
	for _, r := range t.Ranges {
		if old != nil {
			for i < len(old.Ranges) && old.Ranges[i].Last < r.Last {
				i++
			}
			if i < len(old.Ranges) && unchangedIn(old.Ranges[i], r) {
				continue
			}
		}
		out = append(out, r)
	}
	return out
}

// sameRange reports whether the keys of r have the same owner and state in o.
func unchangedIn(o, r Range) bool {
	return o.First <= r.First && r.Last <= o.Last && o.Server == r.Server && o.State == r.State
}

// Validate reports a table whose ranges do not cover all keys once.
func (t *Table) Validate() error {
	if len(t.Ranges) == 0 {
		return nil
	}
	next := 0
	for _, r := range t.Ranges {
		if int(r.First) != next || r.Last < r.First {
			return errors.Errorf("range %d-%d of service %q does not follow key %d", r.First, r.Last, t.Service, next)
		}
		if r.Fence >= t.NextFence {
			return errors.Errorf("fence %d of service %q is not below the next fence %d", r.Fence, t.Service, t.NextFence)
		}
		next = int(r.Last) + 1
	}
	if next != KeyCount {
		return errors.Errorf("service %q has no owner from key %d", t.Service, next)
	}
	return nil
}

// Encode returns the stored form of a table. It fails for a table that Decode
// would not accept.
func (t *Table) Encode() ([]byte, error) {
	if err := t.Validate(); err != nil {
		return nil, errors.Annotate(err, "key table to store")
	}
	return json.Marshal(t)
}

// Decode reads the stored form of a table and checks it.
func Decode(data []byte) (*Table, error) {
	var t Table
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, errors.Annotate(err, "key table")
	}
	if err := t.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return &t, nil
}
