package execution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/errkind"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against a row of the table that differs from docs/design.md section
// 4.3. Checks the action after a first failure at each point.
func TestTable(t *testing.T) {
	const notRun, unknown = errkind.ServerUnreachable, errkind.OutcomeUnknown
	rows := []struct {
		point             Point
		kind              errkind.Kind
		idempotent, other Action
		wantKind          errkind.Kind
	}{
		{EntryRefused, errkind.RateExceeded, Answer, Answer, errkind.RateExceeded},
		{HomeRefused, errkind.QueueFull, Retry, Retry, errkind.QueueFull},
		{HomeConnect, notRun, Retry, Retry, notRun},
		{HomeStream, unknown, Retry, Answer, unknown},
		{ServerConnect, notRun, Retry, Retry, notRun},
		{ServerWrite, unknown, Retry, Answer, unknown},
		{ServerNotRun, errkind.ServerRefused, Retry, Retry, errkind.ServerRefused},
		{ServerError, unknown, ForwardResponse, ForwardResponse, unknown},
		{ServerHead, unknown, Retry, Answer, unknown},
		{ServerBody, unknown, Abort, Abort, unknown},
		{Queued, errkind.DeadlineBeforeRun, Answer, Answer, errkind.DeadlineBeforeRun},
		{Dispatched, errkind.DeadlineAfterRun, Answer, Answer, errkind.DeadlineAfterRun},
		{ResponseMismatch, unknown, Retry, Answer, unknown},
	}
	require.Len(t, rows, len(Points()))
	for _, row := range rows {
		t.Run(row.point.String(), func(t *testing.T) {
			for _, idempotent := range []bool{true, false} {
				want := row.other
				if idempotent {
					want = row.idempotent
				}
				a := Attempts{Idempotent: idempotent}
				require.Equal(t, want, a.Failed(row.point, row.kind, true, t0, &Budget{}, testRand()).Action)
				if want != Retry {
					continue
				}
				a = Attempts{Idempotent: idempotent}
				v := a.Failed(row.point, row.kind, false, t0, &Budget{}, testRand())
				require.Equal(t, Verdict{Action: Answer, Kind: row.wantKind}, v, "body cannot be sent again")
			}
		})
	}
}

// Guards against the loss of the failure point when the error is wrapped, and
// against a kind from another VM that is treated as "not run" although its
// outcome is not "not run".
func TestPointOf(t *testing.T) {
	for _, p := range Points() {
		err := fmt.Errorf("route: %w", Fail(p, errkind.OutcomeUnknown, "m", nil))
		require.Equal(t, p, PointOf(err))
	}
	for _, k := range errkind.Kinds() {
		if PointOf(errkind.New(k, "m")).Rule().NotRun {
			require.Equal(t, errkind.NotRun, k.Answer().Outcome, k.String())
		}
	}
	require.False(t, PointOf(fmt.Errorf("plain")).Rule().NotRun)
}

// attemptsProperty guards against a second run of a non-idempotent request,
// and against "not run" after an attempt that may have run.
func attemptsProperty(t *rapid.T) {
	a := Attempts{Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: t0.Add(time.Second)}
	now, budget, rng := t0, &Budget{}, testRand()
	mayHaveRun := false
	for sent := 1; ; sent++ {
		require.LessOrEqual(t, sent, 1+MaxRetries)
		require.False(t, mayHaveRun && !a.Idempotent, "non-idempotent request retried after an attempt that may have run")
		p := rapid.SampledFrom(Points()).Draw(t, "point")
		kind := rapid.SampledFrom(errkind.Kinds()).Draw(t, "kind")
		mayHaveRun = mayHaveRun || !pointsBeforeRun[p]
		v := a.Failed(p, kind, rapid.Bool().Draw(t, "resend"), now, budget, rng)
		if v.Action != Retry {
			if mayHaveRun && v.Action == Answer {
				require.NotEqual(t, errkind.NotRun, v.Kind.Answer().Outcome)
			}
			return
		}
		now = now.Add(v.Delay + time.Duration(rapid.IntRange(0, 600).Draw(t, "took_ms"))*time.Millisecond)
		require.Positive(t, v.Delay)
	}
}

// pointsBeforeRun are the points at which the request cannot have run.
var pointsBeforeRun = map[Point]bool{
	EntryRefused: true, HomeRefused: true, HomeConnect: true, ServerConnect: true, ServerNotRun: true, Queued: true,
}

func TestAttempts(t *testing.T) { rapid.Check(t, attemptsProperty) }

func FuzzAttempts(f *testing.F) { f.Fuzz(rapid.MakeFuzz(attemptsProperty)) }

// Guards against a retry that starts after the deadline.
func TestNoRetryPastDeadline(t *testing.T) {
	a := Attempts{Idempotent: true, Deadline: t0.Add(MeanFirstDelay / 4)}
	v := a.Failed(ServerConnect, errkind.ServerUnreachable, true, t0, &Budget{}, testRand())
	require.Equal(t, Answer, v.Action)
	_, ok := TimeoutMS(t0.Add(999*time.Microsecond), t0)
	require.False(t, ok)
}

// Guards against a budget that allows more or fewer retries than a naive count
// over the last ten seconds.
func TestBudgetAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type event struct {
			second int64
			retry  bool
		}
		var b Budget
		var events []event
		now := t0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if len(events) == 0 {
				now = t0
			}
			second := int64(now.Sub(t0) / time.Second)
			if len(events) == 0 || rapid.IntRange(0, 3).Draw(t, "retry") > 0 {
				b.Request(now)
				events = append(events, event{second, false})
				continue
			}
			requests, retries := 0.0, 0.0
			for _, e := range events {
				if second-e.second < 10 {
					if e.retry {
						retries++
					} else {
						requests++
					}
				}
			}
			allowed := retries+1 <= max(3, 0.1*requests)
			require.Equal(t, allowed, b.Withdraw(now))
			if allowed {
				events = append(events, event{second, true})
			}
		}
	})
}
