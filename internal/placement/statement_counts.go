package placement

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// StatementCounts is the number of leaves for which a stated limit is in force, that rest,
// and that have stated that they are leaving.
type StatementCounts struct{ Limited, Resting, Leaving int }

// LeafGroup is the leaves of a service in an availability zone.
type LeafGroup struct {
	Service fleet.ServiceName
	Zone    fleet.Zone
}

// CountStatements counts the leaves' statements that are in force. Groups without any are
// left out.
func (t *Table) CountStatements(now time.Duration) map[LeafGroup]StatementCounts {
	out := make(map[LeafGroup]StatementCounts)
	for _, l := range t.leaves {
		st := l.statement(now)
		if !st.Limited && st.Rest == 0 && !st.Leaving {
			continue
		}
		group := LeafGroup{Service: l.Service, Zone: l.Zone}
		c := out[group]
		c.add(st)
		out[group] = c
	}
	return out
}

func (c *StatementCounts) add(st Statement) {
	if st.Limited {
		c.Limited++
	}
	if st.Rest > 0 {
		c.Resting++
	}
	if st.Leaving {
		c.Leaving++
	}
}
