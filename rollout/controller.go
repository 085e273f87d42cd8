package rollout

import (
	"math"
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// reserveTime is for how long rights are reserved in the store at once, and
	// minReserve the least number. What a lost leader has reserved counts as used.
	reserveTime, minReserve = 3 * time.Second, 10
	// progressInterval is the longest time between two writes of a running roll-out.
	progressInterval = 2 * time.Second
	// judgeInterval is the shortest time between two judgements. One takes 15 ms for a
	// service with 87 servers of the target and 4 routes.
	judgeInterval = 200 * time.Millisecond
	// endedTime is how long after its completion the servers of other versions are
	// left out. They stop at once.
	endedTime = 10 * time.Second
)

// Controller runs the roll-out of one service at the leader. What allows more to the
// target takes effect when it is stored; a judgement against it takes effect at once.
// It is not safe for concurrent use.
type Controller struct {
	bounds Bounds
	rec    Record
	// stored is the record that the store has, nil if it has none yet.
	stored   *Record
	writing  *Record
	wroteAt  time.Time
	ledger   *Ledger
	evidence *Evidence
	// base is what was reserved before this leader's term.
	base        int64
	stepBegan   time.Time
	stepAnswers int
	// endedAt is when the roll-out ended in this term, zero if it ended before.
	endedAt time.Time
	finding Finding
	// news says that there is evidence that was not judged yet, and judgedAt when the
	// evidence was judged last.
	news     bool
	judgedAt time.Time
}

// NewController returns the controller of a roll-out from its record, which the store
// has if stored is true. The steps beyond the canary need evidence that an earlier
// leader has taken with it, so they begin anew.
func NewController(b Bounds, rec *Record, stored bool, now time.Time) *Controller {
	c := &Controller{
		bounds: b, rec: *rec, ledger: NewLedger(), evidence: NewEvidence(rec.Duration()), base: rec.Reserved, stepBegan: now,
	}
	if stored {
		c.stored = rec
	}
	if !rec.Over() {
		c.rec.Step = min(c.rec.Step, canarySteps-1)
	}
	if rec.State == Reverted {
		c.endedAt = now
	}
	return c
}

// Record returns the present record.
func (c *Controller) Record() *Record { r := c.rec; return &r }

// Finding returns what the evidence showed last.
func (c *Controller) Finding() Finding { return c.finding }

// Issued returns the number of rights given in this term.
func (c *Controller) Issued() int64 { return c.ledger.Issued() }

// Step returns the step that is in force.
func (c *Controller) Step() int {
	if c.stored == nil {
		return 0
	}
	return min(c.rec.Step, c.stored.Step)
}

// Share returns the share of the requests that the target may get now.
func (c *Controller) Share() float64 {
	switch {
	case c.stored == nil || c.rec.State == Reverted:
		return 0
	case c.rec.State == Complete:
		return 1
	}
	return c.bounds.StepShare(c.Step(), c.rate())
}

// rate returns the requests of the service per second since the order.
func (c *Controller) rate() float64 {
	return float64(c.rec.Arrivals) / max(1, (time.Duration(c.rec.ElapsedMs)*time.Millisecond).Seconds())
}

// Report records the report of a process.
func (c *Controller) Report(now time.Time, p Process, u Use, cells []Cell) {
	if c.rec.Over() || u.Target != c.rec.Target || u.Number != c.rec.Number {
		return
	}
	c.rec.Arrivals += u.Arrivals
	c.news = c.news || len(cells) > 0
	for _, cell := range cells {
		c.evidence.Add(now, cell)
		if cell.Server != "" {
			c.stepAnswers += cell.Good + cell.Bad
		}
	}
	limit := int64(0)
	switch {
	case c.stored != nil && c.Step() >= canarySteps:
		limit = unlimited
	case c.stored != nil:
		limit = max(0, c.stored.Reserved-c.base)
	}
	c.ledger.Report(p, u.Arrivals, u.Used, c.Share(), limit)
}

// Surroundings are what a controller needs to know besides the reports.
type Surroundings struct {
	// StoreAnswers says that the store answers this leader at present.
	StoreAnswers    bool
	Targets, Others int
	Settle          time.Duration
	Drained         bool
}

// Tick decides on the roll-out at now, whose Unix time is nowMs. It returns true if
// the state or the step changed.
func (c *Controller) Tick(now time.Time, nowMs int64, s Surroundings) bool {
	if c.rec.Over() {
		return false
	}
	c.rec.ElapsedMs = c.rec.Elapsed(nowMs).Milliseconds()
	if c.news && now.Sub(c.judgedAt) >= judgeInterval {
		c.finding, c.news, c.judgedAt = c.evidence.Judge(), false, now
	}
	finding := c.finding
	if finding.Enough && finding.Strength < holdStrength {
		c.rec.Proven = true
	}
	finding.Enough = finding.Enough || c.rec.Proven
	d := Decide(c.bounds, c.Step(), Situation{
		Elapsed: c.rec.Elapsed(nowMs), Duration: c.rec.Duration(), InStep: now.Sub(c.stepBegan), StepAnswers: c.stepAnswers,
		Finding: finding, StoreAnswers: s.StoreAnswers, Targets: s.Targets, Others: s.Others, Settle: s.Settle, Drained: s.Drained,
	})
	changed := d.State != c.rec.State || d.Step != c.rec.Step
	if d.Step > c.rec.Step {
		c.stepBegan, c.stepAnswers = now, 0
	}
	c.rec.State, c.rec.Step, c.rec.Reason = d.State, d.Step, d.Reason
	if c.rec.Over() {
		c.endedAt = now
	}
	c.reserve()
	return changed
}

// reserve raises the number of reserved rights as far as the bounds allow.
func (c *Controller) reserve() {
	if c.rec.Step >= canarySteps {
		return
	}
	chunk := max(minReserve, int64(math.Ceil(c.rate()*c.bounds.StepShare(c.rec.Step, c.rate())*reserveTime.Seconds())))
	need := min(c.base+c.ledger.Issued()+chunk, c.bounds.Budget(c.rec.Arrivals)-c.rec.Lost)
	if need > c.rec.Reserved+chunk/2 {
		c.rec.Reserved = need
	}
}

// Revert ends the roll-out, because another VM knows that it was reverted. It returns
// true if it was running.
func (c *Controller) Revert(now time.Time, reason string) bool {
	if c.rec.State == Reverted || c.rec.State == Complete && c.stored != nil && c.stored.State == Complete {
		return false
	}
	c.rec.State, c.rec.Reason, c.endedAt = Reverted, reason, now
	return true
}

// Pending returns the record if it has to be written now. While a write is under way,
// there is none.
func (c *Controller) Pending(now time.Time) (*Record, bool) {
	if c.writing != nil {
		return nil, false
	}
	if s := c.stored; s != nil && s.State == c.rec.State && s.Step == c.rec.Step && s.Reserved == c.rec.Reserved &&
		s.Proven == c.rec.Proven && s.Era == c.rec.Era && (c.rec.Over() || now.Sub(c.wroteAt) < progressInterval) {
		return nil, false
	}
	c.writing, c.wroteAt = c.Record(), now
	return c.Record(), true
}

// Stored records that the write of the last pending record took effect.
func (c *Controller) Stored() { c.stored, c.writing = c.writing, nil }

// StoreFailed records that the last pending record was not written. found is what the
// store has instead, nil if that is not known or it has none of this order.
func (c *Controller) StoreFailed(found *Record) {
	c.writing = nil
	if found != nil && found.Number == c.rec.Number && found.Target == c.rec.Target {
		if c.stored != nil {
			// What another leader has reserved counts as used.
			c.base += max(0, found.Reserved-c.stored.Reserved)
		}
		merged := Merge(&c.rec, found)
		merged.Step = c.rec.Step
		c.rec = *merged
	}
}

// Renew records that the store came back from an older copy in the given era: the
// record has to be written again.
func (c *Controller) Renew(era topo.Era) { c.rec.Era = max(c.rec.Era, era) }

// Published reports whether the state of the roll-out may be shown to the operator:
// it is stored.
func (c *Controller) Published() bool { return c.stored != nil && c.stored.State == c.rec.State }

// Right returns what a process may send to the target, without the time until which
// it may do so. It returns false when nothing needs to be limited any more.
func (c *Controller) Right(now time.Time, p Process) (Right, bool) {
	r := Right{
		Service: c.rec.Service, Target: c.rec.Target, Number: c.rec.Number, State: c.rec.State, Mode: Hold, Share: c.Share(), Barred: c.rec.Barred(),
	}
	switch {
	case c.rec.State == Reverted && c.rec.Reason == reasonNoServer:
		return Right{}, false
	case c.rec.State == Reverted:
	case c.rec.State == Complete && c.Published() && now.Sub(c.endedAt) < endedTime:
		r.Mode = Ended
	case c.rec.State == Complete && c.Published():
		// Further versions may come without an order.
		r.Target = ""
		return r, len(r.Barred) > 0
	case c.stored != nil && c.bounds.Whole(c.Step()):
		// Until the end is stored, the last step stays in force.
		r.Mode, r.State = Whole, Running
	default:
		r.State, r.Granted = Running, c.ledger.Granted(p)
	}
	return r, true
}
