// Package grants makes one backend server agree with the routing table. It
// runs at the server's home VM, which grants slices to the server, renews its
// lease, revokes slices that leave, and reports what became of them.
package grants

import (
	"time"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// MaxDrift is the greatest relative difference between two machines' clocks
// over a lease (design page, section 3.2).
const MaxDrift = 0.01

// Periods of the control protocol.
const (
	// ServerTTL is the length of a server lease.
	ServerTTL = 1200 * time.Millisecond
	// RenewInterval is the time between renewals of a server lease.
	RenewInterval = 400 * time.Millisecond
	// CallTimeout is the time after which an unanswered control call counts as
	// failed. Three calls fit into a lease.
	CallTimeout = 300 * time.Millisecond
	// FirstContactTimeout is the time after which a new home VM reports a
	// server lost that it never reached and that holds no lease of an earlier
	// home VM. It keeps the loss of a data centre, where a server and its home
	// VM are lost together, within 2 s.
	FirstContactTimeout = 500 * time.Millisecond
	// ColdPeriod is the time for which a rebooted server is reported cold.
	ColdPeriod = 30 * time.Second
)

// MaxLocalDuration returns an upper bound of the time that passes here while another
// machine's clock advances by d.
func MaxLocalDuration(d time.Duration) time.Duration { return d + time.Duration(float64(d)*MaxDrift) }

// MinRemoteDuration returns a lower bound of the time that passes elsewhere while d
// passes here.
func MinRemoteDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + MaxDrift))
}

// Op is the operation of a control call.
type Op uint8

// The operations of the control protocol (design page, section 6.4).
const (
	// OpClaims raises the server's term and asks what it holds.
	OpClaims Op = iota + 1
	// OpGrant gives slices.
	OpGrant
	// OpRenew extends the lease of all slices that the server holds.
	OpRenew
	// OpRevoke takes slices away.
	OpRevoke
)

// String returns the last element of the operation's path.
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

// Call is a control call to send to the server. Every call is answered by
// Reply or Failed with its ID.
type Call struct {
	ID uint64 `json:"-"`
	Op Op     `json:"-"`
	// Term and Seq are the fence of the order. A server refuses a lower term,
	// a grant of a slice under a fence that is not above the slice's last
	// revocation, and a grant or renewal that has expired when it arrives.
	Term   topo.Term      `json:"term"`
	Seq    uint64         `json:"seq,omitempty"`
	Slices []topo.SliceID `json:"slices,omitempty"`
	// ExpiresMs is the end of the lease in the server's own clock.
	ExpiresMs uint64 `json:"expires_ms,omitempty"`
	BootID    string `json:"boot_id,omitempty"`
}

// Fence returns the fence of the order.
func (c Call) Fence() topo.Fence { return topo.Fence{Term: c.Term, Seq: c.Seq} }

// Reply is the server's answer to a control call.
type Reply struct {
	BootID string `json:"boot_id"`
	// ClockMs is the server's monotonic clock.
	ClockMs  uint64    `json:"clock_ms"`
	Term     topo.Term `json:"term"`
	Accepted bool      `json:"accepted"`
	// Slices lists all slices that the server holds, in the answer to claims.
	Slices []Claim `json:"slices,omitempty"`
}

// Claim is a slice that a server holds, with the fence of its grant.
type Claim struct {
	Slice topo.SliceID `json:"slice"`
	Fence topo.Fence   `json:"fence"`
}

// Report is what the home VM's heartbeat says about a server.
type Report struct {
	Server topo.ServerID
	// Drained lists slices that the table shows as draining at the server and
	// that it no longer holds.
	Drained []topo.SliceID
	// Lost says that the server's lease lapsed without an answer. It covers
	// the slices whose fence is at most LostAt, which this VM won't grant
	// again under that fence.
	Lost   bool
	LostAt slicemap.Version
	// LetGo says that this VM no longer sends to the server.
	LetGo bool
	// ClaimsTerm is the controller's term under which Claims and Missing were
	// collected, 0 when the server has not answered under any.
	ClaimsTerm topo.Term
	// Claims lists slices that the server holds under a higher fence than the
	// table's entry, which names another owner.
	Claims []Claim
	// Missing lists slices that the table shows at the server and that the
	// server did not hold while the controller rebuilt its table.
	Missing []topo.SliceID
	// Cold says that the server rebooted within ColdPeriod.
	Cold bool
}

// Desired is the part of a routing table that concerns one server.
type Desired struct {
	Server slicemap.Server
	// Keyed is false for a server of a pooled service, which has no slices.
	Keyed bool
	// Entries holds the slices and hot keys that the server owns.
	Entries map[topo.SliceID]slicemap.Entry
	// Table is the table that this part was taken from.
	Table *slicemap.Table
	// Service is the server's service.
	Service topo.ServiceName
}

// DesiredOf returns the parts of a table that concern the servers whose home
// is vm. It reads every entry once.
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
