// Package leader elects the leader among the VMs. Only the leader sends backend
// servers the orders that grant and release keys. Leadership is a lease that is
// kept in one object of the store.
//
// The store records no times. A holder measures its lease from the moment just
// before it sends the write that renews it. A candidate acquires the lease only
// after it has observed the same version of the object for longer than the
// duration of a lease: the last renewal was sent before the first of these
// observations, so the lease has expired. All times are readings of a clock that
// also advances while the VM is suspended.
package leader
