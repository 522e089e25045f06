package wire

import (
	"context"
	"time"
)

// awaitTimeout bounds the wait for a connection: one dial, and a few more if
// the peer refuses because it is just starting.
const awaitTimeout = dialTimeout

// Await returns the open connection to an address. Without one it dials at
// once, since the pause between attempts may be longer than the peer was away,
// and waits for awaitTimeout. It returns nil if there is still none.
func (l *Links) Await(ctx context.Context, addr string) *Peer {
	l.mu.Lock()
	entry, ok := l.links[addr]
	if !ok {
		l.mu.Unlock()
		return nil
	}
	peer, opened := entry.peer, entry.opened
	l.mu.Unlock()
	if peer != nil {
		return peer
	}
	select {
	case entry.wake <- struct{}{}:
	default:
	}
	t := time.NewTimer(awaitTimeout)
	defer t.Stop()
	select {
	case <-opened:
	case <-t.C:
	case <-ctx.Done():
	}
	return l.Get(addr)
}
