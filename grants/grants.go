// Package grants reconciles the slices that one backend server holds with the
// routing table. It runs on the server's home VM, which grants slices to the
// server, renews its lease, revokes slices that move away, and reports the
// results to the controller.
package grants

import (
	"time"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// MaxDrift is the greatest relative difference in rate between the clocks of
// two machines during a lease (design page, section 3.2).
const MaxDrift = 0.01

// Periods of the control protocol.
const (
	// ServerTTL is the length of a server lease.
	ServerTTL = 1200 * time.Millisecond
	// RenewInterval is the time between renewals of a server lease.
	RenewInterval = 400 * time.Millisecond
	// CallTimeout is the time after which an unanswered control call counts as
	// failed. Three calls that time out fit into one lease.
	CallTimeout = 300 * time.Millisecond
	// FirstContactTimeout is the time after which a new home VM reports a
	// server as lost if it has never reached the server and no lease from an
	// earlier home VM can still be valid. It keeps the recovery from the loss
	// of a data centre, where a server and its home VM fail together, within
	// 2 s.
	FirstContactTimeout = 500 * time.Millisecond
	// ColdPeriod is the time for which a rebooted server is reported as cold.
	ColdPeriod = 30 * time.Second
)

// MaxLocal returns an upper bound of the time that passes on this machine's
// clock while another machine's clock advances by d.
func MaxLocal(d time.Duration) time.Duration { return d + time.Duration(float64(d)*MaxDrift) }

// MinRemote returns a lower bound of the time that passes on another machine's
// clock while this machine's clock advances by d.
func MinRemote(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + MaxDrift))
}

// Op is the operation of a control call.
type Op uint8

// The operations of the control protocol (design page, section 6.4).
const (
	// OpClaims raises the server's term and requests the slices that it holds.
	OpClaims Op = iota + 1
	// OpGrant grants slices to the server and extends its lease.
	OpGrant
	// OpRenew extends the lease of all slices that the server holds.
	OpRenew
	// OpRevoke makes the server give up slices.
	OpRevoke
)

// String returns the last element of the operation's URL path.
func (o Op) String() string {
	switch o {
	case OpClaims:
		return "claims"
	case OpGrant:
		return "grant"
	case OpRenew:
		return "renew"
	case OpRevoke:
		return "revoke"
	}
	return "invalid"
}

// Call is a control call to send to the server. The sender must finish each
// call with Machine.Reply or Machine.CallFailed and the call's ID.
type Call struct {
	ID uint64 `json:"-"`
	Op Op     `json:"-"`
	// Term and Seq are the fencing token of the call. A server refuses a term
	// lower than its own, a grant of a slice under a fence that is not above
	// that of the slice's last revocation, and a grant or renewal that has
	// expired on arrival.
	Term   topo.Term      `json:"term"`
	Seq    uint64         `json:"seq,omitempty"`
	Slices []topo.SliceID `json:"slices,omitempty"`
	// ExpiresMs is the end of the lease on the server's own clock, in ms.
	ExpiresMs uint64 `json:"expires_ms,omitempty"`
	BootID    string `json:"boot_id,omitempty"`
}

// Fence returns the fencing token of the call.
func (c Call) Fence() topo.Fence { return topo.Fence{Term: c.Term, Seq: c.Seq} }

// Reply is the server's response to a control call.
type Reply struct {
	BootID string `json:"boot_id"`
	// ClockMs is a reading of the server's monotonic clock, in ms.
	ClockMs  uint64    `json:"clock_ms"`
	Term     topo.Term `json:"term"`
	Accepted bool      `json:"accepted"`
	// Slices lists all slices that the server holds. It is set only in the
	// response to OpClaims.
	Slices []Claim `json:"slices,omitempty"`
}

// Claim is a slice that a server reports as held, with the fence of its grant.
type Claim struct {
	Slice topo.SliceID `json:"slice"`
	Fence topo.Fence   `json:"fence"`
}

// Report is the part of a home VM's heartbeat about one server.
type Report struct {
	Server topo.ServerID
	// Drained lists slices that the table shows as draining at the server and
	// whose drain is complete.
	Drained []topo.SliceID
	// Lost means that the server did not answer before its lease lapsed. It
	// applies to the slices whose fence is at most LostAt. This VM does not
	// grant them again under such a fence.
	Lost   bool
	LostAt slicemap.Version
	// Released means that this VM has stopped sending to the server, as the table
	// requested.
	Released bool
	// ClaimsTerm is the controller's term under which Claims and Missing were
	// collected. It is 0 if there is no valid response to OpClaims.
	ClaimsTerm topo.Term
	// Claims lists slices that the server holds under a higher fence than that
	// of the table's entry, although the entry names another owner.
	Claims []Claim
	// Missing lists slices that the table assigns to the server but that the
	// server did not claim. It is set only while the controller rebuilds its
	// table.
	Missing []topo.SliceID
	// Cold means that the server rebooted within the last ColdPeriod.
	Cold bool
}

// Desired is the part of a routing table that concerns one server.
type Desired struct {
	Server slicemap.Server
	// Keyed is false for a server of a pooled service, which has no slices.
	Keyed bool
	// Entries holds the slices and hot keys that the server owns.
	Entries map[topo.SliceID]slicemap.Entry
	// Table is the complete table.
	Table *slicemap.Table
	// Service is the service that the server belongs to.
	Service topo.ServiceName
}

// DesiredOf returns the parts of a table that concern the servers whose home VM
// is vm. It reads each entry once, regardless of the number of servers.
func DesiredOf(t *slicemap.Table, vm topo.VMID) map[topo.ServerID]*Desired {
	out := map[topo.ServerID]*Desired{}
	for _, name := range t.Services() {
		s := t.Service(name)
		byIndex := make([]*Desired, len(s.Servers()))
		for i, srv := range s.Servers() {
			if srv.Home == vm && srv.State != slicemap.ServerRemoved {
				byIndex[i] = &Desired{Server: srv, Keyed: s.Kind() == topo.Keyed, Table: t, Service: name,
					Entries: map[topo.SliceID]slicemap.Entry{}}
				out[srv.ID] = byIndex[i]
			}
		}
		for id := topo.SliceID(0); uint32(id) < s.Slices()+uint32(len(s.Hot())); id++ {
			if e := s.Entry(id); int(e.Owner) < len(byIndex) && byIndex[e.Owner] != nil {
				byIndex[e.Owner].Entries[id] = e
			}
		}
	}
	return out
}
