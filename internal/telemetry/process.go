package telemetry

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/medlarswitch/medlarswitch/internal/panics"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// maxLogEvents is the maximum number of events in the event log of a process.
const maxLogEvents = 16384

// Process holds what every process of the system has: its identity, clock, event
// log and metrics.
type Process struct {
	Self    wire.Hello
	Clock   *timeline.Clock
	Events  *timeline.Log
	Metrics metrics.Registry
	Wire    *wire.Stats
	// Panics records the panics of single requests and messages, which do not end the
	// process.
	Panics  *panics.Recorder
	started time.Time
}

// NewProcess returns a Process with a random boot ID and records its start in the
// event log.
func NewProcess(vm topology.VMID, zone topology.Zone, role wire.Role) *Process {
	clock := timeline.NewClock(time.Now)
	registry := metrics.NewRegistry()
	p := &Process{
		Self:    wire.Hello{VM: vm, Boot: topology.BootID(rand.Uint64()), Zone: zone, Role: role},
		Clock:   clock,
		Events:  timeline.NewLog(clock, maxLogEvents),
		Metrics: registry,
		Wire:    wire.NewStats(registry),
		Panics:  panics.NewRecorder(registry),
		started: time.Now(),
	}
	p.Events.Add(timeline.KindStarted, "", string(vm), "boot "+p.Self.Boot.String())
	return p
}

// Now returns the monotonic time since the process started. It is the time that is
// passed to packages that make decisions without reading a clock.
func (p *Process) Now() time.Duration { return time.Since(p.started) }

// WireOptions returns the options of connections whose messages h handles.
func (p *Process) WireOptions(h wire.Handler) wire.Options {
	return wire.Options{Clock: p.Clock, Handler: h, Stats: p.Wire}
}

// Name returns the name of the process in error messages: its role and its VM.
func (p *Process) Name() string { return string(p.Self.Role) + " " + string(p.Self.VM) }
