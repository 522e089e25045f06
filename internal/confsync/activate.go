package confsync

import "github.com/medlarswitch/medlarswitch/internal/servicedoc"

// activate puts the target in force once all its sections are here, and tells
// peers of it.
func (m *Machine) activate() {
	if !m.start.done || m.target.Generation == 0 {
		return
	}
	sections, ok := m.complete()
	if !ok {
		return
	}
	m.held, m.target = m.target, Manifest{}
	m.fetches = map[SectionRef]*fetch{}
	m.prune()
	m.do(Activate{Manifest: m.held, Sections: sections})
	for _, id := range m.peers.random(m.rnd, pushFanout) {
		m.send(id, RequestNothing)
	}
}

// complete returns the target's sections when none is missing.
func (m *Machine) complete() ([]servicedoc.Section, bool) {
	sections := make([]servicedoc.Section, 0, len(m.target.Sections))
	for _, ref := range m.target.Sections {
		text, ok := m.texts[ref]
		if !ok {
			return nil, false
		}
		sections = append(sections, servicedoc.Section{Name: ref.Name, Text: text})
	}
	return sections, true
}

// checked records a generation that is in force. One that failed the check is
// held and offered all the same: it was accepted, and peers may run a version
// of the software that knows more.
func (m *Machine) checked(e ActivationResult) {
	if e.OK && e.Generation <= m.held.Generation {
		m.inForce = max(m.inForce, e.Generation)
	}
}
