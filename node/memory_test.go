package node

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/membudget"
)

// Guards against a log that is filled by refusals, and against a burst that leaves no
// line.
func TestMemoryLogHasALineForEachEndOfABurst(t *testing.T) {
	var out bytes.Buffer
	n := &Node{
		memory: membudget.New(1000), log: declog.New(&out, "vm"),
		ingress: ingress.NewServer(ingress.Headers{}, nil, nil),
	}
	var l memoryLog
	now := time.Unix(1000, 0)
	for range 3 {
		n.memory.Add(membudget.Bodies, 990)
		for range 50 {
			require.False(t, n.memory.Take(membudget.Heads, membudget.NewHead, 10))
			l.tick(n, now)
			now = now.Add(time.Second)
		}
		n.memory.Give(membudget.Bodies, 990)
		for range 10 {
			l.tick(n, now)
			now = now.Add(time.Second)
		}
	}
	n.log.Flush()
	var events []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var e map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &e))
		events = append(events, e["event"].(string))
		switch e["event"] {
		case "memory_short":
			require.EqualValues(t, 990, e["bodies"])
			require.EqualValues(t, 1000, e["limit"])
		case "memory_enough":
			require.EqualValues(t, 50, e["heads_refused"])
			require.EqualValues(t, 49_000, e["after_ms"])
		}
	}
	require.Equal(t, strings.Fields(strings.Repeat("memory_short memory_enough ", 3)), events)
}
