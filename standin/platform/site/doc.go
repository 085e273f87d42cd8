// Package site is a stand-in for the external platform that package platform
// talks to, and implements its published protocol. It provides the metadata
// store and backend servers that own keys, on loopback, with faults that can be
// switched on. Only tests use it.
package site
