package wire

// maxQueuedBytes bounds the total size of the bodies in a send queue. With a
// bound on the number of frames only, a peer that stops reading could make the
// queue hold 4096 frames of 4 MiB, or 16 GiB.
const maxQueuedBytes = 32 << 20

// reserve adds the size of a frame to queuedBytes before the frame is queued. It
// returns false if that would exceed maxQueuedBytes.
func (p *Peer) reserve(out *outgoing) bool {
	for {
		queuedBytes := p.queuedBytes.Load()
		if queuedBytes+out.size() > maxQueuedBytes {
			return false
		}
		if p.queuedBytes.CompareAndSwap(queuedBytes, queuedBytes+out.size()) {
			return true
		}
	}
}

// waitAndReserve blocks until it can reserve space for a frame. It returns false
// if the connection is closed first.
func (p *Peer) waitAndReserve(out *outgoing) bool {
	for !p.reserve(out) {
		select {
		case <-p.spaceFreed:
		case <-p.closed:
			return false
		}
	}
	p.signalSpaceFreed()
	return true
}

// release subtracts the size that reserve added.
func (p *Peer) release(out *outgoing) {
	p.queuedBytes.Add(-out.size())
	p.signalSpaceFreed()
}

// signalSpaceFreed wakes one goroutine in waitAndReserve, which wakes the next
// one after it has reserved its space.
func (p *Peer) signalSpaceFreed() {
	select {
	case p.spaceFreed <- struct{}{}:
	default:
	}
}
