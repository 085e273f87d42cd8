package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms cover latencies from 1 us to 10 min with 3 significant
	// digits.
	minLatency, maxLatency = int64(1), int64(10 * time.Minute / time.Microsecond)
	significantDigits      = 3
)

// Histogram returns a histogram of the latencies of records, in microseconds.
func Histogram(records []Record) *hdrhistogram.Histogram {
	h := hdrhistogram.New(minLatency, maxLatency, significantDigits)
	for i := range records {
		// RecordValue fails only for values outside the bounds, to which
		// the latency is clamped.
		_ = h.RecordValue(min(max(records[i].Latency().Microseconds(), minLatency), maxLatency))
	}
	return h
}

// GroupSummary summarises one group of requests. Latencies are in milliseconds,
// counted from the intended send time, and include failed requests.
type GroupSummary struct {
	Group    string         `json:"group"`
	Requests int            `json:"requests"`
	Success  float64        `json:"success"`
	P50      float64        `json:"p50_ms"`
	P90      float64        `json:"p90_ms"`
	P99      float64        `json:"p99_ms"`
	Max      float64        `json:"max_ms"`
	Errors   map[string]int `json:"errors,omitempty"`
}

// Summarise returns a summary of all requests, of each kind and of each
// customer. Repeats are left out.
func Summarise(records []Record) []GroupSummary {
	groups := map[string][]Record{}
	for _, r := range records {
		if r.Repeat {
			continue
		}
		for _, g := range []string{"all", "kind " + r.Kind.Name, "customer " + string(r.Customer)} {
			groups[g] = append(groups[g], r)
		}
	}
	lines := make([]GroupSummary, 0, len(groups))
	for _, g := range slices.Sorted(maps.Keys(groups)) {
		lines = append(lines, summary(g, groups[g]))
	}
	return lines
}

func summary(group string, records []Record) GroupSummary {
	h := Histogram(records)
	ms := func(us int64) float64 { return float64(us) / 1000 }
	l := GroupSummary{Group: group, Requests: len(records), P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()), Errors: map[string]int{}}
	ok := 0
	for i := range records {
		if records[i].OK() {
			ok++
		} else {
			l.Errors[records[i].failure()]++
		}
	}
	if len(records) > 0 {
		l.Success = float64(ok) / float64(len(records))
	}
	return l
}

// failure returns the reason why a request did not succeed.
func (r *Record) failure() string {
	switch {
	case r.Unsent:
		return "unsent"
	case r.TimedOut:
		return "timed_out"
	case r.Error != "":
		return r.Error
	case r.TransportError != "":
		return "connection_fault"
	}
	return fmt.Sprintf("status_%d", r.Status)
}

// Print writes the summaries as a table, followed by the error counts of all
// requests.
func Print(w io.Writer, lines []GroupSummary) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "group\trequests\tsuccess\tp50 ms\tp90 ms\tp99 ms\tmax ms\t")
	for _, l := range lines {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", l.Group, l.Requests, l.Success, l.P50, l.P90, l.P99, l.Max)
	}
	_ = t.Flush()
	for _, l := range lines {
		if l.Group != "all" {
			continue
		}
		names := slices.SortedFunc(maps.Keys(l.Errors), func(a, b string) int { return cmp.Compare(l.Errors[b], l.Errors[a]) })
		for _, n := range names {
			_, _ = fmt.Fprintf(w, "%8d %s\n", l.Errors[n], n)
		}
	}
}
