package gateway

import (
	"cmp"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/extraload"
	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/intake"
	"github.com/medlarswitch/medlarswitch/internal/leafconn"
	"github.com/medlarswitch/medlarswitch/internal/placement"
)

// Config holds a VM's settings.
type Config struct {
	VM   string
	Zone string
	// Cores is the CPU time per second that this VM may use.
	Cores float64
	// CallerAddress, ReadyAddress and AdminAddress are the addresses to listen
	// on for callers, readiness checks and metrics.
	CallerAddress, ReadyAddress, AdminAddress string
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// PeerAddress is the address on which this VM serves other VMs.
	PeerAddress string
	Source      feedsource.Config
	ExtraLoad   extraload.Config
	Placement   placement.Config
	// Memory, in bytes, and Descriptors are those that the process may use; 0 means those of
	// the smallest VM. They do not change while the process runs.
	Memory      int64
	Descriptors int
	// GracePeriod is the time from the stop signal to the kill.
	GracePeriod time.Duration
}

// runsPart and repliesPart are the parts of the memory that runs and replies may take.
const (
	runsPart    = 1.0 / 5
	repliesPart = 2.0 / 9
)

func (c *Config) memory() int64 { return cmp.Or(c.Memory, intake.DefaultMemory) }

// intakeLimits returns the limits of what callers may take.
func (c *Config) intakeLimits() intake.Config {
	return intake.ConfigFor(c.memory(), cmp.Or(c.Descriptors, intake.DefaultDescriptors))
}

// callerSharesPart is the part of the connections of callers on which requests may run. Others can
// be closed for new ones.
const callerSharesPart = 0.75

// callerShares returns the number of connections of callers on which requests may run.
func (c *Config) callerShares() int64 {
	return int64(callerSharesPart * float64(c.intakeLimits().Connections))
}

// runMemory returns the memory that runs may take while they wait for leaves, in bytes.
func (c *Config) runMemory() int64 { return int64(runsPart * float64(c.memory())) }

// replyMemory returns the memory that replies may take, in bytes.
func (c *Config) replyMemory() int64 {
	return min(leafconn.ReplyMemory, int64(repliesPart*float64(c.memory())))
}

// self returns this VM as other VMs see it.
func (c *Config) self() delegation.VM {
	return delegation.VM{Name: c.VM, Zone: fleet.Zone(c.Zone), Address: c.PeerAddress, Cores: c.Cores}
}
