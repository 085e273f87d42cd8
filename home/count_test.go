package home

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against keys that are reported as hot, and moved, because a server
// with little load saw two requests for them.
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
