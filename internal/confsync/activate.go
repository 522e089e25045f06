package confsync

import "github.com/medlarswitch/medlarswitch/internal/servicedoc"

// activateTarget activates the target once all its sections have been received,
// and announces the new generation to pushFanout random peers.
func (m *Machine) activateTarget() {
	if !m.start.finished || m.target.Generation == 0 {
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

// targetSections returns the target's sections, or false if one is missing.
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

// handleActivationResult records a generation that passed the check as active.
// One that failed stays the complete generation and is still sent to peers: the
// store accepted it, and peers may run a newer software version that accepts it
// too.
func (m *Machine) handleActivationResult(e ActivationResult) {
	if e.OK && e.Generation <= m.complete.Generation {
		m.activeGeneration = max(m.activeGeneration, e.Generation)
	}
}
