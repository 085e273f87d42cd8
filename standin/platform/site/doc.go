// Package site is a stand-in for the users' platform, written from its
// published protocol. It provides the metadata store and backend servers that
// own keys, on loopback, with faults that can be switched on. Only tests and
// the soak use it; godwitlock itself does not.
package site
