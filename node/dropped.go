package node

import "godwitlock.example/godwitlock/ingress"

// recordDroppedAnswer logs and counts a request whose answer was not delivered.
func (n *Node) recordDroppedAnswer(d ingress.DroppedAnswer) {
	n.metrics.Count("answers_dropped", "cause", string(d.Cause))
	e := n.log.Event("answer_dropped")
	if e == nil {
		return
	}
	if d.Request != nil {
		e.Str("request", d.Request.ID)
	}
	e.Str("cause", string(d.Cause)).Int("status", d.Status).Int("ahead", d.Ahead).Bool("draining", d.Draining).
		Dur("age_ms", d.Age()).Str("method", d.Method).Str("caller", d.Caller).Err(d.Err).Send()
}
