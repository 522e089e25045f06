package confsync

import "time"

// startState is the state of the wait after the start. An agent that activated
// the first generation it hears of could put an old one in force beside peers
// that hold a newer one.
type startState struct {
	started, complete bool
	startedAt         time.Duration
	// highestGeneration is the highestGeneration generation heard of.
	highestGeneration uint64
	// storeAnswered reports that the store answered; nothing newer was accepted
	// when it did.
	storeAnswered bool
}

func (m *Machine) recordStart() {
	if m.start.started {
		return
	}
	m.start.started, m.start.startedAt = true, m.now
	m.nextHeartbeat = m.now + heartbeatInterval
}

// finishStart ends the wait when all peers have answered and the highest manifest
// is here, when the store has answered, or after startWait.
func (m *Machine) finishStart() {
	if m.start.complete {
		return
	}
	complete := m.start.storeAnswered || m.allPeersAnswered() && m.knownGeneration() >= m.start.highestGeneration
	if !complete && m.now-m.start.startedAt < maxStartWait {
		return
	}
	m.start.complete = true
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
