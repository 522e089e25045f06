package fleet

import "time"

// Service is a group of interchangeable leaves.
type Service struct {
	Name       ServiceName
	HealthPath string
	// MaxConnections is how many connections one leaf accepts from all VMs together.
	MaxConnections int
	// WarmUp is how long a leaf stays cold after its start.
	WarmUp time.Duration
	// WarmUpRate is how many requests per second a cold leaf can handle; 0 means no
	// limit.
	WarmUpRate float64
}
