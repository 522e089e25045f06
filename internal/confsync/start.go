package confsync

import "time"

// startState is the state of the wait after the start. Without the wait, an agent
// could activate an old generation because it learns of it before it learns of
// the newer one that other peers have.
type startState struct {
	started, finished bool
	startedAt         time.Duration
	// highestGeneration is the highest generation that a peer has announced.
	highestGeneration uint64
	// storeAnswered is true once this agent has read the store. No newer
	// generation had been accepted at that time.
	storeAnswered bool
}

func (m *Machine) recordStart() {
	if m.start.started {
		return
	}
	m.start.started, m.start.startedAt = true, m.now
	m.nextHeartbeat = m.now + heartbeatInterval
}

// finishStart ends the wait once the store has been read, once all peers have
// answered and the manifest of the highest generation has been received, or after
// maxStartWait.
func (m *Machine) finishStart() {
	if m.start.finished {
		return
	}
	complete := m.start.storeAnswered || m.allPeersAnswered() && m.knownGeneration() >= m.start.highestGeneration
	if !complete && m.now-m.start.startedAt < maxStartWait {
		return
	}
	m.start.finished = true
	m.updateWatch()
}

func (m *Machine) allPeersAnswered() bool {
	for _, p := range m.peers.byID {
		if !p.answered {
			return false
		}
	}
	return len(m.peers.byID) > 0
}
