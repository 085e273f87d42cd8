package bench

import (
	"fmt"
	"strings"
	"time"

	"godwitlock.example/godwitlock/load"
)

// maxEvidence is the maximum number of violations described in a result.
const maxEvidence = 20

// Evidence describes the attempts that violate a guarantee, each with the
// executions that the server stand-ins recorded for it. Send times are relative to
// the first attempt of the run.
func Evidence(rec *Recording) []string {
	runs := byLoadID(rec.Executions)
	executedKeys := idempotencyKeys(rec.Executions)
	var origin time.Time
	for i := range rec.Calls {
		if t := rec.Calls[i].Sent; origin.IsZero() || t.Before(origin) {
			origin = t
		}
	}
	var lines []string
	add := func(kind string, c *load.Record) {
		if len(lines) < maxEvidence {
			lines = append(lines, kind+": "+describe(c, runs[c.ID], origin))
		}
	}
	for i := range rec.Calls {
		c := &rec.Calls[i]
		if c.Outcome == "not-run" && len(runs[c.ID]) > 0 {
			add("false_not_run", c)
		}
		if c.OK() && wrongResponse(c, len(runs[c.ID]) > 0 || executedKeys[c.IdempotencyKey]) {
			add("wrong_answer", c)
		}
		if connectionBroke(c) && !ranOnLostServer(rec, runs[c.ID]) {
			add("cut_requests", c)
		}
	}
	return lines
}

func describe(c *load.Record, runs []*Execution, origin time.Time) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s of %s for %s sent at %v, ended after %v: status %d %s %s %s", c.Kind.Name, c.ID, c.Customer, c.Key,
		c.Sent.Sub(origin), c.Done.Sub(c.Sent), c.Status, c.Error, c.Outcome, c.TransportError)
	for _, e := range runs {
		_, _ = fmt.Fprintf(&b, "; executed on %s under fence %s, started after %v, took %v, cancelled %t", e.Server, e.Fence, e.Start.Sub(c.Sent), e.End.Sub(e.Start), e.Cancelled)
	}
	return b.String()
}
