package quarantine

import "time"

// Defaults of Config.
const (
	// DefaultLossThreshold is 2 because a single loss may be the upstream's own fault.
	DefaultLossThreshold = 2
	DefaultLossTTL       = 10 * time.Minute
	DefaultSuspectTTL    = 10 * time.Minute
	DefaultMaxEntries    = 4096
)

// Config sets the limits of a Table. All VMs use the same Losses, Hold and
// Suspect. Zero values take the defaults.
type Config struct {
	// LossThreshold is how many losses block a fingerprint.
	LossThreshold int
	// LossTTL is how long a loss counts and how long a fingerprint stays blocked.
	LossTTL time.Duration
	// SuspectTTL is how long a class is suspect after a loss.
	SuspectTTL time.Duration
	// MaxEntries bounds the fingerprints with losses, and the seen ones.
	MaxEntries int
	// Origin identifies this run of the process among all VMs.
	Origin uint64
}

func (c Config) withDefaults() Config {
	if c.LossThreshold <= 0 {
		c.LossThreshold = DefaultLossThreshold
	}
	if c.LossTTL <= 0 {
		c.LossTTL = DefaultLossTTL
	}
	if c.SuspectTTL <= 0 {
		c.SuspectTTL = DefaultSuspectTTL
	}
	if c.MaxEntries <= 0 {
		c.MaxEntries = DefaultMaxEntries
	}
	return c
}
