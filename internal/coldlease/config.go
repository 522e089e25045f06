package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Config holds the fixed values of a machine.
type Config struct {
	Self topology.VMID
	// Boot differs between all boots on all VMs.
	Boot topology.BootID
	// Term is how long an acknowledgement lasts from when its request was sent.
	Term time.Duration
	// Margin covers the rate error of clocks. It has to exceed 2% of the sum
	// of Term, Margin and the longest run limit.
	Margin time.Duration
	// StartedAt is when the process started, on the clock of Step.
	StartedAt time.Duration
}

// fence is the time after which no request of an earlier holder runs.
func (c Config) fence(runLimit time.Duration) time.Duration {
	return c.Term + c.Margin + runLimit
}
