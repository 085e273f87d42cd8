package ingress

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against starting a request whose first bytes come when the last response
// is chosen.
func TestNoRequestIsReadBehindTheLastAnswer(t *testing.T) {
	var s connState
	require.True(t, s.wait(false))
	require.True(t, s.beginRead())
	require.Equal(t, waiting, s.start(waiting, 0, false))
	require.True(t, s.wait(false))
	require.True(t, s.beginAnswer(false, true))
	require.False(t, s.beginRead())
}
