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

// MaxKey is the greatest possible key.
const MaxKey Key = 1<<16 - 1

// KeyCount is the number of possible keys.
const KeyCount = 1 << 16

// Owner identifies one incarnation of a backend server: the server and the time
// of its start.
type Owner struct {
	Server topo.ServerID `json:"server"`
	// StartedAtMs is the Unix time of the server's start, in milliseconds. It
	// differs between the incarnations of a server.
	StartedAtMs int64 `json:"born"`
}

// Range is a contiguous range of keys with its owner.
type Range struct {
	// First and Last are inclusive.
	First Key `json:"first"`
	Last  Key `json:"last"`
	Owner
	// Fence is the fencing token of the owner. Each later owner of a key has a
	// higher one.
	Fence int64 `json:"fence"`
	// State tells routers whether the owner runs requests. It is not stored.
	State State `json:"-"`
}

// State tells a router how to handle requests for the keys of a range.
type State uint8

const (
	// Owned means that the keys have an owner that runs requests.
	Owned State = iota
	// Moving means that the keys are expected to have an owner shortly.
	Moving
	// Orphaned means that the previous owner does not respond. The keys have no
	// owner until its hold, a time-limited right to run requests, expires.
	Orphaned
)

// Width returns the number of keys in the range.
func (r Range) Width() int { return int(r.Last) - int(r.First) + 1 }

// Contains reports whether the key is in the range.
func (r Range) Contains(k Key) bool { return r.First <= k && k <= r.Last }

// Table is the key table of one service. Its ranges are in ascending order and
// cover all keys without overlap, or it has no ranges.
type Table struct {
	Service topo.ServiceName `json:"service"`
	// Term is the term of the leader that wrote the table.
	Term topo.Term `json:"term"`
	// Era is the era of the store for which the table is complete: it names every
	// owner that any leader has chosen up to then.
	Era topo.Era `json:"era,omitempty"`
	// NextFence is greater than every fence assigned so far.
	NextFence int64 `json:"next_fence"`
	// FenceEra is the era of the store up to which NextFence has skipped the fences of
	// lost tables.
	FenceEra topo.Era `json:"fence_era,omitempty"`
	// FenceLeaders is the number of leaders of that era for which fences are skipped.
	FenceLeaders int     `json:"fence_leaders,omitempty"`
	Ranges       []Range `json:"ranges"`
}

const (
	// FencesPerEra exceeds the number of fences that may have been assigned after the copy
	// was made to which the store returned, and those that leaders of an era skip.
	FencesPerEra = 1 << 24
	// fencesPerLeader exceeds the number of fences that a leader may have assigned in a
	// new era before the last write of the era before is carried out.
	fencesPerLeader = 1 << 16
	// maxSkippedLeaders bounds the leaders of an era for which fences are skipped.
	maxSkippedLeaders = FencesPerEra/fencesPerLeader/2 - 1
)

// SkipLostFences returns a copy of a table from which changes up to the beginning of the
// given era may be missing, and those of earlier leaders of that era, whose number is
// given: a delayed write may have replaced their table. Its next fence is above all that
// were assigned in them. Each era is skipped once, so that the next fence stays below
// those of later eras.
func (t *Table) SkipLostFences(era topo.Era, earlierLeaders int) *Table {
	out := *t
	if era > t.FenceEra {
		out.FenceEra, out.FenceLeaders = era, min(earlierLeaders, maxSkippedLeaders)
		out.NextFence += int64(era-t.FenceEra)*FencesPerEra + int64(out.FenceLeaders-t.FenceLeaders)*fencesPerLeader
	}
	return &out
}

// Find returns the range that contains a key. It returns false if the table is
// empty or nil.
func (t *Table) Find(k Key) (Range, bool) {
	if t == nil || len(t.Ranges) == 0 {
		return Range{}, false
	}
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].Last >= k })
	return t.Ranges[i], true
}

// Assign returns a copy of the table in which each of the given ranges belongs
// to its owner under a new fence. The ranges must be in ascending order and must
// not overlap. All other keys keep their owners and fences.
func (t *Table) Assign(ranges ...Range) *Table {
	list := slices.Clone(ranges)
	for i := range list {
		list[i].Fence = t.NextFence + int64(i)
	}
	out := t.replace(list)
	out.NextFence = t.NextFence + int64(len(list))
	return out
}

// Overlay returns a copy of the table in which the keys of each given range have
// its owner, fence and state. If ranges overlap, the later one in the list takes
// precedence.
func (t *Table) Overlay(ranges []Range) *Table {
	for len(ranges) > 0 {
		n := orderedPrefix(ranges)
		t, ranges = t.replace(ranges[:n]), ranges[n:]
	}
	return t
}

// orderedPrefix returns the length of the longest prefix of ranges that is in
// ascending order without overlap.
func orderedPrefix(ranges []Range) int {
	for i := 1; i < len(ranges); i++ {
		if ranges[i].First <= ranges[i-1].Last {
			return i
		}
	}
	return len(ranges)
}

// replace returns a copy of the table with the given ranges in place of those
// for the same keys. The ranges must be in ascending order and must not overlap.
func (t *Table) replace(list []Range) *Table {
	out := &Table{
		Service: t.Service, Term: t.Term, Era: t.Era, NextFence: t.NextFence, FenceEra: t.FenceEra, FenceLeaders: t.FenceLeaders,
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

// appendOverlap appends the parts of ranges that lie in the interval [from, to),
// and returns the ranges that contain to or a greater key.
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

// Changed returns the ranges of t that are not contained in a range of old with
// the same server and state. If old is nil, it returns all ranges.
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

// unchangedIn reports whether the range o contains r with the same server and
// state.
func unchangedIn(o, r Range) bool {
	return o.First <= r.First && r.Last <= o.Last && o.Server == r.Server && o.State == r.State
}

// Validate returns an error unless the table is empty or its ranges cover each
// key exactly once, in ascending order, with fences below NextFence.
func (t *Table) Validate() error {
	if len(t.Ranges) == 0 {
		return nil
	}
	next := 0
	for _, r := range t.Ranges {
		if int(r.First) != next || r.Last < r.First {
			return errors.Errorf("range %d-%d of service %q is invalid: expected a range that starts at key %d", r.First, r.Last, t.Service, next)
		}
		if r.Fence >= t.NextFence {
			return errors.Errorf("fence %d of service %q is not below the table's next fence %d", r.Fence, t.Service, t.NextFence)
		}
		next = int(r.Last) + 1
	}
	if next != KeyCount {
		return errors.Errorf("table of service %q has no range for keys %d and above", t.Service, next)
	}
	return nil
}

// Encode returns the stored form of a table. It returns an error if the table is
// invalid, because Decode would reject it.
func (t *Table) Encode() ([]byte, error) {
	if err := t.Validate(); err != nil {
		return nil, errors.Annotate(err, "encode key table")
	}
	return json.Marshal(t)
}

// Decode parses the stored form of a table and validates it.
func Decode(data []byte) (*Table, error) {
	var t Table
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, errors.Annotate(err, "decode key table")
	}
	if err := t.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return &t, nil
}
