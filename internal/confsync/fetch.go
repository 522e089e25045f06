package confsync

import (
	"maps"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// fetch is one section version that the target lacks.
type fetch struct {
	running bool
	from    topology.VMID
	// sentAt is when the running fetch was sent.
	sentAt time.Duration
	// retryAt is when the next one may be sent.
	retryAt  time.Duration
	attempts int
}

// fetch sends what the target lacks, at most maxFetches at a time.
func (m *Machine) fetch() {
	running := m.expire()
	for _, ref := range m.target.Sections {
		if _, ok := m.texts[ref]; ok {
			continue
		}
		if running >= maxFetches {
			return
		}
		f := m.fetches[ref]
		if f == nil {
			f = &fetch{}
			m.fetches[ref] = f
		}
		if f.running || m.now < f.retryAt {
			continue
		}
		f.running, f.sentAt, f.from = true, m.now, m.source(f)
		f.attempts++
		running++
		m.do(FetchSection{From: f.from, Name: ref.Name, EditID: ref.EditID})
	}
}

// expire gives up fetches without an answer and counts the running ones.
func (m *Machine) expire() int {
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

// source returns where to fetch from: first whoever offered the manifest, then
// by turns another holder and the store.
func (m *Machine) source(f *fetch) topology.VMID {
	if f.attempts == 0 {
		return m.origin
	}
	if f.attempts%2 == 1 {
		return m.peers.holder(m.rnd, m.target.Generation, m.self.Zone)
	}
	return ""
}

// arrived keeps a text whose hash is right. A wrong one is fetched again.
func (m *Machine) arrived(e SectionReceived) {
	ref, ok := m.target.Find(e.Name)
	if !ok || ref.EditID != e.EditID {
		return
	}
	if HashText(e.Text) != ref.Hash {
		m.retry(ref)
		return
	}
	delete(m.fetches, ref)
	m.texts[ref] = e.Text
}

func (m *Machine) failed(e FetchFailed) {
	ref, ok := m.target.Find(e.Name)
	if !ok || ref.EditID != e.EditID {
		return
	}
	if f := m.fetches[ref]; f != nil && f.from == e.From {
		m.retry(ref)
	}
}

func (m *Machine) retry(ref SectionRef) {
	f := m.fetches[ref]
	if f == nil || !f.running {
		return
	}
	f.running = false
	f.retryAt = m.now + min(fetchRetry<<min(f.attempts-1, 8), maxFetchRetry)
}

// prune drops texts and fetches that neither held nor target needs. What two
// generations have in common is kept and not fetched again.
func (m *Machine) prune() {
	unneeded := func(ref SectionRef) bool {
		held, _ := m.held.Find(ref.Name)
		target, _ := m.target.Find(ref.Name)
		return ref != held && ref != target
	}
	maps.DeleteFunc(m.texts, func(ref SectionRef, _ []byte) bool { return unneeded(ref) })
	maps.DeleteFunc(m.fetches, func(ref SectionRef, _ *fetch) bool { return unneeded(ref) })
}
