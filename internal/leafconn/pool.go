package leafconn

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept when the leaf
	// states no timeout.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is how much earlier than the leaf this VM closes an idle
	// connection, so that no request races with the leaf's close; of a short timeout
	// it is idleMarginFraction.
	idleMargin         = 500 * time.Millisecond
	idleMarginFraction = 0.15
)

// Pool holds the connections to one leaf. Requests beyond its limit wait in
// order of arrival. It is safe for concurrent use.
type Pool struct {
	addr      string
	dial      func(ctx context.Context, addr string) (net.Conn, error)
	idleLimit *IdleLimit

	mu sync.Mutex
	// limit is the number of slots; inUse of them are taken. Each running request
	// takes one.
	limit  int
	inUse  int
	idle   []*conn
	closed bool
	// waiters are the requests that wait for a slot, in order of arrival.
	// Closing the channel grants the slot.
	waiters []chan struct{}
}

// NewPool returns a pool without connections. The address does not change.
func NewPool(addr string, limit int, idle *IdleLimit, dial func(ctx context.Context, addr string) (net.Conn, error)) *Pool {
	return &Pool{addr: addr, limit: limit, idleLimit: idle, dial: dial}
}

// SetLimit changes how many requests may run at a time.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.grantSlots()
}

// acquireSlot takes a slot for a request, and waits until one is free.
func (p *Pool) acquireSlot(ctx context.Context) error {
	p.mu.Lock()
	if p.inUse < p.limit {
		p.inUse++
		p.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	p.waiters = append(p.waiters, granted)
	p.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, granted); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		return ctx.Err()
	}
	// The slot was granted at the same time as the context was cancelled, so
	// the next waiter gets it.
	p.inUse--
	p.grantSlots()
	return ctx.Err()
}

// releaseSlot frees the slot of a completed request.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	p.grantSlots()
}

// grantSlots grants free slots to waiters. The caller holds mu.
func (p *Pool) grantSlots() {
	for p.inUse < p.limit && len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
		p.inUse++
	}
}

// Close closes idle connections at once and the others when their request
// completes.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.idleUntil(p.idleLimit)) {
			expired = append(expired, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// IdleUntil returns the time at which the most recently used idle connection
// expires, or the zero time if no connection is idle.
func (p *Pool) IdleUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}
	}
	return p.idle[len(p.idle)-1].idleUntil(p.idleLimit)
}

// getConn returns an idle connection that is still usable, or a new one.
func (p *Pool) getConn(ctx context.Context) (*conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil(p.idleLimit)) && p.isReusable(c) {
			return c, nil
		}
		c.close()
	}
	raw, err := p.dial(ctx, p.addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// isReusable reports whether an idle connection can be used, and learns from it how
// long leaves keep connections open.
func (p *Pool) isReusable(c *conn) bool {
	reusable := c.isReusable()
	if c.statedTimeout == 0 {
		p.idleLimit.observe(time.Since(c.idleSince), reusable)
	}
	return reusable
}

// popIdle removes and returns the most recently used idle connection.
func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// putConn keeps a connection for the next request.
func (p *Pool) putConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}
