package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Config holds the settings of a Machine, which do not change after New.
type Config struct {
	Self topology.VMID
	// Boot is unique among all boots of all VMs.
	Boot topology.BootID
	// Term is how long an acknowledgement is valid, counted from the time at
	// which its request was sent.
	Term time.Duration
	// Margin compensates for clocks that run at different rates. It has to
	// exceed 2% of the sum of Term, Margin and the longest run limit.
	Margin time.Duration
	// StartedAt is when the process started, on the same clock as Step.
	StartedAt time.Duration
}

// fence is how long a new holder has to wait until no request of an earlier
// holder can still run in the leaf.
func (c Config) fence(runLimit time.Duration) time.Duration {
	return c.Term + c.Margin + runLimit
}
