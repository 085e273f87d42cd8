// Package keyrange provides the key table of a service, which maps contiguous
// ranges of keys to the backend servers that own them. Tables are immutable.
package keyrange
