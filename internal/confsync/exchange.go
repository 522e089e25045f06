package confsync

import "github.com/medlarswitch/medlarswitch/internal/topology"

func (m *Machine) joined(vm topology.VM) {
	if vm.ID == m.self.ID {
		m.self = vm
	} else if m.peers.put(vm) && !m.start.done {
		m.send(vm.ID, RequestHeartbeat)
	}
	m.elect()
}

func (m *Machine) left(id topology.VMID) {
	m.peers.remove(id)
	for _, f := range m.fetches {
		if f.running && f.from == id {
			f.running, f.retryAt = false, m.now
		}
	}
	m.elect()
}

// heard compares generations with a peer.
func (m *Machine) heard(e HeartbeatReceived) {
	m.peers.note(e.From, e.Generation)
	m.start.highest = max(m.start.highest, e.Generation)
	m.store.report(m.now, e.StoreAge)
	m.request(e.From, e.Generation)
	switch {
	case e.Request == RequestManifest && m.held.Generation > e.Generation:
		m.do(SendManifest{To: e.From, Manifest: m.held})
	case e.Request != RequestNothing || m.held.Generation > e.Generation:
		m.send(e.From, RequestNothing)
	}
}

// request asks a peer for a manifest that isn't here. While one peer is asked
// others that announce the same generation are not.
func (m *Machine) request(from topology.VMID, generation uint64) {
	if generation <= m.known() {
		return
	}
	if generation <= m.asked.generation && m.now-m.asked.at < askTimeout {
		return
	}
	m.asked = asked{generation: generation, at: m.now}
	m.send(from, RequestManifest)
}

// offered takes a peer's manifest. A peer that offers a lower generation gets
// the one held here.
func (m *Machine) offered(e ManifestReceived) {
	m.peers.note(e.From, e.Manifest.Generation)
	m.start.highest = max(m.start.highest, e.Manifest.Generation)
	if e.Manifest.Generation < m.held.Generation {
		m.do(SendManifest{To: e.From, Manifest: m.held})
		return
	}
	m.consider(e.Manifest, e.From)
}

// consider makes a newer manifest the target. Generations only rise, whatever
// the order in which manifests arrive.
func (m *Machine) consider(manifest Manifest, origin topology.VMID) {
	if manifest.Generation <= m.known() || !manifest.Valid() {
		return
	}
	m.target, m.origin = manifest, origin
	m.prune()
}

// beat compares generations with random peers and with one watcher of the
// zone, which knows when the store was last read.
func (m *Machine) beat() {
	if m.now < m.nextBeat {
		return
	}
	m.nextBeat = m.now + heartbeatInterval
	to := m.peers.random(m.rnd, heartbeatFanout)
	watchers := m.watchers()
	if len(watchers) > 0 {
		w := watchers[m.rnd.IntN(len(watchers))].ID
		to = appendMissing(to, w, m.self.ID)
	}
	for _, id := range to {
		m.send(id, RequestHeartbeat)
	}
}

func appendMissing(ids []topology.VMID, id, self topology.VMID) []topology.VMID {
	if id == self {
		return ids
	}
	for _, other := range ids {
		if other == id {
			return ids
		}
	}
	return append(ids, id)
}
