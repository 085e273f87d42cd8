// Package execution decides whether a failed request is retried, and which
// outcome is reported to the caller. It also keeps the history of exactly-once
// requests. It does no I/O, and its callers pass in time and randomness.
package execution
