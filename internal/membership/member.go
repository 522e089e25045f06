package membership

import (
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// keptBoots is the number of earlier boots of a VM that are remembered.
const keptBoots = 4

// Member is a listed VM with what was heard from it.
type Member struct {
	VM topology.VM
	// LastMessageAt is when the VM was last heard, or when it was first listed.
	LastMessageAt time.Duration
	// Suspect reports silence since LastMessageAt.
	Suspect    bool
	Boot       topology.BootID
	Generation uint64
	// earlier are boots that have ended. Their messages may still arrive.
	earlier []topology.BootID
}

// hear takes a report in. It returns false for a boot that has ended.
func (m *Member) hear(now time.Duration, e MessageReceived) (current, rebooted bool) {
	if slices.Contains(m.earlier, e.Boot) {
		return false, false
	}
	rebooted = m.Boot != 0 && m.Boot != e.Boot
	if rebooted {
		m.earlier = append(m.earlier, m.Boot)
		m.earlier = m.earlier[max(0, len(m.earlier)-keptBoots):]
		m.Generation = 0
	}
	m.LastMessageAt, m.Boot = now, e.Boot
	m.Generation = max(m.Generation, e.Generation)
	return true, rebooted
}
