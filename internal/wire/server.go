package wire

import (
	"context"
	"net"
	"sync"

	"k8s.io/klog/v2"
)

// Server accepts connections from other processes.
type Server struct {
	self Hello
	opts Options
	// OnPeer, if set, is called for each new connection before its messages
	// are needed by anyone else. It must not block.
	OnPeer func(*Peer)

	mu    sync.Mutex
	peers map[*Peer]struct{}
	done  bool
}

// NewServer returns a server that has no listener yet.
func NewServer(self Hello, opts Options) *Server {
	return &Server{self: self, opts: opts, peers: make(map[*Peer]struct{})}
}

// Serve accepts connections until the listener is closed.
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
		klog.V(1).InfoS("Rejected connection", "peer", conn.RemoteAddr(), "err", err)
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

// Close closes all accepted connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	for p := range s.peers {
		p.Close()
	}
}

func (s *Server) add(p *Peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
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
