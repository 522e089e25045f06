package placement

import "github.com/medlarswitch/medlarswitch/internal/fleet"

// Choice is a leaf that may get a request.
type Choice struct {
	ID      fleet.LeafID
	Address string
	Zone    fleet.Zone
	// Healthy leaves are warm, reachable and answer in time. Others get requests
	// only where no sound leaf is left.
	Healthy bool
}
