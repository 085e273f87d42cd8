// Package slicemap maps keys to slices and slices to backend servers. It implements
// the routing table of one cell as immutable snapshots, and the deltas that update a
// copy from one version to a later one.
package slicemap
