// Package metric holds the counters and latency histograms of a process, served
// as text. Their number is bounded by the routes of the configuration, the
// kinds of errors and the kinds of calls.
package metric

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxRoutes bounds the routes that have counters of their own.
const maxRoutes = 512

// Set is the metrics of a process. It is safe for concurrent use.
type Set struct {
	set *metrics.Set

	mu     sync.Mutex
	routes map[string]bool
}

// New returns an empty set.
func New() *Set { return &Set{set: metrics.NewSet(), routes: make(map[string]bool)} }

// RecordResponse counts an answer to a caller by its route and error kind, "served"
// when there was none.
func (s *Set) RecordResponse(route, kind string, d time.Duration) {
	s.set.GetOrCreateCounter("godwitlock_answers_total{route=" + strconv.Quote(s.routeLabel(route)) +
		",kind=" + strconv.Quote(kind) + "}").Inc()
	s.set.GetOrCreateHistogram("godwitlock_answer_seconds{kind=" + strconv.Quote(kind) + "}").Update(d.Seconds())
}

// routeLabel returns route, or "other" beyond the limit of routes.
func (s *Set) routeLabel(route string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.routes[route] && len(s.routes) >= maxRoutes {
		return "other"
	}
	s.routes[route] = true
	return route
}

// Count adds one to a counter. Name is without the prefix and labels.
func (s *Set) Count(name, label, value string) {
	full := "godwitlock_" + name + "_total"
	if label != "" {
		full += "{" + label + "=" + strconv.Quote(value) + "}"
	}
	s.set.GetOrCreateCounter(full).Inc()
}

// RecordStoreCall records the time that a call to the store took.
func (s *Set) RecordStoreCall(took time.Duration) {
	s.set.GetOrCreateHistogram("godwitlock_store_call_seconds").Update(max(0, took.Seconds()))
}

// Gauge registers a value that is read when the metrics are served.
func (s *Set) Gauge(name string, f func() float64) { s.set.NewGauge("godwitlock_"+name, f) }

// Write writes all metrics as text.
func (s *Set) Write(w io.Writer) { s.set.WritePrometheus(w) }

// ServeHTTP implements http.Handler.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.Write(w)
}
