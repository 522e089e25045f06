package gateway

import (
	"cmp"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/extraload"
	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/intake"
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
	// the smallest VM.
	Memory      int64
	Descriptors int
	// GracePeriod is the time from the stop signal to the kill.
	GracePeriod time.Duration
}

// intakeLimits returns the limits of what callers may take.
func (c *Config) intakeLimits() intake.Config {
	return intake.ConfigFor(cmp.Or(c.Memory, intake.DefaultMemory), cmp.Or(c.Descriptors, intake.DefaultDescriptors))
}

// self returns this VM as other VMs see it.
func (c *Config) self() delegation.VM {
	return delegation.VM{Name: c.VM, Zone: fleet.Zone(c.Zone), Address: c.PeerAddress, Cores: c.Cores}
}
