// Package fleet implements the coordination of the VMs: they follow the leader,
// report to it, and acquire slots of backend servers and rate-limit tokens from
// one another.
package fleet
