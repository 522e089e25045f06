package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/medlarswitch/medlarswitch/internal/placement"
)

// maxStatementGroups limits the lines by service and zone, so that a fleet of which all
// leaves state something does not flood the collector. The totals always include all.
const maxStatementGroups = 50

// statementMetrics are the numbers of leaves that state that they take few requests, want
// none for some time, and are about to stop: in total, and by service and zone where there
// are any.
type statementMetrics struct {
	limited, resting, leaving metrics.Gauge
	groups                    atomic.Pointer[map[placement.LeafGroup]placement.StatementCounts]
}

func newStatementMetrics(r metrics.Registry) *statementMetrics {
	return &statementMetrics{
		limited: metrics.NewRegisteredGauge("leaves_limited", r),
		resting: metrics.NewRegisteredGauge("leaves_resting", r),
		leaving: metrics.NewRegisteredGauge("leaves_leaving", r),
	}
}

// update sets the metrics. It keeps the map.
func (m *statementMetrics) update(groups map[placement.LeafGroup]placement.StatementCounts) {
	var total placement.StatementCounts
	for _, c := range groups {
		total.Limited += c.Limited
		total.Resting += c.Resting
		total.Leaving += c.Leaving
	}
	m.limited.Update(int64(total.Limited))
	m.resting.Update(int64(total.Resting))
	m.leaving.Update(int64(total.Leaving))
	m.groups.Store(&groups)
}

// lines returns the metrics by service and zone as text, the groups with the most leaves
// first.
func (m *statementMetrics) lines() []string {
	groups := m.groups.Load()
	if groups == nil {
		return nil
	}
	count := func(g placement.LeafGroup) int {
		c := (*groups)[g]
		return c.Limited + c.Resting + c.Leaving
	}
	sorted := slices.SortedFunc(maps.Keys(*groups), func(a, b placement.LeafGroup) int {
		return cmp.Or(count(b)-count(a), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	var out []string
	for _, g := range sorted[:min(len(sorted), maxStatementGroups)] {
		c := (*groups)[g]
		for name, n := range map[string]int{"limited": c.Limited, "resting": c.Resting, "leaving": c.Leaving} {
			if n > 0 {
				out = append(out, fmt.Sprintf("leaves_%s{service=%q,zone=%q} %d", name, g.Service, g.Zone, n))
			}
		}
	}
	return out
}
