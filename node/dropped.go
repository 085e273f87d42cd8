package node

import (
	"cmp"
	"slices"

	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/ingress"
)

// recordDroppedAnswer logs and counts a request whose answer was not delivered.
func (n *Node) recordDroppedAnswer(d ingress.DroppedAnswer) {
	n.answersDropped.Add(1)
	n.metrics.Count("answers_dropped", "cause", string(d.Cause))
	e := n.log.Event("answer_dropped")
	if e == nil {
		return
	}
	if d.Request != nil {
		server, took := d.Request.Progress.Attempt()
		e.Str("request", d.Request.ID).Str("stage", d.Request.Progress.Stage().String())
		if server != "" {
			e.Str("server", server).Dur("attempt_ms", took)
		}
	}
	e.Str("cause", string(d.Cause)).Int("status", d.Status).Int("ahead", d.Ahead).Bool("draining", d.Draining).
		Dur("age_ms", d.Age()).Str("method", d.Method).Str("caller", d.Caller).Err(d.Err).Send()
}

// recordUnread logs the bytes that a closed connection had received and that were
// not read as a request.
func (n *Node) recordUnread(u ingress.Unread) {
	n.metrics.Count("connections_unread", "", "")
	n.log.Event("bytes_unread").Int64("bytes", u.Bytes).Strs("requests", u.RequestIDs).Str("cause", string(u.Cause)).
		Bool("draining", u.Draining).Dur("since_write_ms", u.SinceWrite).Str("caller", u.Caller).Send()
}

// recordCutConnections logs the connections that are open at the end of a stop,
// those with outstanding requests first.
func (n *Node) recordCutConnections(open []ingress.OpenConnection) {
	n.log.Event("connections_cut").Int("connections", len(open)).Send()
	slices.SortStableFunc(open, func(a, b ingress.OpenConnection) int {
		return cmp.Compare(len(b.Outstanding), len(a.Outstanding))
	})
	for _, c := range open {
		n.recordCutConnection(c)
	}
}

// recordCutConnection logs a connection that is open at the end of a stop, and its
// outstanding requests as dropped answers.
func (n *Node) recordCutConnection(c ingress.OpenConnection) {
	requests := zerolog.Arr()
	for _, d := range c.Outstanding {
		id := ""
		if d.Request != nil {
			id = d.Request.ID
		}
		requests.Str(id)
	}
	n.log.Event("connection_cut").Str("caller", c.Caller).Str("state", connectionState(c)).
		Array("requests", requests).Int64("unread_bytes", c.UnreadBytes).Dur("since_write_ms", c.SinceWrite).Send()
	for _, d := range c.Outstanding {
		n.recordDroppedAnswer(d)
	}
}

func connectionState(c ingress.OpenConnection) string {
	switch {
	case c.Closing:
		return "closing"
	case len(c.Outstanding) > 0:
		return "outstanding"
	case c.UnreadBytes > 0:
		return "reading"
	}
	return "idle"
}
