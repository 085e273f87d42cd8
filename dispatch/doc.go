// Package dispatch schedules the requests to one backend server at its home VM
// (sections 4.1 and 4.5 of docs/design.md). Queue is a state machine without
// I/O, clock or goroutines that covers slots, weighted fair queueing by customer,
// deadlines, drain and the cold-start ramp. Dispatcher runs it in real time as a
// call.Doer.
package dispatch
