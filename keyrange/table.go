// Package keyrange holds the table from contiguous ranges of keys to the
// backend servers that own them. Tables are immutable values.
package keyrange

import (
	"encoding/json"
	"sort"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// Key is a key of a keyed service.
type Key = uint16

// MaxKey is the greatest key.
const MaxKey Key = 1<<16 - 1

// Keys is the number of keys.
const Keys = 1 << 16

// Owner is one life of a backend server.
type Owner struct {
	Server topo.ServerID `json:"server"`
	// Born is the Unix time of the server's start, in milliseconds.
	Born int64 `json:"born"`
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

// Assign returns a table in which the keys from first to last belong to owner
// under a new fence. Neighbouring ranges keep their owners and fences.
func (t *Table) Assign(first, last Key, owner Owner) *Table {
	out := &Table{Service: t.Service, Term: t.Term, NextFence: t.NextFence + 1}
	added := Range{First: first, Last: last, Owner: owner, Fence: t.NextFence}
	placed := false
	for _, r := range t.Ranges {
		if r.Last < first {
			out.Ranges = append(out.Ranges, r)
			continue
		}
		if r.First < first {
			left := r
			left.Last = first - 1
			out.Ranges = append(out.Ranges, left)
		}
		if !placed {
			out.Ranges = append(out.Ranges, added)
			placed = true
		}
		if r.Last > last {
			right := r
			if right.First <= last {
				right.First = last + 1
			}
			out.Ranges = append(out.Ranges, right)
		}
	}
	if !placed {
		out.Ranges = append(out.Ranges, added)
	}
	return out
}

// Overlay returns a table in which the keys of r have its owner and state.
func (t *Table) Overlay(r Range) *Table {
	out := t.Assign(r.First, r.Last, r.Owner)
	out.NextFence = t.NextFence
	for i := range out.Ranges {
		if out.Ranges[i].First == r.First && out.Ranges[i].Last == r.Last {
			out.Ranges[i] = r
		}
	}
	return out
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
			if i < len(old.Ranges) && sameRange(old.Ranges[i], r) {
				continue
			}
		}
		out = append(out, r)
	}
	return out
}

// sameRange reports whether the keys of r have the same owner and state in o.
func sameRange(o, r Range) bool {
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
	if next != Keys {
		return errors.Errorf("service %q has no owner from key %d", t.Service, next)
	}
	return nil
}

// Encode returns the stored form of a table.
func (t *Table) Encode() ([]byte, error) { return json.Marshal(t) }

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
