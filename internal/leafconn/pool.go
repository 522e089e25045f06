package leafconn

import (
	"context"
	"net"
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

// Pool holds the connections to one leaf. It is safe for concurrent use.
type Pool struct {
	addr string
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool without connections. The address does not change.
func NewPool(addr string, dial func(ctx context.Context, addr string) (net.Conn, error)) *Pool {
	return &Pool{addr: addr, dial: dial}
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
