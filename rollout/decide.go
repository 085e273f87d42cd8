package rollout

import (
	"math"
	"time"
)

// Bounds are the limits on the exposure of a bad version, as the deployment
// guarantees them.
type Bounds struct {
	// Share of all requests of the service that a bad version may get, and Slack, a
	// number of requests in addition.
	Share, Slack float64
	// Rollback is the time after the 50th bad response within which a bad version
	// must get nothing more.
	Rollback time.Duration
}

// Enabled reports whether the deployment has roll-outs.
func (b Bounds) Enabled() bool { return b.Share > 0 && b.Slack > 0 && b.Rollback > 0 }

// RightTTL is how long a VM may use a right without contact to the leader. VMs call
// the leader about twice a second. A bad version is judged within about 1.5 s after
// its 50th bad response, so that a VM which does not learn of it stops in time, too.
func (b Bounds) RightTTL() time.Duration { return time.Duration(rightTTLShare * float64(b.Rollback)) }

// rightTTLShare is the part of Bounds.Rollback for which a right is valid.
const rightTTLShare = 0.3

// State is the state of a roll-out.
type State string

// The states of a roll-out.
const (
	Running  State = "running"
	Complete State = "complete"
	Reverted State = "reverted"
)

// step is one step of a roll-out.
type step struct {
	// share is the part of the requests that the target gets.
	share float64
	// answers is the number of responses of the target after which the next step
	// may begin.
	answers int
}

// canarySteps is the number of steps in which the share is kept within the bounds in
// any case. The later steps follow only at the end of the roll-out, so that a version
// which becomes bad later is found before.
const canarySteps = 3

// steps returns the steps of a roll-out. The canary steps use half of the bound; the
// other half is left for a version that becomes bad in the steps that follow.
func (b Bounds) steps() []step {
	return []step{
		{b.Share * 0.1, 10}, {b.Share * 0.25, 20}, {b.Share * 0.5, 0},
		{min(1, b.Share*2), 20}, {min(1, b.Share*5), 20}, {1, 0},
	}
}

// StepShare returns the share of the requests that the target gets in a step, if the
// service gets the given number of requests per second. With few requests, the first
// steps have a larger share, so that they last for stepTime; Slack covers that.
func (b Bounds) StepShare(n int, rate float64) float64 {
	steps := b.steps()
	st := steps[min(max(n, 0), len(steps)-1)]
	if n >= canarySteps-1 || rate <= 0 {
		return st.share
	}
	most := steps[canarySteps-1].share
	share := float64(st.answers) / (rate * stepTime.Seconds())
	// Each change of the share changes which servers get requests.
	share = math.Ceil(shareGrain*share/most) / shareGrain * most
	return min(max(share, st.share), most)
}

const (
	// stepTime is the time in which a step should get its responses.
	stepTime = 2 * time.Second
	// shareGrain is the number of values that the share of a step may have.
	shareGrain = 5
)

// Whole reports whether a step gives the target all requests.
func (b Bounds) Whole(n int) bool { return n >= len(b.steps())-1 }

// Budget returns how many requests the target may have been given by the canary steps
// of a service that has had the given number of requests. The rest of the bound is
// left for the steps that follow and for requests that are counted late.
func (b Bounds) Budget(arrivals int64) int64 {
	return int64(b.Share*0.6*float64(arrivals) + b.Slack*0.6)
}

const (
	// minStep is the shortest time of a step: two reports of a VM and the next call
	// for its rights.
	minStep = time.Second
	// holdStrength is the strength of the evidence against a version from which its
	// share does not grow, and doubtStrength the one from which it is not completed
	// at the end.
	holdStrength, doubtStrength = 4, 6
	// shiftTime is the time that the steps beyond the canary take, besides the time
	// in which the last requests end at the other versions. They begin as late as
	// possible, because a version may become bad later.
	shiftTime = 6 * time.Second
	// endMargin is the part of a roll-out before its deadline by which it is judged,
	// within minEndMargin and maxEndMargin, because writes to the store may fail.
	endMargin                  = 0.05
	minEndMargin, maxEndMargin = time.Second, 5 * time.Second
)

// Situation is what the leader knows of a running roll-out.
type Situation struct {
	// Elapsed is the time since the order, and Duration how long the roll-out may
	// take.
	Elapsed, Duration time.Duration
	// InStep is the time since the present step began, and StepAnswers the number of
	// responses of the target since then.
	InStep      time.Duration
	StepAnswers int
	Finding     Finding
	// StoreAnswers says that the leader can write to the store at present.
	StoreAnswers bool
	// Targets and Others are the numbers of servers of the target and of other
	// versions that can be used.
	Targets, Others int
	// Settle is how long requests run at most. Drained says that servers of other
	// versions own no keys.
	Settle  time.Duration
	Drained bool
}

// Decision is what follows for a roll-out. Step counts for a running one.
type Decision struct {
	State  State
	Step   int
	Reason string
}

// reasonNoServer says that the target was not exposed, since no server has it.
const reasonNoServer = "no usable server has the target version"

// Decide returns the next state and step of a roll-out in the given step.
func Decide(b Bounds, n int, s Situation) Decision {
	steps := b.steps()
	n = min(max(n, 0), len(steps)-1)
	margin := min(max(time.Duration(endMargin*float64(s.Duration)), minEndMargin), maxEndMargin, s.Duration/4)
	end := s.Duration - margin
	switch {
	case s.Finding.Bad:
		return Decision{Reverted, n, "bad: " + string(s.Finding.Cause)}
	case s.Targets == 0 && s.Elapsed >= s.Duration/2:
		return Decision{Reverted, n, reasonNoServer}
	case s.Targets > 0 && s.Others == 0 && s.StoreAnswers && s.Finding.TargetAnswers+s.Finding.OtherAnswers == 0:
		return Decision{Complete, n, "all servers have the target version"}
	case s.Elapsed >= end && !s.Finding.Enough:
		return Decision{Reverted, n, "too few responses to judge the version"}
	case s.Elapsed >= end && s.Finding.Strength >= doubtStrength:
		return Decision{Reverted, n, "doubtful: " + string(s.Finding.Cause)}
	case s.Elapsed >= end:
		return Decision{Complete, n, "good"}
	case n == len(steps)-1 && s.Drained && s.InStep >= max(2*minStep, s.Settle) && s.Finding.Strength < holdStrength:
		return Decision{Complete, n, "good"}
	}
	shift := min(shiftTime+s.Settle, s.Duration/2)
	mayGrow := n < len(steps)-1 && s.StoreAnswers && s.InStep >= minStep && s.StepAnswers >= steps[n].answers &&
		s.Finding.Strength < holdStrength
	if n == canarySteps-1 {
		mayGrow = mayGrow && s.Elapsed >= end-shift && s.Finding.Enough
	}
	if mayGrow {
		n++
	}
	return Decision{Running, n, ""}
}

// minCanaries is the least number of servers of the target that get requests. With
// fewer, slow hosts could not be told from a slow version.
const minCanaries = 6

// Canaries returns how many of n servers of the target get requests at a share of all
// requests: so many that each has as much to do as a server has at full share.
func Canaries(n int, share float64) int {
	return min(n, max(minCanaries, int(math.Ceil(share*float64(n)))))
}
