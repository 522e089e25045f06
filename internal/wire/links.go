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
	// redialMin and redialMax bound the backoff between attempts to connect to a
	// peer that cannot be reached. A random duration of up to its own length is
	// added to each backoff.
	redialMin = 100 * time.Millisecond
	redialMax = 2 * time.Second
)

// Links maintains one connection to each of a set of addresses and redials
// those that are lost, so that no request waits for a dial. It is safe for
// concurrent use.
type Links struct {
	self Hello
	opts Options
	// OnPeer, if set, is called for each new connection. It must not block.
	OnPeer func(*Peer)
	// RedialMax, if set, replaces redialMax, the longest backoff between dials.
	RedialMax time.Duration
	// ConnectTimeout, if set, limits the wait for a host that does not respond. A host
	// that is starting responds to the next dial before it would to this one.
	ConnectTimeout time.Duration

	mu    sync.Mutex
	links map[string]*managedLink
}

// managedLink is the connection to one address.
type managedLink struct {
	cancel context.CancelFunc
	peer   *Peer
	// connected is closed while there is a connection, and replaced by an open
	// channel when the connection is lost.
	connected chan struct{}
	// dialNow ends the backoff before the next dial.
	dialNow chan struct{}
}

// NewLinks returns Links without addresses.
func NewLinks(self Hello, opts Options) *Links {
	return &Links{self: self, opts: opts, links: make(map[string]*managedLink)}
}

// Set replaces the set of addresses. Connections to addresses that are in both
// the old and the new set are kept.
func (l *Links) Set(ctx context.Context, addrs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		wanted[addr] = true
		if _, ok := l.links[addr]; !ok {
			l.startLink(ctx, addr)
		}
	}
	for addr, link := range l.links {
		if !wanted[addr] {
			link.cancel()
			delete(l.links, addr)
		}
	}
}

// Get returns the open connection to an address, or nil.
func (l *Links) Get(addr string) *Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	link, ok := l.links[addr]
	if !ok {
		return nil
	}
	return link.peer
}

// ByVM returns the open connection to a process on a VM, or nil.
func (l *Links) ByVM(vm topology.VMID) *Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.links {
		if link.peer != nil && link.peer.Remote.VM == vm {
			return link.peer
		}
	}
	return nil
}

// Peers returns all open connections.
func (l *Links) Peers() []*Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*Peer, 0, len(l.links))
	for _, link := range l.links {
		if link.peer != nil {
			out = append(out, link.peer)
		}
	}
	return out
}

func (l *Links) startLink(ctx context.Context, addr string) {
	ctx, cancel := context.WithCancel(ctx)
	link := &managedLink{cancel: cancel, connected: make(chan struct{}), dialNow: make(chan struct{}, 1)}
	l.links[addr] = link
	go l.maintain(ctx, addr, link)
}

// maintain dials an address and redials it after each loss of the connection,
// until the context is cancelled.
func (l *Links) maintain(ctx context.Context, addr string, link *managedLink) {
	pause := redialMin
	for ctx.Err() == nil {
		peer, err := l.dial(ctx, addr)
		if err != nil {
			klog.V(2).InfoS("Dial failed", "peer", addr, "err", err)
			pause = min(link.waitBeforeDial(ctx, pause), l.redialMax())
			continue
		}
		pause = redialMin
		l.holdUntilClosed(ctx, link, peer)
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
	d := net.Dialer{Timeout: l.ConnectTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return NewPeer(ctx, conn, l.self, l.opts)
}

// holdUntilClosed makes a connection available to users of Links until it or the
// context is closed.
func (l *Links) holdUntilClosed(ctx context.Context, link *managedLink, peer *Peer) {
	l.setPeer(link, peer)
	if l.OnPeer != nil {
		l.OnPeer(peer)
	}
	select {
	case <-peer.Done():
	case <-ctx.Done():
		peer.Close()
	}
	l.setPeer(link, nil)
}

func (l *Links) setPeer(link *managedLink, peer *Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	link.peer = peer
	if peer != nil {
		close(link.connected)
	} else {
		link.connected = make(chan struct{})
	}
}

// waitBeforeDial waits for the backoff before the next dial and returns the
// backoff after it.
func (m *managedLink) waitBeforeDial(ctx context.Context, pause time.Duration) time.Duration {
	t := time.NewTimer(pause + time.Duration(rand.Int64N(int64(pause))))
	defer t.Stop()
	select {
	case <-t.C:
		return 2 * pause
	case <-m.dialNow:
		return redialMin
	case <-ctx.Done():
		return pause
	}
}
