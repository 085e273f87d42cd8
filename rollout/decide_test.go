package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// good is the situation of a good version at an early time of its roll-out.
func goodSituation() Situation {
	return Situation{
		Elapsed: 10 * time.Second, Duration: 60 * time.Second, InStep: 5 * time.Second, StepAnswers: 100, StoreAnswers: true,
		Targets: 6, Others: 6, Settle: 2 * time.Second, Drained: true, Finding: Finding{Enough: true, TargetAnswers: 100, OtherAnswers: 1000},
	}
}

// Guards against steps that begin without evidence or without the store, too early, or
// against the evidence, and against ends that nothing justifies.
func TestDecide(t *testing.T) {
	const last = 5
	cases := map[string]struct {
		step   int
		change func(*Situation)
		want   Decision
	}{
		"grows":                     {0, func(*Situation) {}, Decision{Running, 1, ""}},
		"step too short":            {0, func(s *Situation) { s.InStep = minStep - 1 }, Decision{Running, 0, ""}},
		"too few in the step":       {0, func(s *Situation) { s.StepAnswers = 9 }, Decision{Running, 0, ""}},
		"store away":                {0, func(s *Situation) { s.StoreAnswers = false }, Decision{Running, 0, ""}},
		"evidence against it":       {0, func(s *Situation) { s.Finding.Strength = holdStrength }, Decision{Running, 0, ""}},
		"canary is kept":            {2, func(*Situation) {}, Decision{Running, 2, ""}},
		"shift":                     {2, func(s *Situation) { s.Elapsed = 50 * time.Second }, Decision{Running, 3, ""}},
		"shift, too few responses":  {2, func(s *Situation) { s.Elapsed, s.Finding.Enough = 50*time.Second, false }, Decision{Running, 2, ""}},
		"shift, evidence":           {4, func(s *Situation) { s.Elapsed, s.Finding.Strength = 50*time.Second, holdStrength }, Decision{Running, 4, ""}},
		"shift, store away":         {4, func(s *Situation) { s.Elapsed, s.StoreAnswers = 50*time.Second, false }, Decision{Running, 4, ""}},
		"done":                      {last, func(s *Situation) { s.Elapsed = 54 * time.Second }, Decision{Complete, last, "good"}},
		"requests run at others":    {last, func(s *Situation) { s.Elapsed, s.InStep = 54*time.Second, s.Settle-1 }, Decision{Running, last, ""}},
		"others own keys":           {last, func(s *Situation) { s.Elapsed, s.Drained = 54*time.Second, false }, Decision{Running, last, ""}},
		"evidence in the last step": {last, func(s *Situation) { s.Elapsed, s.Finding.Strength = 54*time.Second, holdStrength }, Decision{Running, last, ""}},
		"end":                       {2, func(s *Situation) { s.Elapsed = 57 * time.Second }, Decision{Complete, 2, "good"}},
		"end, too few":              {2, func(s *Situation) { s.Elapsed, s.Finding.Enough = 57*time.Second, false }, Decision{Reverted, 2, "too few responses to judge the version"}},
		"end, doubts": {2, func(s *Situation) {
			s.Elapsed, s.Finding.Strength, s.Finding.Cause = 57*time.Second, doubtStrength, Slow
		}, Decision{Reverted, 2, "doubtful: slow"}},
		"bad":                {1, func(s *Situation) { s.Finding.Bad, s.Finding.Cause = true, Failures }, Decision{Reverted, 1, "bad: failures"}},
		"bad, store away":    {1, func(s *Situation) { s.Finding.Bad, s.Finding.Cause, s.StoreAnswers = true, Slow, false }, Decision{Reverted, 1, "bad: slow"}},
		"bad in the last":    {last, func(s *Situation) { s.Finding.Bad, s.Finding.Cause = true, Failures }, Decision{Reverted, last, "bad: failures"}},
		"no server yet":      {0, func(s *Situation) { s.Targets, s.StepAnswers = 0, 0 }, Decision{Running, 0, ""}},
		"no server":          {0, func(s *Situation) { s.Targets, s.StepAnswers, s.Elapsed = 0, 0, 30*time.Second }, Decision{Reverted, 0, reasonNoServer}},
		"nothing to replace": {0, func(s *Situation) { s.Others, s.Finding = 0, Finding{} }, Decision{Complete, 0, "all servers have the target version"}},
	}
	for name, c := range cases {
		s := goodSituation()
		c.change(&s)
		require.Equal(t, c.want, Decide(playBounds, c.step, s), name)
	}
}

// Guards against rights that are given before they are stored, or beyond what the bounds
// allow to canaries.
func TestRightsAreReservedWithinTheBudget(t *testing.T) {
	now, p := time.Unix(1e6, 0), Process{VM: "a", Boot: "1"}
	c := NewController(playBounds, Begin(Order{Service: "s", Target: "v2", Duration: time.Hour}, nil, 0, 0), false, now)
	use := Use{Right: Right{Target: "v2", Number: 1}, Arrivals: 100}
	granted := func() int64 { return c.ledger.Granted(p) }
	c.Report(now, p, use, nil)
	require.Zero(t, granted(), "nothing is stored")
	arrivals := int64(100)
	ms := int64(0)
	for range 400 {
		now, ms = now.Add(100*time.Millisecond), ms+100
		c.Tick(now, ms, Surroundings{StoreAnswers: true, Targets: 6, Others: 6})
		c.rec.Step = 2
		if _, ok := c.Pending(now); ok {
			c.StoreFailed(nil)
		}
		c.Report(now, p, use, nil)
		arrivals += use.Arrivals
	}
	require.Zero(t, granted(), "no write succeeded")
	for range 2000 {
		now, ms = now.Add(100*time.Millisecond), ms+100
		c.Tick(now, ms, Surroundings{StoreAnswers: true, Targets: 6, Others: 6})
		c.rec.Step = 2
		if _, ok := c.Pending(now); ok {
			c.Stored()
		}
		use.Used = granted()
		// More than its share of the requests asks for rights.
		c.ledger.credit = 1e6
		c.Report(now, p, use, nil)
		arrivals += use.Arrivals
		require.LessOrEqual(t, granted(), c.stored.Reserved)
		require.LessOrEqual(t, granted(), playBounds.Budget(arrivals))
	}
	require.Greater(t, granted(), playBounds.Budget(arrivals)/2)
	require.Less(t, float64(playBounds.Budget(arrivals)), playBounds.Share*float64(arrivals)+playBounds.Slack)

	// The next leader counts what was reserved as used, whether or not it was given.
	next := NewController(playBounds, c.stored, true, now)
	next.Report(now, p, use, nil)
	require.Zero(t, next.ledger.Granted(p))
	require.Equal(t, c.stored.Reserved, next.base)
}
