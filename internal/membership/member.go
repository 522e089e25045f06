package membership

import (
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// maxEarlierBoots is the number of earlier boot IDs that are stored per VM.
const maxEarlierBoots = 4

// Member is a listed VM with the state derived from its messages.
type Member struct {
	VM topology.VM
	// LastMessageAt is when the latest message of the VM was received, or when the
	// VM was first listed. Pauses of this process move it forward.
	LastMessageAt time.Duration
	// Suspect is true if the VM has been reported as suspect.
	Suspect    bool
	Boot       topology.BootID
	Generation uint64
	// earlierBoots are boots that no longer run. Their messages may still arrive.
	earlierBoots []topology.BootID
}

// recordMessage updates the member from a message. It returns current as false
// for a message of an earlier boot, which changes nothing.
func (m *Member) recordMessage(now time.Duration, e MessageReceived) (current, rebooted bool) {
	if slices.Contains(m.earlierBoots, e.Boot) {
		return false, false
	}
	rebooted = m.Boot != 0 && m.Boot != e.Boot
	if rebooted {
		m.earlierBoots = append(m.earlierBoots, m.Boot)
		m.earlierBoots = m.earlierBoots[max(0, len(m.earlierBoots)-maxEarlierBoots):]
		m.Generation = 0
	}
	m.LastMessageAt, m.Boot = now, e.Boot
	m.Generation = max(m.Generation, e.Generation)
	return true, rebooted
}
