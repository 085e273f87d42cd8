package forward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/view"
)

// refusingSlots refuses all slots.
type refusingSlots struct{ cause permit.Cause }

func (s refusingSlots) Acquire(context.Context, *view.Snapshot, string, permit.Request) (Slot, permit.Decision) {
	return nil, permit.Decision{Verdict: permit.Refused, RetryAfter: time.Second, Cause: s.cause}
}

// Guards against refusals of a home VM whose cause does not get into the decision log,
// and against an empty cause where the home VM has an earlier version.
func TestRefusedEventNamesTheCause(t *testing.T) {
	for cause := range permit.Cause(permit.Causes) {
		tf := newTestForwarder(t, okResponse)
		tf.Slots = refusingSlots{cause}
		lines := tf.logged(t)
		tf.Serve(t.Context(), newRequest("/r/1"))
		refused := lines("refused")
		require.Len(t, refused, 1)
		require.Equal(t, "queue_full", refused[0]["kind"])
		if cause == permit.NoCause {
			require.NotContains(t, refused[0], "cause")
			continue
		}
		require.Equal(t, cause.String(), refused[0]["cause"])
	}
}

// Guards against the cause of an earlier refusal in the event of a request that was
// refused for another reason.
func TestCauseIsThatOfTheLastRefusal(t *testing.T) {
	tf := newTestForwarder(t, okResponse)
	lines := tf.logged(t)
	r := newRequest("/r/1")
	r.Deadline = time.Now().Add(minAttemptTime / 2)
	tf.Serve(t.Context(), r)
	refused := lines("refused")
	require.Len(t, refused, 1)
	require.NotContains(t, refused[0], "cause")
}
