package fleet

import "slices"

// Splitter divides the requests of split routes among their services in
// proportion to the weights, by smooth weighted round robin: over any stretch
// of requests each service is within one request of its share. It answers a
// steady load in which random choices would leave the stated shares by chance.
// It is not safe for concurrent use.
type Splitter struct {
	routes map[string]*splitState
}

type splitState struct {
	shares []Share
	credit []float64
}

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*splitState)} }

// Next returns the service of the route's next request. History is dropped when
// the shares of a route change.
func (s *Splitter) Next(r *Route) ServiceName {
	state := s.routes[r.Name]
	if state == nil || !slices.Equal(state.shares, r.Split) {
		state = &splitState{shares: r.Split, credit: make([]float64, len(r.Split))}
		s.routes[r.Name] = state
	}
	total, best := 0.0, -1
	for i, share := range r.Split {
		if share.Weight <= 0 {
			continue
		}
		state.credit[i] += share.Weight
		total += share.Weight
		if best < 0 || state.credit[i] > state.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	state.credit[best] -= total
	return r.Split[best].Service
}

// Retain drops the history of routes that the configuration does not have.
func (s *Splitter) Retain(c *Configuration) {
	for name := range s.routes {
		if !c.HasRoute(name) {
			delete(s.routes, name)
		}
	}
}
