package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/errkind"
)

var start = time.Unix(1000, 0)

func budgetLeft() bool      { return true }
func budgetExhausted() bool { return false }

// Guards against a second run of a request that is not repeatable, and against
// the answer "not run" to a request that may have run. Each case covers one row
// of the rules.
func TestNextAction(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		outcome    Outcome
		withdraw   func() bool
		want       Action
	}{
		{"answered", false, Answered, budgetLeft, Relay},
		{"rejected, repeatable", true, Rejected, budgetLeft, Retry},
		{"rejected, not repeatable", false, Rejected, budgetLeft, Retry},
		{"rejected, budget used up", false, Rejected, budgetExhausted, Refuse},
		{"not owner", false, NotOwner, budgetLeft, AwaitOwner},
		{"not sent", false, NotSent, budgetExhausted, AwaitOwner},
		{"answer lost, repeatable", true, AnswerLost, budgetLeft, Retry},
		{"answer lost, repeatable, budget used up", true, AnswerLost, budgetExhausted, ReportUnknown},
		{"answer lost, not repeatable", false, AnswerLost, budgetLeft, ReportUnknown},
		{"failed, repeatable", true, Failed, budgetLeft, Retry},
		{"failed, repeatable, budget used up", true, Failed, budgetExhausted, Relay},
		{"failed, not repeatable", false, Failed, budgetLeft, Relay},
		{"false refusal, not repeatable", false, FalseRefusal, budgetLeft, ReportUnknown},
		{"false refusal, not repeatable, budget used up", false, FalseRefusal, budgetExhausted, ReportUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := Attempts{Repeatable: c.repeatable, Max: 3, Deadline: start.Add(time.Second)}
			require.Equal(t, c.want, a.NextAction(start, c.outcome, c.withdraw))
		})
	}
}

// Guards against the answer "not run" when an earlier attempt may have run.
func TestRefusalAfterLostAnswerIsUnknown(t *testing.T) {
	a := Attempts{Repeatable: true, Max: 2, Deadline: start.Add(time.Second)}
	require.Equal(t, Retry, a.NextAction(start, AnswerLost, budgetLeft))
	require.Equal(t, ReportUnknown, a.NextAction(start, Rejected, budgetLeft))
	require.Equal(t, errkind.OutcomeUnknown, a.AdjustKind(errkind.QueueFull))
	require.Equal(t, errkind.DeadlineAfterRun, a.AdjustKind(errkind.DeadlineAfterRun))
}

// Guards against more attempts than the route allows, and against attempts that
// cannot be answered in time.
func TestAttemptsAreBounded(t *testing.T) {
	a := Attempts{Repeatable: true, Max: 2, Deadline: start.Add(time.Second)}
	require.Equal(t, Retry, a.NextAction(start, Rejected, budgetLeft))
	require.Equal(t, Refuse, a.NextAction(start, Rejected, budgetLeft))
	late := Attempts{Repeatable: true, Max: 5, Deadline: start.Add(minAttemptTime / 2)}
	require.Equal(t, Refuse, late.NextAction(start, Rejected, budgetLeft))
	unsent := Attempts{Max: 5, Deadline: start.Add(time.Second)}
	for range maxUnsentAttempts - 1 {
		require.Equal(t, AwaitOwner, unsent.NextAction(start, NotSent, budgetExhausted))
	}
	require.Equal(t, Refuse, unsent.NextAction(start, NotSent, budgetExhausted))
}
