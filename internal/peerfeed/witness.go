package peerfeed

import "github.com/medlarswitch/medlarswitch/internal/outage"

// Witness exchanges with other VMs what each knows of the store's outages. It is safe for
// concurrent use and is called without locks of the hub.
type Witness interface {
	// StoreState returns what this VM states.
	StoreState() outage.State
	// HeardStoreState is called with what another VM states.
	HeardStoreState(outage.State)
}
