package telemetry

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// eventLogSize is the number of events that a process holds.
const eventLogSize = 16384

// Process is what every process of the system has: its identity, clock, event
// log and metrics.
type Process struct {
	Self    wire.Hello
	Clock   *timeline.Clock
	Events  *timeline.Log
	Metrics metrics.Registry
	Wire    *wire.Stats
	started time.Time
}

// NewProcess returns a process with a new boot ID.
func NewProcess(vm topology.VMID, zone topology.Zone, role wire.Role) *Process {
	clock := timeline.NewClock(time.Now)
	registry := metrics.NewRegistry()
	p := &Process{
		Self:    wire.Hello{VM: vm, Boot: topology.BootID(rand.Uint64()), Zone: zone, Role: role},
		Clock:   clock,
		Events:  timeline.NewLog(clock, eventLogSize),
		Metrics: registry,
		Wire:    wire.NewStats(registry),
		started: time.Now(),
	}
	p.Events.Add(timeline.KindStarted, "", string(vm), "boot "+p.Self.Boot.String())
	return p
}

// Now is monotonic time since the process started, the time that decision
// packages work with.
func (p *Process) Now() time.Duration { return time.Since(p.started) }

// WireOptions returns options for connections with a handler.
func (p *Process) WireOptions(h wire.Handler) wire.Options {
	return wire.Options{Clock: p.Clock, Handler: h, Stats: p.Wire}
}

// Name identifies the process in errors.
func (p *Process) Name() string { return string(p.Self.Role) + " " + string(p.Self.VM) }
