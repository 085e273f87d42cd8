// Package permit is the admission control for backend servers. Each pool of
// servers has a home VM, whose Pool grants the request slots of these servers to
// requests from all VMs. When the load exceeds the capacity of the servers, the
// Pool decides which requests are queued and in which order, which are refused
// immediately, and when a refused caller should retry. It also enforces the rate
// limit of cold servers, which have started recently, and the in-flight limit
// that protects servers that never answer a request that does not fit into their
// queue.
//
// A Pool does no I/O and reads no clock: the caller passes in the time. It is
// not safe for concurrent use. Each keyed server has a pool of its own; the
// servers of a pooled service share one.
package permit
