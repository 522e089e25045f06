package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

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
	done  bool
}

// poolSlot is the connection to one address; guarded by the pool's mutex.
type poolSlot struct {
	peer    *Peer
	dialing *dial
}

// dial is an attempt that any number of callers wait for.
type dial struct {
	done chan struct{}
	peer *Peer
	err  error
}

// NewPool returns an empty pool.
func NewPool(self Hello, opts Options) *Pool {
	return &Pool{self: self, opts: opts, slots: make(map[string]*poolSlot)}
}

// Get returns an open connection to an address. Its errors mean that nothing
// was sent. The dial goes on when ctx ends, since others may wait for it.
func (c *Pool) Get(ctx context.Context, addr string) (*Peer, error) {
	peer, d, err := c.lookup(addr)
	if peer != nil || err != nil {
		return peer, err
	}
	select {
	case <-d.done:
		return d.peer, d.err
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.StepRelayDial, addr, contextReason(ctx), true)
	}
}

// Close closes all connections. Later calls of Get fail.
func (c *Pool) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = true
	for _, slot := range c.slots {
		if slot.peer != nil {
			slot.peer.Close()
		}
	}
}

// lookup returns the open connection to an address or the attempt to get one.
func (c *Pool) lookup(addr string) (*Peer, *dial, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return nil, nil, errs.Wrap(errPoolClosed, errs.StepRelayDial, addr, errs.ReasonDraining, true)
	}
	slot, ok := c.slots[addr]
	if !ok {
		slot = &poolSlot{}
		c.slots[addr] = slot
	}
	if slot.peer != nil && !isDone(slot.peer) {
		return slot.peer, nil, nil
	}
	if slot.dialing == nil {
		slot.dialing = &dial{done: make(chan struct{})}
		go c.run(slot, slot.dialing, addr)
	}
	return nil, slot.dialing, nil
}

func (c *Pool) run(slot *poolSlot, d *dial, addr string) {
	d.peer, d.err = c.connect(addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(d.done)
	slot.peer, slot.dialing = d.peer, nil
	if c.done && d.peer != nil {
		d.peer.Close()
	}
}

func (c *Pool) connect(addr string) (*Peer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errs.Wrap(err, errs.StepRelayDial, addr, errs.ReasonConnectionLost, true)
	}
	return NewPeer(ctx, conn, c.self, c.opts)
}

var errPoolClosed = errors.New("connection pool is closed")

func contextReason(ctx context.Context) errs.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errs.ReasonDeadline
	}
	return errs.ReasonCancelled
}

func isDone(p *Peer) bool {
	select {
	case <-p.Done():
		return true
	default:
		return false
	}
}
