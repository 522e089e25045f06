package agentlink

import (
	"context"

	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// Receiver receives the configuration, VM lists and loss reports from the agent. Its
// methods are called from one goroutine.
type Receiver interface {
	SetTopology(ctx context.Context, t *topology.Topology)
	SetVMs(ctx context.Context, v topology.VMView)
	// HandleLossReport handles a quarantine.LossReport that another VM sent.
	HandleLossReport(env *wire.Envelope)
}
