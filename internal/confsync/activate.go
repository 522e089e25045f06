package confsync

import "github.com/medlarswitch/medlarswitch/internal/servicedoc"

// activateTarget puts the target in force once all its sections are here, and tells
// peers of it.
func (m *Machine) activateTarget() {
	if !m.start.complete || m.target.Generation == 0 {
		return
	}
	sections, ok := m.targetSections()
	if !ok {
		return
	}
	m.complete, m.target = m.target, Manifest{}
	m.fetches = map[SectionRef]*sectionFetch{}
	m.prune()
	m.emit(Activate{Manifest: m.complete, Sections: sections})
	for _, id := range m.peers.sample(m.rnd, pushFanout) {
		m.sendHeartbeat(id, RequestNothing)
	}
}

// targetSections returns the target's sections when none is missing.
func (m *Machine) targetSections() ([]servicedoc.Section, bool) {
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

// handleActivationResult records a generation that is in force. One that failed the check is
// held and offered all the same: it was accepted, and peers may run a version
// of the software that knows more.
func (m *Machine) handleActivationResult(e ActivationResult) {
	if e.OK && e.Generation <= m.complete.Generation {
		m.activeGeneration = max(m.activeGeneration, e.Generation)
	}
}
