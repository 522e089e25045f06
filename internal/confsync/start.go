package confsync

import "time"

// starting is the state of the wait after the start. An agent that activated
// the first generation it hears of could put an old one in force beside peers
// that hold a newer one.
type starting struct {
	begun, done bool
	at          time.Duration
	// highest is the highest generation heard of.
	highest uint64
	// stored reports that the store answered; nothing newer was accepted
	// when it did.
	stored bool
}

func (m *Machine) begin() {
	if m.start.begun {
		return
	}
	m.start.begun, m.start.at = true, m.now
	m.nextBeat = m.now + heartbeatInterval
}

// gather ends the wait when all peers have answered and the highest manifest
// is here, when the store has answered, or after startWait.
func (m *Machine) gather() {
	if m.start.done {
		return
	}
	complete := m.start.stored || m.allAnswered() && m.known() >= m.start.highest
	if !complete && m.now-m.start.at < startWait {
		return
	}
	m.start.done = true
	m.elect()
}

func (m *Machine) allAnswered() bool {
	for _, p := range m.peers.byID {
		if !p.answered {
			return false
		}
	}
	return len(m.peers.byID) > 0
}
