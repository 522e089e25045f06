package quarantine

import "time"

// Defaults of Config.
const (
	// DefaultLosses is 2 because a single loss may be the upstream's own fault.
	DefaultLosses     = 2
	DefaultHold       = 10 * time.Minute
	DefaultSuspect    = 10 * time.Minute
	DefaultMaxEntries = 4096
)

// Config sets the limits of a Table. All VMs use the same Losses, Hold and
// Suspect. Zero values take the defaults.
type Config struct {
	// Losses is how many losses block a fingerprint.
	Losses int
	// Hold is how long a loss counts and how long a fingerprint stays blocked.
	Hold time.Duration
	// Suspect is how long a class is suspect after a loss.
	Suspect time.Duration
	// MaxEntries bounds the fingerprints with losses, and the seen ones.
	MaxEntries int
	// Origin identifies this run of the process among all VMs.
	Origin uint64
}

func (c Config) withDefaults() Config {
	if c.Losses <= 0 {
		c.Losses = DefaultLosses
	}
	if c.Hold <= 0 {
		c.Hold = DefaultHold
	}
	if c.Suspect <= 0 {
		c.Suspect = DefaultSuspect
	}
	if c.MaxEntries <= 0 {
		c.MaxEntries = DefaultMaxEntries
	}
	return c
}
