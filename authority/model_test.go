package authority

import (
	"bytes"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// The model runs the production Witness, Holder and Cell code in a small system:
// two processes that may become controller, three witnesses, two backend servers
// that share one slice, and the cell object in a store. Time advances in whole
// ticks on one clock; drift_test.go covers clocks that drift.
//
// Pauses, partitions and outages need no actions of their own: the explored
// executions include those in which a process does nothing, a message is never
// delivered, or the store is not called. The timers of successors are not modelled:
// a successor may start at any time, which includes all times that the timers
// permit.

const tick = time.Second

var (
	startTime   = time.Unix(1_000_000, 0)
	procs       = [2]Process{{VM: "c0", Boot: "1"}, {VM: "c1", Boot: "1"}}
	witnessIDs  = [3]topo.VMID{"w0", "w1", "w2"}
	serverCount = 2
)

// params bounds the exploration and selects the rules to switch off.
type params struct {
	rules         *rules
	roster        []topo.VMID
	restarts      bool // witnesses may restart, any number of times
	releases      bool // controllers may make a planned stop
	claims        int  // limit of claims
	rosterChanges int  // limit of roster changes; above 0, roster confirmations are modelled
	inFlight      int  // limit of attest messages in transit
	leaseTTL      int  // in ticks; 0 excludes the servers from the model
	// Rules that the users of the authority follow. Tests switch off one at a time;
	// each comment states the rule.
	omitLeaseCap  bool // a lease never outlives the authority it was granted under
	omitCollect   bool // a new controller waits for one lease time before it grants slices
	omitCondition bool // the cell object is written by conditional update
	maxStates     int
}

func (p *params) lease() time.Duration { return time.Duration(p.leaseTTL) * tick }

// message is an attest message in transit between a controller and a witness.
type message struct {
	controller, witness int  // index of the controller and of the witness
	arrived             bool // the request has arrived, and the response is in transit
	call                AttestCall
	resp                AttestResponse
}

type controller struct {
	holder       *Holder
	highestUsed  topo.Term
	knownVersion int // version of the newest cell object known
	// confirmed is when knownVersion was last confirmed.
	confirmed time.Time
	// put is the object of a conditional write in transit, and putVersion the
	// version that the write requires; -1 means that there is no write.
	put        Cell
	putVersion int
	releases   [3]bool // release requests in transit, by witness
	released   topo.Term
	// maxValidUntil is the latest end of authority ever reached; leases may last
	// until then. lapsed is set when the authority has ended.
	maxValidUntil time.Time
	lapsed        bool
	// The owner of the slice as the controller knows it. ready is set once the
	// controller has collected the claims of the servers.
	ready      bool
	owner      int
	ownerUntil time.Time
}

type server struct {
	term  topo.Term
	until time.Time
}

type grant struct {
	server int
	term   topo.Term
	until  time.Time
}

type world struct {
	now           time.Time
	witnesses     [3]Witness
	controllers   [2]controller
	servers       [2]server
	cells         []Cell // cell objects, indexed by version
	messages      []message
	grants        []grant
	claims        int
	rosterChanges int
	p             *params
	// holders holds the Holders that the holder fields of controllers point to.
	holders [2]Holder
}

func newWorld(p *params) *world {
	wd := &world{now: startTime, p: p}
	for i := range wd.witnesses {
		wd.witnesses[i] = *newWitness(p.rules, "cell", startTime.Add(-p.rules.witnessHold))
	}
	wd.cells = []Cell{NewCell("cell", procs[0], []Process{procs[1]}, p.roster)}
	for i := range wd.controllers {
		wd.controllers[i].putVersion, wd.controllers[i].owner, wd.controllers[i].confirmed = -1, -1, startTime
	}
	return wd
}

// copyFrom makes wd a copy of src that shares no mutable state with it. It reuses
// the memory of wd.
func (wd *world) copyFrom(src *world) {
	msgs, grants, holders := wd.messages[:0], wd.grants[:0], wd.holders
	for i := range holders {
		attestations := holders[i].attestations[:0]
		holders[i] = src.holders[i]
		holders[i].attestations = append(attestations, src.holders[i].attestations...)
	}
	*wd = *src
	wd.holders = holders
	for i := range wd.controllers {
		if wd.controllers[i].holder != nil {
			wd.controllers[i].holder = &wd.holders[i]
		}
	}
	wd.messages = append(msgs, src.messages...)
	wd.grants = append(grants, src.grants...)
	wd.cells = src.cells[:len(src.cells):len(src.cells)]
}

// valid returns what Holder.Valid would return for controller i now, without the
// side effects of Valid.
func (wd *world) valid(i int) bool {
	h := wd.controllers[i].holder
	return h != nil && h.gained && !h.abandoned && wd.now.Before(h.majorityUntil(h.roster))
}

// recordAuthority updates highestUsed, maxValidUntil and lapsed of the controllers,
// and removes obsolete messages and grants.
func (wd *world) recordAuthority() {
	for i := range wd.controllers {
		c := &wd.controllers[i]
		if c.holder == nil || !c.holder.gained {
			continue
		}
		c.highestUsed = max(c.highestUsed, c.holder.term)
		if wd.valid(i) {
			if u := c.holder.majorityUntil(c.holder.roster); u.After(c.maxValidUntil) {
				c.maxValidUntil = u
			}
		} else {
			c.lapsed = true
		}
	}
	wd.dropObsolete()
}

// dropObsolete removes messages and grants that can no longer have an effect.
func (wd *world) dropObsolete() {
	kept := wd.messages[:0]
	for _, m := range wd.messages {
		h := wd.controllers[m.controller].holder
		if !m.arrived || (m.resp.OK && h != nil && !h.abandoned && h.term == m.call.Request.Term) {
			kept = append(kept, m)
		}
	}
	wd.messages = kept
	if len(wd.grants) > 0 && !wd.now.Before(wd.grants[0].until) {
		wd.grants = wd.grants[:0]
	}
}

// violation returns a description of the guarantee that the state violates, or ""
// when it violates none.
func (wd *world) violation() string {
	v0, v1 := wd.valid(0), wd.valid(1)
	if v0 && v1 {
		return "two controllers have authority"
	}
	for i, v := range []bool{v0, v1} {
		c, other := &wd.controllers[i], &wd.controllers[1-i]
		if v && c.lapsed {
			return "a lapsed term has authority again"
		}
		if v && other.released != other.highestUsed && wd.now.Before(other.maxValidUntil) {
			return "a controller has authority before the leases of the previous one have ended"
		}
	}
	if wd.now.Before(wd.servers[0].until) && wd.now.Before(wd.servers[1].until) {
		return "a slice has two owners"
	}
	if c0, c1 := wd.controllers[0].holder, wd.controllers[1].holder; c0 != nil && c1 != nil && c0.term == c1.term {
		return "a term has two owners"
	}
	return ""
}

// key appends an encoding of the state to buf. Times are encoded relative to now
// and witnesses are sorted by their state, so that states which differ only by a
// time shift or a permutation of the witnesses have the same key.
func (wd *world) key(buf []byte) []byte {
	var mem [3][64]byte
	var recs [3][]byte
	for i := range wd.witnesses {
		recs[i] = wd.witnessKey(i, mem[i][:0])
	}
	slices.SortFunc(recs[:], bytes.Compare)
	for _, r := range recs {
		buf = append(append(buf, r...), 255)
	}
	for i := range wd.controllers {
		buf = wd.controllerKey(&wd.controllers[i], buf)
	}
	// Server 1 does not check terms.
	buf = append(buf, byte(wd.servers[0].term), wd.ticksUntil(wd.servers[0].until), wd.ticksUntil(wd.servers[1].until))
	for _, g := range wd.grants {
		buf = append(buf, byte(g.server), byte(g.term), wd.ticksUntil(g.until))
	}
	latest := wd.cells[len(wd.cells)-1]
	return append(buf, 254, byte(len(wd.cells)), byte(latest.BaseTerm), latest.Holder.VM[1], byte(wd.claims), byte(wd.rosterChanges))
}

func (wd *world) witnessKey(i int, b []byte) []byte {
	w := &wd.witnesses[i]
	b = append(b, wd.ticksUntil(w.startupHoldUntil), byte(w.highest), wd.ticksUntil(w.until), flags(w.released), 0)
	if w.holder != "" {
		b[len(b)-1] = w.holder[1]
	}
	for j := range wd.controllers {
		c := &wd.controllers[j]
		b = append(b, flags(c.releases[i]))
		if c.holder == nil || c.holder.abandoned {
			continue
		}
		if a := c.holder.find(witnessIDs[i]); a != nil {
			b = append(b, wd.ticksUntil(a.until))
		}
		b = append(b, flags(c.holder.roster.Has(witnessIDs[i]), c.holder.next.Has(witnessIDs[i])))
	}
	for _, m := range wd.messages {
		if m.witness == i {
			b = append(b, 253, byte(m.controller), flags(m.arrived, m.resp.OK), wd.ticksSince(m.call.SentAt), byte(m.call.Request.Term))
		}
	}
	if wd.p.rosterChanges == 0 {
		return b
	}
	for _, cell := range wd.cells {
		b = append(b, flags(cell.Roster.Has(witnessIDs[i])))
	}
	for j := range wd.controllers {
		if wd.controllers[j].putVersion >= 0 {
			b = append(b, flags(wd.controllers[j].put.Roster.Has(witnessIDs[i])))
		}
	}
	return b
}

func (wd *world) controllerKey(c *controller, b []byte) []byte {
	b = append(b, byte(c.highestUsed), byte(c.knownVersion), byte(c.putVersion+1), byte(c.put.BaseTerm), byte(c.released),
		wd.ticksUntil(c.maxValidUntil), flags(c.lapsed))
	h := c.holder
	if h != nil && !h.abandoned {
		b = append(b, byte(h.term), flags(h.gained))
	}
	if wd.p.rosterChanges > 0 {
		b = append(b, wd.ticksSince(c.confirmed))
		if h != nil && !h.abandoned {
			b = append(b, wd.ticksUntil(h.gainDeadline), byte(h.roster.Version), byte(h.next.Version), wd.ticksSince(h.rosterChangedAt))
		}
	}
	if wd.p.leaseTTL > 0 && h != nil && !h.abandoned {
		// The time since gainedAt is capped at one lease time, because collect
		// waits no longer than that.
		b = append(b, flags(c.ready), byte(c.owner+1), wd.ticksUntil(c.ownerUntil), min(byte(wd.p.leaseTTL), wd.ticksSince(h.gainedAt)))
	}
	return append(b, 255)
}

// ticksUntil returns the ticks from now to t, and 0 when t has passed.
func (wd *world) ticksUntil(t time.Time) byte {
	return byte(max(0, t.Sub(wd.now)/tick))
}

// ticksSince returns the ticks from t to now, 0 to 3. The durations of smallRules
// are 2 ticks, so no rule distinguishes times of 3 ticks or more.
func (wd *world) ticksSince(t time.Time) byte {
	return byte(min(3, max(0, wd.now.Sub(t)/tick)))
}

// flags packs bs into the bits of a byte, the first into bit 0.
func flags(bs ...bool) byte {
	var f byte
	for i, b := range bs {
		if b {
			f |= 1 << i
		}
	}
	return f
}
