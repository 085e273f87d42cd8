// Package balance balances the load among the servers of a pooled service (section
// 4.5 of docs/design.md). Pool is the state machine, which does no I/O and reads no
// clock: power of two choices, straggler detection, ejection, gradual return of
// recovered servers and the hedging budget. Balancer drives it and is a call.Doer.
package balance
