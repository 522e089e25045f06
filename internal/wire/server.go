package wire

import (
	"context"
	"net"
	"sync"

	"k8s.io/klog/v2"
)

// Server accepts connections from other processes. It is safe for concurrent
// use.
type Server struct {
	self Hello
	opts Options
	// OnPeer, if set, is called for each new connection. The handler may receive
	// messages of the connection earlier. OnPeer must not block.
	OnPeer func(*Peer)

	mu     sync.Mutex
	peers  map[*Peer]struct{}
	closed bool
}

// NewServer returns a server without a listener.
func NewServer(self Hello, opts Options) *Server {
	return &Server{self: self, opts: opts, peers: make(map[*Peer]struct{})}
}

// Serve accepts connections until the listener is closed and returns the
// listener's error.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go s.accept(ctx, conn)
	}
}

func (s *Server) accept(ctx context.Context, conn net.Conn) {
	peer, err := NewPeer(ctx, conn, s.self, s.opts)
	if err != nil {
		klog.V(1).InfoS("Handshake failed", "peer", conn.RemoteAddr(), "err", err)
		return
	}
	if !s.add(peer) {
		peer.Close()
		return
	}
	if s.OnPeer != nil {
		s.OnPeer(peer)
	}
	<-peer.Done()
	s.remove(peer)
}

// Peers returns all open connections.
func (s *Server) Peers() []*Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Peer, 0, len(s.peers))
	for p := range s.peers {
		out = append(out, p)
	}
	return out
}

// Close closes all accepted connections and those that are accepted later. It
// does not close the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for p := range s.peers {
		p.Close()
	}
}

func (s *Server) add(p *Peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.peers[p] = struct{}{}
	return true
}

func (s *Server) remove(p *Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, p)
}
