package node

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/metric"
)

// logLines returns the lines that were logged, without those of other events.
func logLines(t *testing.T, log *declog.Log, out *bytes.Buffer, event string) []map[string]any {
	t.Helper()
	log.Flush()
	var lines []map[string]any
	for dec := json.NewDecoder(bytes.NewReader(out.Bytes())); ; {
		var line map[string]any
		err := dec.Decode(&line)
		if err == io.EOF {
			return lines
		}
		require.NoError(t, err)
		if line["event"] == event {
			lines = append(lines, line)
		}
	}
}

// Guards against a dropped answer that leaves no line with its request's id and
// its cause.
func TestDroppedAnswerIsLogged(t *testing.T) {
	var out, metrics bytes.Buffer
	n := &Node{log: declog.New(&out, "a"), metrics: metric.New()}
	request, server := &ingress.Request{ID: "r1", Arrived: time.Now().Add(-time.Minute)}, "s1"
	request.Progress.SetSent(&server, time.Now().Add(-time.Minute/2))
	n.recordDroppedAnswer(ingress.DroppedAnswer{
		Request: request, Method: "POST", Caller: "c:1", Ahead: 2,
		Cause: ingress.CallerDisconnected, Err: io.EOF, Draining: true, Status: 200,
	})
	n.recordDroppedAnswer(ingress.DroppedAnswer{Cause: ingress.ClosedByStop})
	lines := logLines(t, n.log, &out, "answer_dropped")
	require.Len(t, lines, 2)
	line := lines[0]
	require.GreaterOrEqual(t, line["age_ms"], 60000.0)
	require.GreaterOrEqual(t, line["attempt_ms"], 30000.0)
	delete(line, "age_ms")
	delete(line, "attempt_ms")
	delete(line, "t")
	require.Equal(t, map[string]any{
		"vm": "a", "event": "answer_dropped", "request": "r1", "cause": "caller_disconnected", "status": 200.0, "ahead": 2.0,
		"draining": true, "method": "POST", "caller": "c:1", "error": "EOF", "stage": "sent", "server": "s1",
	}, line)
	n.metrics.Write(&metrics)
	require.Contains(t, metrics.String(), `godwitlock_answers_dropped_total{cause="closed_by_stop"} 1`)
}
