package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Faults switches faults on and off. A nil field leaves its fault unchanged.
type Faults struct {
	// PauseMS freezes the server for this number of milliseconds. 0 resumes
	// it; a negative value freezes it until it is resumed.
	PauseMS *int64 `json:"pause_ms,omitempty"`
	// SlowFactor multiplies all service times.
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	// Cold, if true, starts a new cold start without a reboot.
	Cold *bool `json:"cold,omitempty"`
	// Reboot, if true, simulates a reboot; see Server.Reboot.
	Reboot *bool `json:"reboot,omitempty"`
	// Truncate is the number of upcoming responses whose bodies are cut
	// short.
	Truncate *int `json:"truncate,omitempty"`
	// LoseResponse is the number of upcoming executions after which the server
	// closes the connection without a response.
	LoseResponse *int `json:"lose_response,omitempty"`
	// CrossResponse is the number of upcoming responses that carry the
	// Request-Id of an earlier request.
	CrossResponse *int `json:"cross_response,omitempty"`
	// Drain refuses all requests as not run and reports the server as
	// draining.
	Drain *bool `json:"drain,omitempty"`
	// Shed refuses all requests as not run, while the reported status stays
	// good.
	Shed *bool `json:"shed,omitempty"`
	// Health replaces the reported status; "" ends the replacement.
	Health *string `json:"health,omitempty"`
	// LoadRunning replaces the reported number of running requests; a
	// negative value ends the replacement.
	LoadRunning *int `json:"load_running,omitempty"`
	// LagMS is the age in milliseconds at which the report of /health and
	// /load is renewed.
	LagMS *int64 `json:"lag_ms,omitempty"`
}

// faultState holds the faults in effect.
type faultState struct {
	SlowFactor    float64
	Truncate      int
	LoseResponse  int
	CrossResponse int
	Drain         bool
	Shed          bool
	Health        string
	LoadRunning   int
	Lag           time.Duration
}

func setIfGiven[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// Apply switches the faults whose fields are set in f.
func (s *Server) Apply(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &s.faults
	setIfGiven(&st.SlowFactor, f.SlowFactor)
	setIfGiven(&st.Truncate, f.Truncate)
	setIfGiven(&st.LoseResponse, f.LoseResponse)
	setIfGiven(&st.CrossResponse, f.CrossResponse)
	setIfGiven(&st.Drain, f.Drain)
	setIfGiven(&st.Shed, f.Shed)
	setIfGiven(&st.Health, f.Health)
	setIfGiven(&st.LoadRunning, f.LoadRunning)
	if f.LagMS != nil {
		st.Lag = time.Duration(*f.LagMS) * time.Millisecond
	}
	if f.Cold != nil && *f.Cold {
		s.requestsSinceCold, s.coldSince = 0, time.Now()
	}
	if f.Reboot != nil && *f.Reboot {
		s.boot()
	}
	if f.PauseMS != nil {
		s.pause(*f.PauseMS)
	}
}

// pause freezes or resumes the server. The caller holds mu.
func (s *Server) pause(ms int64) {
	select {
	case <-s.resumed:
	default:
		close(s.resumed)
	}
	if ms == 0 {
		return
	}
	resumed := make(chan struct{})
	s.resumed = resumed
	if ms < 0 {
		return
	}
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.resumed == resumed {
			s.pause(0)
		}
	})
}

// awaitResume blocks while the server is frozen. It returns false if ctx ends
// first.
func (s *Server) awaitResume(ctx context.Context) bool {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	select {
	case <-resumed:
		return true
	case <-ctx.Done():
		return false
	}
}

// consumeFault decrements the counter of a fault and reports whether the fault
// applies.
func (s *Server) consumeFault(counter *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Apply(f)
	w.WriteHeader(http.StatusNoContent)
}
