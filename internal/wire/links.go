package wire

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	dialTimeout = 500 * time.Millisecond
	// redialMin and redialMax bound the pause between attempts to reach a
	// peer that does not answer.
	redialMin = 100 * time.Millisecond
	redialMax = 2 * time.Second
)

// Links keeps one connection to each of a set of addresses and redials those
// that fail, so that no request waits for a dial. It is safe for concurrent
// use.
type Links struct {
	self Hello
	opts Options
	// OnPeer, if set, is called for each new connection. It must not block.
	OnPeer func(*Peer)
	// RedialMax, if set, takes the place of the longest pause between dials.
	RedialMax time.Duration

	mu    sync.Mutex
	links map[string]*link
}

type link struct {
	cancel context.CancelFunc
	peer   *Peer
	// opened is closed while there is a connection.
	opened chan struct{}
	// wake ends the pause before the next dial.
	wake chan struct{}
}

// NewLinks returns a set without addresses.
func NewLinks(self Hello, opts Options) *Links {
	return &Links{self: self, opts: opts, links: make(map[string]*link)}
}

// Set replaces the addresses. Connections to addresses that stay are kept.
func (l *Links) Set(ctx context.Context, addrs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keep := make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		keep[addr] = true
		if _, ok := l.links[addr]; !ok {
			l.start(ctx, addr)
		}
	}
	for addr, entry := range l.links {
		if !keep[addr] {
			entry.cancel()
			delete(l.links, addr)
		}
	}
}

// Get returns the open connection to an address, or nil.
func (l *Links) Get(addr string) *Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.links[addr]
	if !ok {
		return nil
	}
	return entry.peer
}

// ByVM returns the open connection to a process on a VM, or nil.
func (l *Links) ByVM(vm topology.VMID) *Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range l.links {
		if entry.peer != nil && entry.peer.Remote.VM == vm {
			return entry.peer
		}
	}
	return nil
}

// Peers returns all open connections.
func (l *Links) Peers() []*Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*Peer, 0, len(l.links))
	for _, entry := range l.links {
		if entry.peer != nil {
			out = append(out, entry.peer)
		}
	}
	return out
}

func (l *Links) start(ctx context.Context, addr string) {
	ctx, cancel := context.WithCancel(ctx)
	entry := &link{cancel: cancel, opened: make(chan struct{}), wake: make(chan struct{}, 1)}
	l.links[addr] = entry
	go l.keep(ctx, addr, entry)
}

// keep dials an address until the context is done.
func (l *Links) keep(ctx context.Context, addr string, entry *link) {
	pause := redialMin
	for ctx.Err() == nil {
		peer, err := l.dial(ctx, addr)
		if err != nil {
			klog.V(2).InfoS("Dial failed", "peer", addr, "err", err)
			pause = min(entry.rest(ctx, pause), l.redialMax())
			continue
		}
		pause = redialMin
		l.hold(ctx, entry, peer)
	}
}

func (l *Links) redialMax() time.Duration {
	if l.RedialMax > 0 {
		return l.RedialMax
	}
	return redialMax
}

func (l *Links) dial(ctx context.Context, addr string) (*Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return NewPeer(ctx, conn, l.self, l.opts)
}

// hold publishes a connection until it ends.
func (l *Links) hold(ctx context.Context, entry *link, peer *Peer) {
	l.publish(entry, peer)
	if l.OnPeer != nil {
		l.OnPeer(peer)
	}
	select {
	case <-peer.Done():
	case <-ctx.Done():
		peer.Close()
	}
	l.publish(entry, nil)
}

func (l *Links) publish(entry *link, peer *Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.peer = peer
	if peer != nil {
		close(entry.opened)
	} else {
		entry.opened = make(chan struct{})
	}
}

// rest waits before the next dial and returns the pause after that.
func (e *link) rest(ctx context.Context, pause time.Duration) time.Duration {
	t := time.NewTimer(pause + time.Duration(rand.Int64N(int64(pause))))
	defer t.Stop()
	select {
	case <-t.C:
		return 2 * pause
	case <-e.wake:
		return redialMin
	case <-ctx.Done():
		return pause
	}
}
