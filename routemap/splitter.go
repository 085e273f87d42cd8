package routemap

import "sync"

// Splitter distributes the requests of routes over their parts by smooth
// weighted round-robin. At any moment the number of requests of each part is
// within one of its weighted share, so that the shares hold over short times
// too. It is safe for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	credits map[string][]float64
}

// NewSplitter returns a Splitter that has distributed no requests.
func NewSplitter() *Splitter { return &Splitter{credits: make(map[string][]float64)} }

// Next returns the part for the next request of r. Routes are told apart by
// name.
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
