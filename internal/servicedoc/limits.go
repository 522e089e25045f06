package servicedoc

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/ownership"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// minConnectionShare is one connection in use and one in reserve.
	minConnectionShare = 2

	minConnections = minConnectionShare*ownership.MaxConnectedRelays + 1
	maxConnections = 1 << 20
)

// limits apply to each leaf of an index.
type limits struct {
	slots, connections int
	runLimit           time.Duration
}

func readLimits(p *parsedSection) (limits, bool) {
	t, ok := p.root.Table("limits")
	if !ok {
		return limits{}, false
	}
	slots, slotsOK := t.Int("slots", 1, maxConnections)
	connections, connOK := t.Int("connections", minConnections, maxConnections)
	run, runOK := t.Duration("run_limit", time.Millisecond, topology.MaxRunLimit)
	t.ReportUnknownKeys()
	l := limits{slots: int(slots), connections: int(connections), runLimit: run}
	if slotsOK && connOK {
		usable := ownership.ConnectionShare(l.connections) - 1
		if l.slots > usable {
			t.Report("slots", "is %d: expected at most %d, the connections of one holder out of %d less its reserve",
				l.slots, usable, l.connections)
			slotsOK = false
		}
	}
	return l, slotsOK && connOK && runOK
}

func (l limits) apply(i *topology.Index) {
	i.Slots, i.Connections, i.RunLimit = l.slots, l.connections, l.runLimit
}
