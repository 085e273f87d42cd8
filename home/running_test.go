package home

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against reporting a key as hot, and moving it, because a server with
// little load received two requests for it.
func TestFewRequestsAreNotHot(t *testing.T) {
	var l loadCounter
	now := time.Unix(1000, 0)
	for _, c := range []struct{ requests, hot int }{{2, 0}, {19, 0}, {20, 1}} {
		l.start(now)
		for range c.requests {
			l.count("reader-1")
		}
		now = now.Add(loadWindow)
		_, hot := l.lastWindow(now)
		require.Len(t, hot, c.hot)
	}
}
