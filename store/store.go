// Package store defines the interface to the platform's object API, which has
// versioned objects, conditional writes and watches, and implements its client.
// All coordination between VMs and all durable state goes through this API.
//
// The store may be down or slow for a long time, and the response to a write
// can be lost after the write took effect. A caller must not repeat such a
// write blindly. It calls Resolve, which reads the object back and compares its
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
	// ErrConflict: the object's version is not the one that the write requires.
	ErrConflict = errors.ConstError("object version conflict")
	// ErrUnavailable: the store did not answer or is down. A write that
	// failed with it may have taken effect.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrThrottled: the call was refused by the rate limit and had no effect.
	ErrThrottled = errors.ConstError("store rate limit exceeded")
	// ErrCompacted: the store no longer has the events after the watch's start
	// revision. The caller must list the prefix again.
	ErrCompacted = errors.ConstError("watch revision compacted")
	// ErrTooLarge: the value exceeds MaxValueBytes.
	ErrTooLarge = errors.ConstError("value too large")
)

// Object is a stored value with its metadata.
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
	// Deleted means that the object was deleted. Value is nil then.
	Deleted bool
}

// Listing holds all objects under a prefix as of one revision.
type Listing struct {
	Objects  []Object
	Revision topo.Revision
}

// Changes is the result of a watch: the events after the requested revision up
// to and including Revision, in order of revision. Events may be empty.
type Changes struct {
	Events   []Event
	Revision topo.Revision
}

// Precondition values of Put.
const (
	// MustNotExist makes Put succeed only if the object does not exist.
	MustNotExist uint64 = 0
)

// VMState is one entry of the platform's list of VMs. The list lags behind the
// actual state, so it must only be used as a hint.
type VMState struct {
	ID      topo.VMID `json:"id"`
	Leaving bool      `json:"leaving"`
}

// Objects is the part of the API that reads, writes and watches objects.
// Implementations are safe for concurrent use. Every error is one of this
// package's errors, a NotValid error for a malformed request, or a context
// error.
type Objects interface {
	// Get reads one object. It returns ErrNotFound if the object is absent.
	Get(ctx context.Context, key string) (Object, error)
	// List reads all objects whose key begins with prefix, in key order.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes value if the object's version is ifVersion, and records
	// writer, which must be unique per attempt. It returns the new state of
	// the object.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64, writer string) (Object, error)
	// Delete removes the object if its version is ifVersion.
	Delete(ctx context.Context, key string, ifVersion uint64, writer string) error
	// Watch returns the events after the given revision. If there are none, it
	// waits for the first one, but at most for wait.
	Watch(ctx context.Context, prefix string, after topo.Revision, wait time.Duration) (Changes, error)
}

// Store is the platform's complete object API, including the list of VMs.
type Store interface {
	Objects
	// VMs reads the platform's list of VMs, which may lag; see VMState.
	VMs(ctx context.Context) ([]VMState, error)
}

// staleKey is the context key that AllowStale sets.
type staleKey struct{}

// AllowStale returns a context whose reads may return data that is seconds old.
// Such reads cost the platform less.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// StaleAllowed reports whether ctx is derived from a context that AllowStale
// returned.
func StaleAllowed(ctx context.Context) bool { return ctx.Value(staleKey{}) != nil }
