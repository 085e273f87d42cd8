// Package peer implements the gRPC service between the VMs of godwitlock:
// attestation of terms, heartbeats, allocation of rate-limit tokens, the stream
// of changes of configuration and routing table, and the forwarding of requests
// to home VMs.
//
// A Forward stream carries one request. The entry VM knows that a request did
// not run only when the stream could not be created, or when the home VM refused
// the request with a kind whose outcome is NotRun. A stream that breaks later
// leaves the outcome unknown.
package peer
