package wire

// maxQueuedBytes bounds the bodies in a send queue. By count alone, a peer that
// stops reading could hold 4096 frames of 4 MiB, or 16 GiB.
const maxQueuedBytes = 32 << 20

// reserve counts a frame that is about to be queued and reports whether there
// is room for it.
func (p *Peer) reserve(out *outgoing) bool {
	for {
		queued := p.queued.Load()
		if queued+out.size() > maxQueuedBytes {
			return false
		}
		if p.queued.CompareAndSwap(queued, queued+out.size()) {
			return true
		}
	}
}

// reserveWait waits for room and reports false when the connection has ended.
func (p *Peer) reserveWait(out *outgoing) bool {
	for !p.reserve(out) {
		select {
		case <-p.room:
		case <-p.closed:
			return false
		}
	}
	p.signalRoom()
	return true
}

// release gives back what reserve counted.
func (p *Peer) release(out *outgoing) {
	p.queued.Add(-out.size())
	p.signalRoom()
}

// signalRoom wakes one waiter, which wakes the next when it got its room.
func (p *Peer) signalRoom() {
	select {
	case p.room <- struct{}{}:
	default:
	}
}
