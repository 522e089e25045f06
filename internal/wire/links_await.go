package wire

import (
	"context"
	"time"
)

// awaitTimeout bounds the wait for a connection. It leaves time for one dial, or
// for several if the peer is still starting and refuses the first ones.
const awaitTimeout = dialTimeout

// Await returns the open connection to an address. If there is none, it starts a
// dial immediately, because the backoff may be longer than the peer was
// unreachable, and waits up to awaitTimeout. It returns nil if there is still no
// connection.
func (l *Links) Await(ctx context.Context, addr string) *Peer {
	l.mu.Lock()
	link, ok := l.links[addr]
	if !ok {
		l.mu.Unlock()
		return nil
	}
	peer, connected := link.peer, link.connected
	l.mu.Unlock()
	if peer != nil {
		return peer
	}
	select {
	case link.dialNow <- struct{}{}:
	default:
	}
	t := time.NewTimer(awaitTimeout)
	defer t.Stop()
	select {
	case <-connected:
	case <-t.C:
	case <-ctx.Done():
	}
	return l.Get(addr)
}
