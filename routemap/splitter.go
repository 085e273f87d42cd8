package routemap

import "sync"

// Splitter distributes the requests of routes over their destinations by smooth
// weighted round-robin. At any moment the number of requests of each destination
// is within one of its weighted share, so that the shares also hold over short
// periods. It is safe for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	credits map[string][]float64
}

// NewSplitter returns a Splitter that has distributed no requests.
func NewSplitter() *Splitter { return &Splitter{credits: make(map[string][]float64)} }

// Next returns the destination of the next request of r. Routes are identified
// by name.
func (s *Splitter) Next(r *Route) Destination {
	if len(r.Destinations) == 1 {
		return r.Destinations[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credits[r.Name]
	if len(credit) != len(r.Destinations) {
		credit = make([]float64, len(r.Destinations))
		s.credits[r.Name] = credit
	}
	total, best := 0.0, 0
	for i, p := range r.Destinations {
		total += p.Weight
		credit[i] += p.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Destinations[best]
}
