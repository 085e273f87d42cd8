package routemap

import "sync"

// Splitter deals the requests of routes out to their parts. Each route's parts
// receive their weight's share within one request at any moment (smooth
// weighted round-robin), so that short spans keep the shares too. It is safe
// for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	credits map[string][]float64
}

// NewSplitter returns an empty splitter.
func NewSplitter() *Splitter { return &Splitter{credits: make(map[string][]float64)} }

// Next returns the part for the next request of r.
func (s *Splitter) Next(r *Route) Part {
	if len(r.Parts) == 1 {
		return r.Parts[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credits[r.Name]
	if len(credit) != len(r.Parts) {
		credit = make([]float64, len(r.Parts))
		s.credits[r.Name] = credit
	}
	total, best := 0.0, 0
	for i, p := range r.Parts {
		total += p.Weight
		credit[i] += p.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Parts[best]
}
