// Package store is the interface to the platform's object API: objects with
// versions, conditional updates and watches. It is the only place where
// anything is agreed or kept.
//
// The store may be down or slow for long, and the answer of a write can be
// lost after the write took effect. A caller never repeats such a write
// blindly; it calls Resolve, which reads the object back and compares its
// writer.
package store

import (
	"context"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// MaxValueBytes is the largest value that the platform accepts, in bytes.
const MaxValueBytes = 1_000_000

// The errors of the store.
const (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.ConstError("object not found")
	// ErrConflict: the object's version is not the expected one.
	ErrConflict = errors.ConstError("object version conflict")
	// ErrUnavailable: the store did not answer or is down. A write that
	// failed with it may have taken effect.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrThrottled: the call was refused by the rate limit and had no effect.
	ErrThrottled = errors.ConstError("store rate limit exceeded")
	// ErrCompacted: the watch's start revision is too old; list again.
	ErrCompacted = errors.ConstError("watch revision compacted")
	// ErrTooLarge: the value exceeds MaxValueBytes.
	ErrTooLarge = errors.ConstError("value too large")
)

// Object is a stored value.
type Object struct {
	Key   string
	Value []byte
	// Version counts the writes of this object, from 1.
	Version uint64
	// Revision is the store-wide revision of the object's last write.
	Revision topo.Revision
	// Writer identifies the write attempt that produced this version.
	Writer string
}

// Event is one change that a watch reports.
type Event struct {
	Object
	// Deleted says that the object was removed; Value is nil.
	Deleted bool
}

// Listing is the state of a prefix at one revision.
type Listing struct {
	Objects  []Object
	Revision topo.Revision
}

// Changes is the answer of a watch: the events after the asked revision up to
// and including Revision, in order. It may be empty.
type Changes struct {
	Events   []Event
	Revision topo.Revision
}

// Precondition values of Put.
const (
	// MustNotExist makes Put create the object.
	MustNotExist uint64 = 0
)

// VMState is one entry of the platform's list of VMs. The list lags, so it is
// advice and never proof.
type VMState struct {
	ID      topo.VMID `json:"id"`
	Leaving bool      `json:"leaving"`
}

// Objects are the calls that agree on and keep objects. Implementations are
// safe for concurrent use. Every method returns one of the errors above or a
// context error.
type Objects interface {
	// Get reads one object.
	Get(ctx context.Context, key string) (Object, error)
	// List reads all objects whose key begins with prefix, in key order.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes value if the object's version is ifVersion, and records
	// writer, which must be unique per attempt. It returns the new version.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64, writer string) (Object, error)
	// Delete removes the object if its version is ifVersion.
	Delete(ctx context.Context, key string, ifVersion uint64, writer string) error
	// Watch waits at most wait for events after the given revision.
	Watch(ctx context.Context, prefix string, after topo.Revision, wait time.Duration) (Changes, error)
}

// Store is the platform's whole object API.
type Store interface {
	Objects
	// VMs reads the platform's lagging list of VMs.
	VMs(ctx context.Context) ([]VMState, error)
}

// staleKey marks a context of reads that may be seconds old.
type staleKey struct{}

// AllowStale returns a context whose reads may be answered with data that is
// seconds old, which costs the platform less.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// StaleAllowed reports whether ctx came from AllowStale.
func StaleAllowed(ctx context.Context) bool { return ctx.Value(staleKey{}) != nil }
