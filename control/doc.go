// Package control implements the control plane of a cell, which runs on each of
// the cell's VMs. A VM attests controller terms as a witness, takes over as
// controller when it is its turn, sends heartbeats to the controller, and
// applies the configuration and routing table that the controller publishes.
//
// All decisions are made by the packages authority, assigner, admission and
// config, which do no I/O. This package supplies their inputs and carries out
// their results.
package control
