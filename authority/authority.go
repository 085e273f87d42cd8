// Package authority determines which process is the controller of a cell, and
// for how long.
//
// The platform's store assigns terms: each conditional update of the cell object
// (Cell) assigns new terms, and each term belongs to one process. A roster of
// witnesses decides whether a term is valid: the holder of a term has authority
// while a majority of the roster has attested the term within the last
// AuthorityTTL. Section 3 of the design page gives the reasons.
//
// The package is pure: it starts no goroutine and reads no clock. Each process
// passes in readings of its own monotonic clock, which must also advance while
// the process or its VM is paused. Readings of different processes are never
// compared; their clocks may differ in rate by at most MaxDrift.
package authority

import (
	"math"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// Durations and limits of the protocol, from section 3.2 of the design page.
const (
	// MaxDrift is the greatest relative difference in rate between two clocks.
	MaxDrift = 0.01
	// AuthorityTTL is how long an attestation is valid for the holder, from the
	// time at which the holder sent the request.
	AuthorityTTL = 1200 * time.Millisecond
	// AttestInterval is the time between attest requests to the same witness.
	AttestInterval = 300 * time.Millisecond
	// MaxRosterAge is the time since its last confirmation within which a roster
	// may be used to gain authority.
	MaxRosterAge = 10 * time.Second
	// RosterChangeInterval is the minimum time between two roster changes:
	// MaxRosterAge x (1 + MaxDrift).
	RosterChangeInterval = MaxRosterAge + MaxRosterAge/100
	// SuccessorTimeout is how long successor 1 goes without contact with a
	// controller before it tries to gain authority.
	SuccessorTimeout = 1200 * time.Millisecond
	// SuccessorStagger is the additional delay of each further successor.
	SuccessorStagger = 500 * time.Millisecond
	// MaxCellVMs is the maximum number of VMs in a cell.
	MaxCellVMs = 16
)

// AddDriftMargin returns how long to wait on the local clock so that a lease of
// duration d has certainly ended on every other clock.
func AddDriftMargin(d time.Duration) time.Duration {
	return d + time.Duration(math.Ceil(float64(d)*MaxDrift))
}

// SubtractDriftMargin returns the longest lease that has certainly ended on
// every other clock once d has passed on the local clock.
func SubtractDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + MaxDrift))
}

// rules holds the durations that the state machines use, and the rules that
// tests switch off. Production code uses standardRules only.
type rules struct {
	ttl, witnessHold, attestInterval   time.Duration
	maxRosterAge, rosterChangeInterval time.Duration
	successorTimeout, successorStagger time.Duration
	omit                               omittedRules
}

// omittedRules selects rules to switch off. Tests set one at a time to show that
// the exploration then finds the violation that the rule prevents. The comment
// on each field states the rule.
type omittedRules struct {
	startupHold          bool // a witness attests nothing for witnessHold after its start
	waitForLowerTerm     bool // a higher term is attested only after the lower one has ended
	refuseLowerTerm      bool // a term below the highest attested is refused
	lapseIsFinal         bool // a term whose authority lapsed is abandoned for good
	ttlFromSend          bool // an attestation is valid from the time the request was sent
	rosterChangeInterval bool // roster changes are at least rosterChangeInterval apart
	maxRosterAge         bool // a roster older than maxRosterAge gains no authority
	singleMemberChange   bool // a roster change adds or removes one member
}

func standardRules() *rules {
	return &rules{
		ttl:                  AuthorityTTL,
		witnessHold:          AddDriftMargin(AuthorityTTL),
		attestInterval:       AttestInterval,
		maxRosterAge:         MaxRosterAge,
		rosterChangeInterval: RosterChangeInterval,
		successorTimeout:     SuccessorTimeout,
		successorStagger:     SuccessorStagger,
	}
}

var standard = standardRules()

// Process identifies one run of the daemon on a VM. A term belongs to a process,
// not to a VM: a restarted process does not know whether its predecessor used the
// term, and would issue the same fencing tokens again.
type Process struct {
	VM topo.VMID `json:"vm"`
	// Boot is the boot ID, unique for each start of the daemon on the VM.
	Boot string `json:"boot"`
}

// String returns "<vm>#<boot>", the holder field of attest requests.
func (p Process) String() string { return string(p.VM) + "#" + p.Boot }

// Roster is the set of witnesses of a cell. Each roster change increases Version
// by 1, and ResetRoster by 2.
type Roster struct {
	Version uint64      `json:"version"`
	Members []topo.VMID `json:"members"`
}

// Majority returns the smallest number of members that is a majority.
func (r Roster) Majority() int { return len(r.Members)/2 + 1 }

// Has reports whether vm is a member of the roster.
func (r Roster) Has(vm topo.VMID) bool { return slices.Contains(r.Members, vm) }

// With returns the next version of the roster with vm added. It does not check
// whether vm is a member already.
func (r Roster) With(vm topo.VMID) Roster {
	return Roster{Version: r.Version + 1, Members: append(slices.Clone(r.Members), vm)}
}

// Without returns the next version of the roster with vm removed.
func (r Roster) Without(vm topo.VMID) Roster {
	members := slices.DeleteFunc(slices.Clone(r.Members), func(m topo.VMID) bool { return m == vm })
	return Roster{Version: r.Version + 1, Members: members}
}

// equal reports whether r and o have the same version and the same members, in
// any order.
func (r Roster) equal(o Roster) bool {
	return r.Version == o.Version && len(r.Members) == len(o.Members) && r.shared(o) == len(r.Members)
}

func (r Roster) shared(o Roster) int {
	n := 0
	for _, m := range r.Members {
		if o.Has(m) {
			n++
		}
	}
	return n
}

// isSingleMemberChange reports whether o is the next version of r with one member
// added or removed. Replacing a member in one change is not allowed, because the
// majorities could be disjoint: {a,c} of {a,b,c} and {b,d} of {a,b,d} have no
// member in common.
func (r Roster) isSingleMemberChange(o Roster) bool {
	if o.Version != r.Version+1 || len(o.Members) == 0 {
		return false
	}
	shared := r.shared(o)
	added := shared == len(r.Members) && len(o.Members) == shared+1
	removed := shared == len(o.Members) && len(r.Members) == shared+1
	return added || removed
}

// AttestRequest asks a witness to attest a term.
type AttestRequest struct {
	Cell   topo.CellName
	Term   topo.Term
	Holder string // Process.String of the holder
	// RosterVersion is the version of the roster that the holder uses. Witnesses
	// ignore it; it is for diagnostics only.
	RosterVersion uint64
}

// AttestResponse is the response of a witness to an AttestRequest.
type AttestResponse struct {
	OK bool // the term is attested
	// HighestTerm is the highest term that the witness has attested.
	HighestTerm topo.Term
	// Remaining is the time until the witness may attest a higher term, on the
	// clock of the witness.
	Remaining time.Duration
}

// ReleaseRequest tells a witness that the holder has abandoned the term, so that
// the witness may attest a higher one at once.
type ReleaseRequest struct {
	Cell topo.CellName
	Term topo.Term
}
