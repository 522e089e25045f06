package leafconn

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// defaultIdle is how long an idle connection is kept when the leaf states no
	// time.
	defaultIdle = 10 * time.Second
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
	busy   int
	idle   []*conn
	closed bool
	// waiting are requests without a connection; a turn is given by closing the
	// channel.
	waiting []chan struct{}
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
	p.wake()
}

// enter waits for a turn.
func (p *Pool) enter(ctx context.Context) error {
	p.mu.Lock()
	if p.busy < p.limit {
		p.busy++
		p.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	p.waiting = append(p.waiting, turn)
	p.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting, turn); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		return ctx.Err()
	}
	// The turn came at the same moment; it goes to the next one.
	p.busy--
	p.wake()
	return ctx.Err()
}

// exit ends a turn.
func (p *Pool) exit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy--
	p.wake()
}

// wake gives free turns to those who wait. The caller holds mu.
func (p *Pool) wake() {
	for p.busy < p.limit && len(p.waiting) > 0 {
		close(p.waiting[0])
		p.waiting = p.waiting[1:]
		p.busy++
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

// Prune closes idle connections whose time is over.
func (p *Pool) Prune(now time.Time) {
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

// get returns an idle connection that is still sound, or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.quiet() {
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

func (p *Pool) pop() *conn {
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

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}
