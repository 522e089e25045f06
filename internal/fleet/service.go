package fleet

import "time"

// Service is a group of leaves that answer alike.
type Service struct {
	Name       ServiceName
	HealthPath string
	// MaxConnections is what one leaf accepts from all VMs together.
	MaxConnections int
	// WarmUp is how long a leaf stays cold after its start.
	WarmUp time.Duration
	// WarmUpRate is how many requests a second a cold leaf bears; 0 states no
	// bound.
	WarmUpRate float64
}
