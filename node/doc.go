// Package node implements the router process of one VM. It connects the listeners
// for callers and other VMs, the forwarding of requests, the leader election and
// the assignment of keys with the store and the backend servers of a platform.
package node
