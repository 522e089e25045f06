package placement

import "github.com/medlarswitch/medlarswitch/internal/fleet"

// Choice is a leaf that a request may be sent to.
type Choice struct {
	ID      fleet.LeafID
	Address string
	Zone    fleet.Zone
	// Healthy is true for a leaf that is reachable, answers in time and fails few
	// requests. Other leaves get requests only when no healthy leaf is left.
	Healthy bool
}
