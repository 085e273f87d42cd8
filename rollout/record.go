package rollout

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// Order is an operator's order to roll out a version.
type Order struct {
	Service  topo.ServiceName
	Target   string
	Duration time.Duration
	// Status is the status that the order's object has, if any.
	Status Status
}

// Status is the status of an order, as it is written for the operator.
type Status struct {
	State  State
	Target string
	Reason string
}

// Over reports whether the status says that the roll-out of the target has ended.
func (o Order) Over() bool {
	return o.Status.Target == o.Target && (o.Status.State == Complete || o.Status.State == Reverted)
}

const (
	// maxNameBytes bounds the names of versions.
	maxNameBytes = 256
	// MaxDuration bounds the time of a roll-out.
	MaxDuration = 7 * 24 * time.Hour
	// maxJudged bounds the earlier judgements of a service that are kept.
	maxJudged = 16
)

// Validate returns an error unless the order can be followed. name is the name of the
// order's object.
func (o Order) Validate(name string) error {
	switch {
	case string(o.Service) != name:
		return errors.Errorf("the object named %.64q orders a roll-out of service %.64q", name, o.Service)
	case o.Target == "" || len(o.Target) > maxNameBytes:
		return errors.Errorf("target must be a version of 1 to %d bytes", maxNameBytes)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return errors.Errorf("durationS must be above 0 and at most %v", MaxDuration.Seconds())
	}
	return nil
}

// Judgement is how the roll-out of a target ended.
type Judgement struct {
	Target string `json:"target"`
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// barred reports whether the target must not be used any more.
func (j Judgement) barred() bool { return j.State == Reverted && j.Reason != reasonNoServer }

// Record is what is stored of the latest roll-out of a service.
type Record struct {
	Service topo.ServiceName `json:"service"`
	Target  string           `json:"target"`
	// Number counts the orders of the service that were begun.
	Number uint64 `json:"number"`
	// DurationMs is the time that the order gives, StartedMs the Unix time at which it
	// was begun, and ElapsedMs the time since then when the record was written. A
	// clock that went back does not lengthen the roll-out.
	DurationMs int64  `json:"durationMs"`
	StartedMs  int64  `json:"startedMs"`
	ElapsedMs  int64  `json:"elapsedMs"`
	State      State  `json:"state"`
	Reason     string `json:"reason,omitempty"`
	Step       int    `json:"step"`
	// Reserved is the number of requests that VMs may have been allowed to send to
	// the target in the canary steps, and Arrivals how many requests of the service
	// were counted.
	Reserved int64 `json:"reserved"`
	Arrivals int64 `json:"arrivals"`
	// Lost is the part of the budget that counts as used because the store may have
	// lost what was written of it.
	Lost int64 `json:"lost"`
	// Proven says that the target once ran enough requests with nothing against it. A
	// new leader has none of the evidence.
	Proven bool     `json:"proven,omitempty"`
	Era    topo.Era `json:"era"`
	// Judged holds how earlier roll-outs ended, the latest last.
	Judged []Judgement `json:"judged,omitempty"`
}

// Begin returns the record of a new order. last is the record of the service's
// previous roll-out, nil if there is none.
func Begin(o Order, last *Record, nowMs int64, era topo.Era) *Record {
	r := &Record{
		Service: o.Service, Target: o.Target, Number: 1, DurationMs: o.Duration.Milliseconds(), StartedMs: nowMs, State: Running, Era: era,
	}
	if last != nil {
		r.Number = last.Number + 1
		r.Judged = mergeJudged(last.Judged, []Judgement{{last.Target, last.State, last.Reason}})
	}
	for _, j := range r.Judged {
		if j.Target == o.Target && j.barred() {
			// A bad version must not be exposed twice.
			r.State, r.Reason = Reverted, "an earlier roll-out of this version was reverted: "+j.Reason
		}
	}
	return r
}

// Barred returns the versions that earlier roll-outs of the service reverted.
func (r *Record) Barred() []string {
	var out []string
	for _, j := range r.Judged {
		if j.barred() && j.Target != r.Target {
			out = append(out, j.Target)
		}
	}
	return out
}

// Elapsed returns the time since the order at the Unix time nowMs.
func (r *Record) Elapsed(nowMs int64) time.Duration {
	return time.Duration(max(r.ElapsedMs, nowMs-r.StartedMs)) * time.Millisecond
}

// Duration returns the time that the order gives.
func (r *Record) Duration() time.Duration { return time.Duration(r.DurationMs) * time.Millisecond }

// Over reports whether the roll-out has ended.
func (r *Record) Over() bool { return r.State != Running }

// Restore returns the record of a store that came back from an older copy in the
// given era, for a leader that knows nothing newer. The store may have lost rights
// that were handed out, so all that the bounds allowed so far counts as used.
func (r *Record) Restore(b Bounds, era topo.Era) *Record {
	out := *r
	if era <= r.Era {
		return &out
	}
	out.Era = era
	if out.State == Running {
		out.Step = 0
		out.Lost = max(out.Lost, b.Budget(out.Arrivals)-out.Reserved)
	}
	return &out
}

// Merge returns what follows from two records of a service, of two leaders or of a
// leader and a restored store. The later order counts. Of one order, a reverted one
// stays reverted, an ended one stays ended, and otherwise the smaller share and the
// greater use count.
func Merge(a, b *Record) *Record {
	if a == nil || b == nil {
		if a == nil {
			a = b
		}
		return a
	}
	if a.Number < b.Number || a.Number == b.Number && a.Target != b.Target && a.StartedMs > b.StartedMs {
		a, b = b, a
	}
	out := *a
	out.Judged = mergeJudged(b.Judged, a.Judged)
	if a.Number != b.Number || a.Target != b.Target {
		out.Judged = mergeJudged(out.Judged, []Judgement{{b.Target, b.State, b.Reason}})
		return &out
	}
	if rank(b.State) > rank(a.State) {
		out.State, out.Reason = b.State, b.Reason
	}
	out.Step = min(a.Step, b.Step)
	out.StartedMs = min(a.StartedMs, b.StartedMs)
	out.ElapsedMs = max(a.ElapsedMs, b.ElapsedMs)
	out.Reserved, out.Arrivals, out.Lost = max(a.Reserved, b.Reserved), max(a.Arrivals, b.Arrivals), max(a.Lost, b.Lost)
	out.Era, out.Proven = max(a.Era, b.Era), a.Proven && b.Proven
	return &out
}

func rank(s State) int {
	switch s {
	case Reverted:
		return 2
	case Complete:
		return 1
	}
	return 0
}

// mergeJudged returns the judgements of both lists, one for each target. One that was
// reverted stays so.
func mergeJudged(a, b []Judgement) []Judgement {
	var out []Judgement
	for _, j := range slices.Concat(a, b) {
		if j.State == Running {
			continue
		}
		i := slices.IndexFunc(out, func(o Judgement) bool { return o.Target == j.Target })
		switch {
		case i < 0:
			out = append(out, j)
		case rank(j.State) > rank(out[i].State):
			out[i] = j
		}
	}
	return out[max(0, len(out)-maxJudged):]
}

// Validate returns an error for a record that no leader writes.
func (r *Record) Validate() error {
	switch {
	case r.Service == "" || r.Target == "" || len(r.Target) > maxNameBytes:
		return errors.New("service or target is missing or too long")
	case r.State != Running && r.State != Complete && r.State != Reverted:
		return errors.Errorf("unknown state %.64q", r.State)
	case r.Number == 0 || r.DurationMs <= 0 || r.ElapsedMs < 0 || r.Step < 0 || r.Reserved < 0 || r.Arrivals < 0 || r.Lost < 0:
		return errors.New("a number is out of range")
	}
	return nil
}

// Encode returns the stored form of the record.
func (r *Record) Encode() ([]byte, error) {
	if err := r.Validate(); err != nil {
		return nil, errors.Annotatef(err, "roll-out of service %.64q", r.Service)
	}
	return json.Marshal(r)
}

// Decode returns the record in its stored form.
func Decode(data []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Annotate(err, "record of a roll-out")
	}
	if err := r.Validate(); err != nil {
		return nil, errors.Annotate(err, "record of a roll-out")
	}
	return &r, nil
}
