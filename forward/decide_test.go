package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/errkind"
)

var start = time.Unix(1000, 0)

func yes() bool { return true }
func no() bool  { return false }

// Guards against a second run of a request that is not repeatable, and against
// a refusal that says "not run" of one that may have run: a row of the table
// per case.
func TestWhatFollowsAnAttempt(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		outcome    Outcome
		withdraw   func() bool
		want       Action
	}{
		{"delivered", false, Delivered, yes, Pass},
		{"shed, repeatable", true, Shed, yes, Again},
		{"shed, not repeatable", false, Shed, yes, Again},
		{"shed, budget used up", false, Shed, no, Refuse},
		{"not owner", false, NotOwner, yes, AwaitOwner},
		{"not sent", false, NotSent, no, AwaitOwner},
		{"lost, repeatable", true, Lost, yes, Again},
		{"lost, repeatable, budget used up", true, Lost, no, Unknown},
		{"lost, not repeatable", false, Lost, yes, Unknown},
		{"failed, repeatable", true, Failed, yes, Again},
		{"failed, repeatable, budget used up", true, Failed, no, Pass},
		{"failed, not repeatable", false, Failed, yes, Pass},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := Attempts{Repeatable: c.repeatable, Max: 3, Deadline: start.Add(time.Second)}
			require.Equal(t, c.want, a.Next(start, c.outcome, c.withdraw))
		})
	}
}

// Guards against "not run" after an earlier attempt that may have run.
func TestRefusalAfterALostAttemptIsUnknown(t *testing.T) {
	a := Attempts{Repeatable: true, Max: 2, Deadline: start.Add(time.Second)}
	require.Equal(t, Again, a.Next(start, Lost, yes))
	require.Equal(t, Unknown, a.Next(start, Shed, yes))
	require.Equal(t, errkind.OutcomeUnknown, a.Truthful(errkind.QueueFull))
	require.Equal(t, errkind.DeadlineAfterRun, a.Truthful(errkind.DeadlineAfterRun))
}

// Guards against more servers than the route allows, and against attempts that
// cannot be answered in time.
func TestAttemptsAreBounded(t *testing.T) {
	a := Attempts{Repeatable: true, Max: 2, Deadline: start.Add(time.Second)}
	require.Equal(t, Again, a.Next(start, Shed, yes))
	require.Equal(t, Refuse, a.Next(start, Shed, yes))
	late := Attempts{Repeatable: true, Max: 5, Deadline: start.Add(minAttempt / 2)}
	require.Equal(t, Refuse, late.Next(start, Shed, yes))
	unsent := Attempts{Max: 5, Deadline: start.Add(time.Second)}
	for range maxUnsent - 1 {
		require.Equal(t, AwaitOwner, unsent.Next(start, NotSent, no))
	}
	require.Equal(t, Refuse, unsent.Next(start, NotSent, no))
}
