package confsync

import "github.com/medlarswitch/medlarswitch/internal/topology"

func (m *Machine) handlePeerJoined(vm topology.VM) {
	if vm.ID == m.self.ID {
		m.self = vm
	} else if m.peers.upsert(vm) && !m.start.finished {
		m.sendHeartbeat(vm.ID, RequestHeartbeat)
	}
	m.updateWatch()
}

func (m *Machine) handlePeerLeft(id topology.VMID) {
	m.peers.remove(id)
	for _, f := range m.fetches {
		if f.running && f.from == id {
			f.running, f.retryAt = false, m.now
		}
	}
	m.updateWatch()
}

// handleHeartbeat compares generations with the peer, requests its manifest if it
// is newer, and replies if the peer is behind or requested a reply.
func (m *Machine) handleHeartbeat(e HeartbeatReceived) {
	m.peers.recordGeneration(e.From, e.Generation)
	m.start.highestGeneration = max(m.start.highestGeneration, e.Generation)
	m.store.recordRead(m.now, e.StoreAge)
	m.requestManifest(e.From, e.Generation)
	switch {
	case e.Request == RequestManifest && m.complete.Generation > e.Generation:
		m.emit(SendManifest{To: e.From, Manifest: m.complete})
	case e.Request != RequestNothing || m.complete.Generation > e.Generation:
		m.sendHeartbeat(e.From, RequestNothing)
	}
}

// requestManifest requests a manifest that this agent lacks from a peer. While the
// request is pending, other peers with the same generation receive none.
func (m *Machine) requestManifest(from topology.VMID, generation uint64) {
	if generation <= m.knownGeneration() {
		return
	}
	if generation <= m.lastRequest.generation && m.now-m.lastRequest.at < manifestRequestTimeout {
		return
	}
	m.lastRequest = manifestRequest{generation: generation, at: m.now}
	m.sendHeartbeat(from, RequestManifest)
}

// handleManifest handles a peer's manifest. A peer with a lower generation is sent
// this agent's complete manifest.
func (m *Machine) handleManifest(e ManifestReceived) {
	m.peers.recordGeneration(e.From, e.Manifest.Generation)
	m.start.highestGeneration = max(m.start.highestGeneration, e.Manifest.Generation)
	if e.Manifest.Generation < m.complete.Generation {
		m.emit(SendManifest{To: e.From, Manifest: m.complete})
		return
	}
	m.setTargetIfNewer(e.Manifest, e.From)
}

// setTargetIfNewer makes a newer manifest the target, so that the generation never
// decreases, in whatever order manifests arrive.
func (m *Machine) setTargetIfNewer(manifest Manifest, source topology.VMID) {
	if manifest.Generation <= m.knownGeneration() || !manifest.Valid() {
		return
	}
	m.target, m.targetSource = manifest, source
	m.prune()
}

// sendHeartbeats sends heartbeats to random peers and to one watcher of the zone.
// The watcher's reply contains the age of the newest read of the store.
func (m *Machine) sendHeartbeats() {
	if m.now < m.nextHeartbeat {
		return
	}
	m.nextHeartbeat = m.now + heartbeatInterval
	to := m.peers.sample(m.rnd, heartbeatFanout)
	watchers := m.watchers()
	if len(watchers) > 0 {
		w := watchers[m.rnd.IntN(len(watchers))].ID
		to = appendMissing(to, w, m.self.ID)
	}
	for _, id := range to {
		m.sendHeartbeat(id, RequestHeartbeat)
	}
}

// appendMissing appends id unless it is self or already in ids.
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
