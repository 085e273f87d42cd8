// Package placement plans which backend server owns which keys of a service. It
// handles load that concentrates on a few neighbouring keys, servers of
// different speeds, and servers that join and leave. It does no I/O and reads
// no clock.
package placement
