package fleet

import "slices"

// Splitter divides the requests of split routes among their services in
// proportion to the weights, by smooth weighted round robin. Random selection would
// deviate from the weights by chance; here, each service is within one request of
// its share over any number of consecutive requests. A Splitter is not safe for
// concurrent use.
type Splitter struct {
	routes map[string]*splitState
}

type splitState struct {
	shares         []Share
	currentWeights []float64
}

// NewSplitter returns a splitter without state of any route.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*splitState)} }

// Next returns the service of the route's next request, or "" if all weights are 0.
// The state of a route is reset when its shares change.
func (s *Splitter) Next(r *Route) ServiceName {
	state := s.routes[r.Name]
	if state == nil || !slices.Equal(state.shares, r.Split) {
		state = &splitState{shares: r.Split, currentWeights: make([]float64, len(r.Split))}
		s.routes[r.Name] = state
	}
	total, best := 0.0, -1
	for i, share := range r.Split {
		if share.Weight <= 0 {
			continue
		}
		state.currentWeights[i] += share.Weight
		total += share.Weight
		if best < 0 || state.currentWeights[i] > state.currentWeights[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	state.currentWeights[best] -= total
	return r.Split[best].Service
}

// Retain removes the state of routes that the configuration does not have.
func (s *Splitter) Retain(c *Configuration) {
	for name := range s.routes {
		if !c.HasRoute(name) {
			delete(s.routes, name)
		}
	}
}
