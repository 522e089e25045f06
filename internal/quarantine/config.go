package quarantine

import "time"

// Defaults of Config.
const (
	// DefaultLossThreshold is 2 because a single loss may be a fault of the
	// upstream itself.
	DefaultLossThreshold   = 2
	DefaultLossTTL         = 10 * time.Minute
	DefaultSuspectTTL      = 10 * time.Minute
	DefaultMaxFingerprints = 4096
)

// Config sets the limits of a Table. LossThreshold, LossTTL and SuspectTTL must
// be the same on all VMs. Zero values select the defaults.
type Config struct {
	// LossThreshold is the number of separate active losses that block a fingerprint: each
	// began to run after the one before it was lost.
	LossThreshold int
	// MinSpan is the least time from the first to the last of these losses if another
	// request of the class has got a reply since the first: then upstreams reply in it.
	// Otherwise all of them may be failing, and the time is MaxSpan.
	MinSpan, MaxSpan time.Duration
	// SuspectBlocked makes a class suspect only once a request of it is blocked, rather than
	// after each loss.
	SuspectBlocked bool
	// RepliesClear makes a reply end the losses of its request before it, for a process
	// that cannot tell from a lost connection alone which request has crashed the upstream.
	RepliesClear bool
	// LossTTL is how long a loss stays active. A fingerprint stays blocked for
	// the same time after its latest loss.
	LossTTL time.Duration
	// SuspectTTL is how long a class is suspect after a loss.
	SuspectTTL time.Duration
	// MaxFingerprints bounds the number of fingerprints with losses, and
	// separately the number of seen ones.
	MaxFingerprints int
	// Origin identifies this run of the process among the processes of all VMs.
	Origin uint64
}

func (c Config) withDefaults() Config {
	if c.LossThreshold <= 0 {
		c.LossThreshold = DefaultLossThreshold
	}
	c.MaxSpan = max(c.MaxSpan, c.MinSpan)
	if c.LossTTL <= 0 {
		c.LossTTL = DefaultLossTTL
	}
	if c.SuspectTTL <= 0 {
		c.SuspectTTL = DefaultSuspectTTL
	}
	if c.MaxFingerprints <= 0 {
		c.MaxFingerprints = DefaultMaxFingerprints
	}
	return c
}
