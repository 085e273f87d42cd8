// Package callerkey issues and verifies caller keys, the credentials of
// callers.
//
// A key holds a secret of 256 random bits. Only the SHA-256 hash of the secret
// is stored. A slow, salted hash is not needed: such hashes protect passwords
// against guessing and precomputed tables, neither of which is feasible for 256
// random bits. A fast hash keeps verification below 1 us.
//
// The package does no I/O and reads no clock: callers pass in the time and the
// source of randomness.
package callerkey
