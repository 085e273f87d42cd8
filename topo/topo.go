// Package topo defines the identifiers and records that all packages share:
// VMs, data centres, customers, backend servers, services, slices, terms and
// fences. It contains no logic beyond parsing and ordering.
package topo

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// VMID identifies a VM uniquely within an environment.
type VMID string

// DataCentreName names a data centre.
type DataCentreName string

// CellName names a group of VMs that share one controller.
type CellName string

// CustomerID names a customer.
type CustomerID string

// ServerID identifies a backend server uniquely within an environment.
type ServerID string

// Incarnation identifies one life of a backend server: a server that starts again
// under the same id is another one.
type Incarnation struct {
	Server ServerID
	// StartedAtMs is the Unix time of the start in milliseconds.
	StartedAtMs int64
}

// ServiceName names a service, a set of backend servers.
type ServiceName string

// SliceID is the number of a slice, a hash range of the keys of one service.
// Numbers start at 0.
type SliceID uint32

// Term orders the controllers of a cell. Terms are unique; see package
// authority.
type Term uint64

// Revision orders the changes of the platform's store.
type Revision uint64

// Fence orders the grants of a slice, first by term, then by sequence.
type Fence struct {
	Term Term   `json:"term"`
	Seq  uint64 `json:"seq"`
}

// Less reports whether f was issued before g.
func (f Fence) Less(g Fence) bool {
	if f.Term != g.Term {
		return f.Term < g.Term
	}
	return f.Seq < g.Seq
}

// String formats the fence as "<term>.<seq>", the form of the Grant-Fence
// header.
func (f Fence) String() string {
	return strconv.FormatUint(uint64(f.Term), 10) + "." + strconv.FormatUint(f.Seq, 10)
}

// ParseFence parses the form that String returns. It returns a NotValid error
// for any other text.
func ParseFence(s string) (Fence, error) {
	termText, seqText, ok := strings.Cut(s, ".")
	if !ok {
		return Fence{}, errors.NotValidf("fence %q (expected \"<term>.<seq>\")", s)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Fence{}, errors.NotValidf("fence term %q (expected an unsigned 64-bit number)", termText)
	}
	seq, err := strconv.ParseUint(seqText, 10, 64)
	if err != nil {
		return Fence{}, errors.NotValidf("fence sequence %q (expected an unsigned 64-bit number)", seqText)
	}
	return Fence{Term: Term(term), Seq: seq}, nil
}

// VM holds the addresses and the location of a VM.
type VM struct {
	ID         VMID           `json:"id"`
	Cell       CellName       `json:"cell"`
	DataCentre DataCentreName `json:"data_centre"`
	// PeerAddr is the host:port of the gRPC service between VMs.
	PeerAddr string `json:"peer_addr"`
	// CallerAddr is the host:port that callers reach.
	CallerAddr string `json:"caller_addr"`
}

// BackendServer is one server of a service.
type BackendServer struct {
	ID         ServerID       `json:"id" toml:"id"`
	Service    ServiceName    `json:"service" toml:"-"`
	DataCentre DataCentreName `json:"data_centre" toml:"data_centre"`
	// Addr is the server's host:port for requests and control messages.
	Addr string `json:"addr" toml:"addr"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"slots" toml:"slots"`
	// MaxConns is the number of connections that the server accepts.
	MaxConns int `json:"max_conns" toml:"max_conns"`
}

// ServiceKind determines how the server of a request is chosen.
type ServiceKind string

// The kinds of service.
const (
	// Keyed services assign each key to one of their servers.
	Keyed ServiceKind = "keyed"
	// Pooled services run a request on any of their servers.
	Pooled ServiceKind = "pooled"
)

// Validate returns an error that names the value when the kind is unknown.
func (k ServiceKind) Validate() error {
	switch k {
	case Keyed, Pooled:
		return nil
	}
	return fmt.Errorf("service kind %q is neither %q nor %q", string(k), Keyed, Pooled)
}

// ListVersion identifies a list of the VMs. It orders lists first by the term of the leader that
// published them and then by number. The zero value identifies no list.
type ListVersion struct {
	Term   Term
	Number uint64
}

// Newer reports whether list v was published after list o.
func (v ListVersion) Newer(o ListVersion) bool {
	return v.Term > o.Term || v.Term == o.Term && v.Number > o.Number
}
