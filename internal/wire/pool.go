package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

const dialTimeout = 500 * time.Millisecond

// Pool keeps one connection to each address and dials it on demand. It is
// safe for concurrent use.
type Pool struct {
	self Hello
	opts Options

	mu    sync.Mutex
	slots map[string]*poolSlot
}

type poolSlot struct {
	mu   sync.Mutex
	peer *Peer
}

// NewPool returns an empty pool.
func NewPool(self Hello, opts Options) *Pool {
	return &Pool{self: self, opts: opts, slots: make(map[string]*poolSlot)}
}

// Get returns an open connection to an address. Its errors mean that nothing
// was sent.
func (c *Pool) Get(ctx context.Context, addr string) (*Peer, error) {
	slot := c.slot(addr)
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.peer != nil && !isDone(slot.peer) {
		return slot.peer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errs.Wrap(err, errs.StepRelayDial, addr, errs.ReasonConnectionLost, true)
	}
	peer, err := NewPeer(ctx, conn, c.self, c.opts)
	if err != nil {
		return nil, err
	}
	slot.peer = peer
	return peer, nil
}

// Close closes all connections.
func (c *Pool) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, slot := range c.slots {
		slot.mu.Lock()
		if slot.peer != nil {
			slot.peer.Close()
		}
		slot.mu.Unlock()
	}
}

func (c *Pool) slot(addr string) *poolSlot {
	c.mu.Lock()
	defer c.mu.Unlock()
	slot, ok := c.slots[addr]
	if !ok {
		slot = &poolSlot{}
		c.slots[addr] = slot
	}
	return slot
}

func isDone(p *Peer) bool {
	select {
	case <-p.Done():
		return true
	default:
		return false
	}
}
