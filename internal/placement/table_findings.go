package placement

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/leafspeed"
)

// Findings returns the leaves that this VM itself recently observed to be slow, and the
// limits that leaves recently stated to it.
func (t *Table) Findings(now time.Duration) []leafspeed.Finding {
	var out []leafspeed.Finding
	for id, l := range t.leaves {
		if age := now - l.heardAt; l.heardAt > 0 && age < decayTime {
			out = append(out, leafspeed.Finding{Leaf: id, Kind: leafspeed.KindLimit, Limited: l.stated.Limited, Limit: l.stated.Limit, Age: age})
		}
		own := l.ownSlowness(now)
		if l.slownessAt > 0 && own >= slowThreshold && now-l.slownessAt < decayTime {
			out = append(out, leafspeed.Finding{Leaf: id, Slowness: float32(own), Age: now - l.slownessAt})
		}
	}
	return out
}

// ApplyFindings applies what other VMs have reported of leaves.
func (t *Table) ApplyFindings(now time.Duration, findings []leafspeed.Finding) {
	for _, f := range findings {
		l := t.leaves[f.Leaf]
		if l == nil {
			continue
		}
		at := now - f.Age
		if f.Kind == leafspeed.KindLimit {
			t.applyLimit(now, at, l, Statement{Limited: f.Limited, Limit: f.Limit})
			continue
		}
		if at > l.reportedAt {
			l.reportedSlowness, l.reportedAt = min(float64(f.Slowness), maxSlowness), at
		}
	}
}
