// Package ring provides the bounded queue that connects the goroutines of a
// process. Each queue has a policy for the case that it is full, so that no
// queue grows without bound and producers block only where the policy says so.
package ring

import (
	"context"
	"sync/atomic"
)

// Policy defines what Put does when the queue is full.
type Policy uint8

// The policies.
const (
	// Block waits for room or for the context to end.
	Block Policy = iota
	// DropOldest removes the oldest item to make room. It suits state that
	// a later item replaces, such as load reports.
	DropOldest
	// Refuse rejects the new item immediately; Put returns false.
	Refuse
)

// Ring is a bounded first-in first-out queue for any number of producers and
// consumers. The zero value is not usable; call New.
type Ring[T any] struct {
	ch      chan T
	policy  Policy
	dropped atomic.Uint64
}

// New returns a ring that holds at most size items. Size must be positive.
func New[T any](size int, policy Policy) *Ring[T] {
	return &Ring[T]{ch: make(chan T, size), policy: policy}
}

// Put adds an item according to the ring's policy and reports whether it was
// added. It returns false when the context ends first (Block) or the ring is
// full (Refuse).
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	switch r.policy {
	case Block:
		return r.putBlocking(ctx, item)
	case DropOldest:
		r.putDroppingOldest(item)
		return true
	default:
		return r.putOrRefuse(item)
	}
}

func (r *Ring[T]) putBlocking(ctx context.Context, item T) bool {
	select {
	case r.ch <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Ring[T]) putDroppingOldest(item T) {
	for {
		select {
		case r.ch <- item:
			return
		default:
		}
		select {
		case <-r.ch:
			r.dropped.Add(1)
		default:
		}
	}
}

func (r *Ring[T]) putOrRefuse(item T) bool {
	select {
	case r.ch <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// C returns the channel from which consumers receive items.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Dropped returns the total number of items that were removed by DropOldest or
// rejected by Refuse.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
