package errkind

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a kind without a row in the table of answers.
func TestEveryKindHasARow(t *testing.T) {
	names := map[string]Kind{}
	for _, k := range Kinds() {
		a := k.Answer()
		require.NotEmpty(t, a.Name, "kind %d", k)
		require.GreaterOrEqual(t, a.Status, 400, a.Name)
		require.NotZero(t, a.Outcome, a.Name)
		require.NotContains(t, names, a.Name)
		names[a.Name] = k
	}
}

// Guards against a kind that is marked repeatable although the request may have
// run, which would allow a second run.
func TestOnlyNotRunIsRepeatable(t *testing.T) {
	for _, k := range Kinds() {
		if a := k.Answer(); a.Repeatable {
			require.Equal(t, NotRun, a.Outcome, a.Name)
		}
	}
}

// Guards against losing the kind of an error that is wrapped.
func TestOfFindsWrappedKind(t *testing.T) {
	err := fmt.Errorf("dispatch: %w", New(QueueFull, "queue of %s is full", "s1"))
	require.Equal(t, QueueFull, Of(err))
	require.Equal(t, Internal, Of(fmt.Errorf("plain")))
}
