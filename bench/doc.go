// Package bench runs the two workloads of docs/design.md section 1.3 against a
// deployment on loopback while it injects faults. It prints the metrics of section
// 1.2 and the number of violations of each guarantee. All figures are computed
// from the records of the backend server stand-ins and the callers, never from
// data of the code under test.
package bench
