package leafconn

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept when the leaf states no
	// time.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is how much earlier than the leaf an idle connection is closed,
	// so that no request crosses the leaf's close.
	idleMargin = 500 * time.Millisecond
)

// Pool holds the connections to one leaf. Requests beyond its limit wait in the
// order in which they came. It is safe for concurrent use.
type Pool struct {
	addr string
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	limit  int
	inUse  int
	idle   []*conn
	closed bool
	// waiters are requests without a connection; a turn is given by closing the
	// channel.
	waiters []chan struct{}
}

// NewPool returns a pool without connections. The address does not change.
func NewPool(addr string, limit int, dial func(ctx context.Context, addr string) (net.Conn, error)) *Pool {
	return &Pool{addr: addr, limit: limit, dial: dial}
}

// SetLimit changes how many requests may run at a time.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.grantSlots()
}

// acquireSlot waits for a turn.
func (p *Pool) acquireSlot(ctx context.Context) error {
	p.mu.Lock()
	if p.inUse < p.limit {
		p.inUse++
		p.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	p.waiters = append(p.waiters, turn)
	p.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, turn); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		return ctx.Err()
	}
	// The turn came at the same moment; it goes to the next one.
	p.inUse--
	p.grantSlots()
	return ctx.Err()
}

// releaseSlot ends a turn.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	p.grantSlots()
}

// grantSlots gives free turns to those who wait. The caller holds mu.
func (p *Pool) grantSlots() {
	for p.inUse < p.limit && len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
		p.inUse++
	}
}

// Close closes idle connections now and others when their request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// CloseExpired closes idle connections whose time is over.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var over []*conn
	keep := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.idleUntil) {
			over = append(over, c)
		} else {
			keep = append(keep, c)
		}
	}
	p.idle = keep
	p.mu.Unlock()
	for _, c := range over {
		c.close()
	}
}

// IdleUntil returns until when the pool keeps an idle connection; it is zero when
// there is none.
func (p *Pool) IdleUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}
	}
	return p.idle[len(p.idle)-1].idleUntil
}

// getConn returns an idle connection that is still sound, or a new one.
func (p *Pool) getConn(ctx context.Context) (*conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.isReusable() {
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
