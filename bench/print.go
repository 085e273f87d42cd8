package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// row is one printed metric or violation count.
type row struct {
	name  string
	value string
}

func (r *Result) rows() []row {
	m, violations := r.Measures, r.Violations
	num := func(name string, v float64, digits int) row { return row{name, fmt.Sprintf("%.*f", digits, v)} }
	count := func(name string, v int) row { return row{name, fmt.Sprint(v)} }
	return []row{
		num("imbalance", m.Imbalance, 3), num("churn", m.Churn, 3), num("unavailable_ms", m.UnavailableMS, 0),
		num("data_centre_leave_return_success", m.DataCentreSuccess, 4),
		num("slowed_p50_ms", m.SlowedP50MS, 1), num("slowed_p99_ms", m.SlowedP99MS, 1),
		num("worst_customer_success", m.WorstSuccess, 4), num("worst_customer_p99_ms", m.WorstP99MS, 1),
		num("refused_within_rate", m.RefusedWithinRate, 5),
		count("double_owner", violations.DoubleOwner), count("double_run", violations.DoubleRun), count("false_not_run", violations.FalseNotRun),
		count("rate_excess", violations.RateExcess), count("wrong_answer", violations.WrongAnswer),
		count("lost_assignment", violations.LostAssignment), count("reverted_config", violations.RevertedConfig),
		count("cut_requests", violations.CutRequests),
	}
}

// Print writes a table of the metrics and violation counts with one column per
// result. All results must have the same workload and seed.
func Print(w io.Writer, results []*Result) {
	if len(results) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%s, seed %d\t", results[0].Workload, results[0].Seed)
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t", r.Policy)
	}
	_, _ = fmt.Fprintln(t)
	for i, first := range results[0].rows() {
		_, _ = fmt.Fprintf(t, "%s\t", first.name)
		for _, r := range results {
			_, _ = fmt.Fprintf(t, "%s\t", r.rows()[i].value)
		}
		_, _ = fmt.Fprintln(t)
	}
	_ = t.Flush()
}
