// Package membudget accounts for the memory that a process holds for others. It
// allocates nothing and knows no time: whoever allocates asks first, and gives back
// what it has released.
package membudget

import "sync/atomic"

// Purpose is what memory is held for.
type Purpose uint8

// The purposes.
const (
	// Connections: buffers and goroutines of callers' connections.
	Connections Purpose = iota
	// Heads: heads that are being read, and parsed ones with the requests that they
	// begin.
	Heads
	// Bodies: bodies that are being read or wait with their request.
	Bodies
	// Responses: responses that callers have not read.
	Responses

	purposes
)

// String returns the name of the purpose in metrics.
func (p Purpose) String() string {
	return [...]string{"connections", "heads", "bodies", "responses"}[p]
}

// Purposes returns all purposes.
func Purposes() (all []Purpose) {
	for p := range purposes {
		all = append(all, p)
	}
	return all
}

// Class is who asks for memory. The classes are refused in their order: each may use
// a larger part of the budget than the one before.
type Class uint8

// The classes.
const (
	// NewConnection: a caller connects.
	NewConnection Class = iota
	// NewHead: a request begins on a connection that owes no response.
	NewHead
	// FurtherRequest: a request begins on a connection that owes responses.
	FurtherRequest
	// Begun: a request that was let in needs more.
	Begun

	classes
)

// String returns the name of the class in metrics.
func (c Class) String() string {
	return [...]string{"new_connection", "new_head", "further_request", "begun"}[c]
}

// Classes returns all classes.
func Classes() (all []Class) {
	for c := range classes {
		all = append(all, c)
	}
	return all
}

// shares are the parts of the budget up to which the classes are served.
var shares = [classes]float64{NewConnection: 0.75, NewHead: 0.85, FurtherRequest: 0.9, Begun: 1}

// reliefShare is the part of the budget to which evictions bring its use down. It is
// below all shares, so that all classes are served again.
const reliefShare = 0.65

// Budget is the memory of a process for others. A nil Budget has no limit and counts
// nothing. It is safe for concurrent use and takes no lock.
type Budget struct {
	limit   int64
	limits  [classes]int64
	used    atomic.Int64
	held    [purposes]atomic.Int64
	refused [classes]atomic.Int64
}

// New returns a budget of limit bytes, nil if limit is 0.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	b := &Budget{limit: limit}
	for c, share := range shares {
		b.limits[c] = int64(share * float64(limit))
	}
	return b
}

// Take accounts for n bytes and returns true, or returns false if they do not fit.
func (b *Budget) Take(p Purpose, c Class, n int64) bool {
	if b == nil || n == 0 {
		return true
	}
	if b.used.Add(n) > b.limits[c] {
		b.used.Add(-n)
		b.refused[c].Add(1)
		return false
	}
	b.held[p].Add(n)
	return true
}

// Add accounts for n bytes that were allocated already.
func (b *Budget) Add(p Purpose, n int64) {
	if b == nil {
		return
	}
	b.used.Add(n)
	b.held[p].Add(n)
}

// Give gives back n bytes.
func (b *Budget) Give(p Purpose, n int64) { b.Add(p, -n) }

// Limit returns the size of the budget, 0 if it has none.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Held returns the bytes that are held for a purpose.
func (b *Budget) Held(p Purpose) int64 {
	if b == nil {
		return 0
	}
	return b.held[p].Load()
}

// Refused returns how many times a class was refused.
func (b *Budget) Refused(c Class) int64 {
	if b == nil {
		return 0
	}
	return b.refused[c].Load()
}

// Overdrawn reports whether more is held than the budget.
func (b *Budget) Overdrawn() bool { return b != nil && b.used.Load() > b.limit }

// Excess returns how many bytes evictions should free: what is held beyond the part
// of the budget at which all classes are served.
func (b *Budget) Excess() int64 {
	if b == nil {
		return 0
	}
	return max(0, b.used.Load()-int64(reliefShare*float64(b.limit)))
}

const (
	// programBytes is the resident part of the program file and of the runtime that
	// the limit of the garbage collector does not cover.
	programBytes = 20 << 20
	// ownBytes is what the process holds for itself: configuration, directory,
	// tables, connections to servers and other VMs.
	ownBytes = 12 << 20
	// collectorShare is the part of the memory of the VM, less programBytes, that is
	// the limit of the garbage collector. The rest covers what the kernel counts
	// and the collector does not, and its delay.
	collectorShare = 0.9
	// callerShare is the part of the collector's limit, less ownBytes, that is held
	// for callers. Garbage between two collections and the fragmentation of the
	// heap need the rest.
	callerShare = 0.5
	// minCollectorLimit and minCallerLimit keep a VM with very little memory at work: a
	// lower limit would make the collector run all the time.
	minCollectorLimit, minCallerLimit = 24 << 20, 4 << 20
)

// CollectorLimit returns the memory limit of the garbage collector of a process on a VM
// with the given memory, 0 for none.
func CollectorLimit(vmBytes int64) int64 {
	if vmBytes <= 0 {
		return 0
	}
	return max(minCollectorLimit, int64(collectorShare*float64(vmBytes-programBytes)))
}

// CallerLimit returns the size of the budget of a process on a VM with the given memory,
// 0 for none.
func CallerLimit(vmBytes int64) int64 {
	if vmBytes <= 0 {
		return 0
	}
	return max(minCallerLimit, int64(callerShare*float64(CollectorLimit(vmBytes)-ownBytes)))
}

const (
	// storeResponseShare and storeListShare are the parts of a VM's memory that one
	// response of the store, and what is kept of a list over all its pages, may take. It is
	// held besides what is in force, and three kinds of objects may be listed at once.
	storeResponseShare, storeListShare = 1.0 / 32, 1.0 / 16
	// minStoreResponse and minStoreList leave room for a page, which is about 1 MB long.
	minStoreResponse, minStoreList = 2 << 20, 4 << 20
)

// StoreLimits returns the bounds of a response of the store, and of what is kept of a list
// over all its pages, for a process on a VM with the given memory, 0 for none.
func StoreLimits(vmBytes int64) (response, list int) {
	if vmBytes <= 0 {
		return 0, 0
	}
	return max(minStoreResponse, int(storeResponseShare*float64(vmBytes))), max(minStoreList, int(storeListShare*float64(vmBytes)))
}

// fieldBytes and headBaseBytes are what a parsed head holds for each line and besides its
// own text. A map entry, its key and its value take up to 140 bytes, however short the
// field is.
const fieldBytes, headBaseBytes = 144, 2 << 10

// HeadBytes returns an upper bound of what a parsed head of the given size in bytes and
// number of lines holds.
func HeadBytes(size, lines int) int64 { return int64(size) + int64(lines)*fieldBytes + headBaseBytes }
