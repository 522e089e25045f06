package gateway

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/extraload"
	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/placement"
)

// Config is what a VM knows from its settings.
type Config struct {
	VM   string
	Zone string
	// Cores is the processor time per second that this VM may use.
	Cores float64
	// Callers, Ready and Admin are the addresses to listen on.
	Callers, Ready, Admin string
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// Peers is the address on which this VM answers others.
	Peers     string
	Source    feedsource.Config
	ExtraLoad extraload.Config
	Placement placement.Config
	// Grace is the time from the stop signal to the kill.
	Grace time.Duration
}

// self is what other VMs know of this one.
func (c *Config) self() delegation.VM {
	return delegation.VM{Name: c.VM, Zone: fleet.Zone(c.Zone), Address: c.Peers, Cores: c.Cores}
}
