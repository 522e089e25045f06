package confsync

import (
	"maps"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// sectionFetch is the state of the fetch of one section version that the target
// lacks.
type sectionFetch struct {
	running bool
	from    topology.VMID
	// sentAt is when the running fetch was sent.
	sentAt time.Duration
	// retryAt is when the next attempt may be sent.
	retryAt  time.Duration
	attempts int
}

// fetchMissing fetches the sections that the target lacks, at most maxFetches at
// a time.
func (m *Machine) fetchMissing() {
	running := m.expireFetches()
	for _, ref := range m.target.Sections {
		if _, ok := m.texts[ref]; ok {
			continue
		}
		if running >= maxFetches {
			return
		}
		f := m.fetches[ref]
		if f == nil {
			f = &sectionFetch{}
			m.fetches[ref] = f
		}
		if f.running || m.now < f.retryAt {
			continue
		}
		f.running, f.sentAt, f.from = true, m.now, m.fetchSource(f)
		f.attempts++
		running++
		m.emit(FetchSection{From: f.from, Name: ref.Name, EditID: ref.EditID})
	}
}

// expireFetches cancels fetches that have timed out and returns the number of
// those still running.
func (m *Machine) expireFetches() int {
	running := 0
	for _, f := range m.fetches {
		if f.running && m.now-f.sentAt >= fetchTimeout {
			f.running, f.retryAt = false, m.now
		}
		if f.running {
			running++
		}
	}
	return running
}

// fetchSource returns where to fetch from, with an empty ID for the store: first
// the source of the manifest, then alternately a random peer that has the
// generation and the store.
func (m *Machine) fetchSource(f *sectionFetch) topology.VMID {
	if f.attempts == 0 {
		return m.targetSource
	}
	if f.attempts%2 == 1 {
		return m.peers.randomHolder(m.rnd, m.target.Generation, m.self.Zone)
	}
	return ""
}

// handleSection stores a text whose hash matches the target's reference. A text
// with another hash is fetched again.
func (m *Machine) handleSection(e SectionReceived) {
	ref, ok := m.target.Find(e.Name)
	if !ok || ref.EditID != e.EditID {
		return
	}
	if HashText(e.Text) != ref.Hash {
		m.scheduleRetry(ref)
		return
	}
	delete(m.fetches, ref)
	m.texts[ref] = e.Text
}

func (m *Machine) handleFetchFailed(e FetchFailed) {
	ref, ok := m.target.Find(e.Name)
	if !ok || ref.EditID != e.EditID {
		return
	}
	if f := m.fetches[ref]; f != nil && f.from == e.From {
		m.scheduleRetry(ref)
	}
}

func (m *Machine) scheduleRetry(ref SectionRef) {
	f := m.fetches[ref]
	if f == nil || !f.running {
		return
	}
	f.running = false
	f.retryAt = m.now + min(initialFetchBackoff<<min(f.attempts-1, 8), maxFetchBackoff)
}

// prune deletes texts and fetches that neither the complete nor the target
// manifest needs. Sections that both contain are kept and not fetched again.
func (m *Machine) prune() {
	unneeded := func(ref SectionRef) bool {
		complete, _ := m.complete.Find(ref.Name)
		target, _ := m.target.Find(ref.Name)
		return ref != complete && ref != target
	}
	maps.DeleteFunc(m.texts, func(ref SectionRef, _ []byte) bool { return unneeded(ref) })
	maps.DeleteFunc(m.fetches, func(ref SectionRef, _ *sectionFetch) bool { return unneeded(ref) })
}
