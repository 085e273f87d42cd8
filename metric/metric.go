// Package metric holds the counters, gauges and latency histograms of a process
// and serves them in the Prometheus text format. The number of series is bounded
// by the configured routes, the error kinds and the kinds of store calls.
package metric

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxRoutes bounds the number of distinct values of the route label.
const maxRoutes = 512

// Set holds the metrics of a process. It is safe for concurrent use.
type Set struct {
	set *metrics.Set

	mu     sync.Mutex
	routes map[string]bool
}

// New returns an empty set.
func New() *Set { return &Set{set: metrics.NewSet(), routes: make(map[string]bool)} }

// RecordResponse records one response to a caller and its latency d. The kind is
// the error kind, or "served" for a response without an error.
func (s *Set) RecordResponse(route, kind string, d time.Duration) {
	s.set.GetOrCreateCounter("godwitlock_answers_total{route=" + strconv.Quote(s.routeLabel(route)) +
		",kind=" + strconv.Quote(kind) + "}").Inc()
	s.set.GetOrCreateHistogram("godwitlock_answer_seconds{kind=" + strconv.Quote(kind) + "}").Update(d.Seconds())
}

// routeLabel returns route, or "other" for a new route once maxRoutes routes are
// known.
func (s *Set) routeLabel(route string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.routes[route] && len(s.routes) >= maxRoutes {
		return "other"
	}
	s.routes[route] = true
	return route
}

// Count increments a counter by one. Name is given without the "godwitlock_"
// prefix, the "_total" suffix and the labels; an empty label means no label.
func (s *Set) Count(name, label, value string) {
	full := "godwitlock_" + name + "_total"
	if label != "" {
		full += "{" + label + "=" + strconv.Quote(value) + "}"
	}
	s.set.GetOrCreateCounter(full).Inc()
}

// RecordStoreCall records the duration of a call to the store. Negative
// durations are recorded as zero.
func (s *Set) RecordStoreCall(took time.Duration) {
	s.set.GetOrCreateHistogram("godwitlock_store_call_seconds").Update(max(0, took.Seconds()))
}

// Gauge registers a gauge whose value is read from f each time the metrics are
// served. Name is given without the "godwitlock_" prefix.
func (s *Set) Gauge(name string, f func() float64) { s.set.NewGauge("godwitlock_"+name, f) }

// Write writes all metrics to w in the Prometheus text format.
func (s *Set) Write(w io.Writer) { s.set.WritePrometheus(w) }

// ServeHTTP serves all metrics in the Prometheus text format.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.Write(w)
}
