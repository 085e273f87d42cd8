// Package rollout decides on the roll-out of a service's new version: it compares
// the target version with the others on the same routes in the same time, chooses
// the share of the requests that the target may get, and judges the version. It
// also keeps the accounts of the rights by which the share is handed out. The
// package does no I/O, reads no clock and starts no goroutine. docs/design/rollout.md
// describes how it is used.
package rollout
