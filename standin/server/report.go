package server

import (
	"net/http"
	"time"
)

// reportWindow is the period over which /load reports the request rate.
const reportWindow = time.Second

// report is the response of /health and /load. It may be out of date if a lag
// is set.
type report struct {
	measuredAt time.Time
	Status     string  `json:"status"`
	BootID     string  `json:"boot_id"`
	Cold       bool    `json:"cold"`
	Running    int     `json:"running"`
	Capacity   int     `json:"capacity"`
	Rate       float64 `json:"rate_per_second"`
}

// currentReport returns the last report, and first renews it if it is older
// than the lag.
func (s *Server) currentReport() report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.report.measuredAt.IsZero() || now.Sub(s.report.measuredAt) >= s.faults.Lag {
		s.report = s.measure(now)
	}
	r := s.report
	if s.faults.Health != "" {
		r.Status = s.faults.Health
	}
	if s.faults.LoadRunning >= 0 {
		r.Running = s.faults.LoadRunning
	}
	return r
}

func (s *Server) measure(now time.Time) report {
	r := report{measuredAt: now, Status: "ok", BootID: s.bootID, Running: s.running, Capacity: s.capacity()}
	r.Cold = r.Capacity < s.opt.Slots
	if s.faults.Drain {
		r.Status = "draining"
	}
	r.Rate = float64(len(s.recentStarts(now))) / reportWindow.Seconds()
	return r
}

// recentStarts drops start times that are older than the window and returns the
// others.
func (s *Server) recentStarts(now time.Time) []time.Time {
	i := 0
	for i < len(s.startTimes) && now.Sub(s.startTimes[i]) > reportWindow {
		i++
	}
	s.startTimes = s.startTimes[i:]
	return s.startTimes
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	if s.awaitResume(r.Context()) {
		writeJSON(w, s.currentReport())
	}
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) { s.health(w, r) }
