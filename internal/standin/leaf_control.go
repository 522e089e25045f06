package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Crash loses all connections and starts the leaf anew: cold, with another
// boot ID.
func (l *Leaf) Crash() {
	l.mu.Lock()
	l.boot = rand.Uint64()
	l.served, l.running = 0, 0
	close(l.slotFree)
	l.slotFree = make(chan struct{})
	l.stats.Crashes++
	conns := l.conns
	l.conns = make(map[net.Conn]struct{})
	l.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
}

// TurnCold makes the leaf cold without a new boot ID.
func (l *Leaf) TurnCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served = 0
}

// SetSilent makes the leaf run requests without ever replying, or ends that.
func (l *Leaf) SetSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
}

// SetLeaving makes the leaf refuse new work and report that it leaves.
func (l *Leaf) SetLeaving(leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = leaving
}

// SetLyingIdle makes the leaf report no load whatever runs, or ends that.
func (l *Leaf) SetLyingIdle(lying bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lyingIdle = lying
}

// SetSlow adds to the run time of each request.
func (l *Leaf) SetSlow(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowBy = d
}

// SetIndexVersions changes the versions that the leaf serves.
func (l *Leaf) SetIndexVersions(versions []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.IndexVersions = versions
}

// Stats returns the leaf's counters.
func (l *Leaf) Stats() LeafStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.ID, s.BootID, s.Warm = l.cfg.ID, l.boot, l.warm()
	return s
}

func (l *Leaf) trackConn(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.conns[conn] = struct{}{}
		l.stats.MaxConnections = max(l.stats.MaxConnections, len(l.conns))
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, conn)
	}
}

// limitedListener refuses connections above the leaf's limit.
type limitedListener struct {
	net.Listener
	leaf *Leaf
}

// Accept implements net.Listener.
func (ln *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := ln.Listener.Accept()
		if err != nil || ln.leaf.admitConn() {
			return conn, err
		}
		_ = conn.Close()
	}
}

func (l *Leaf) admitConn() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.cfg.Connections {
		return true
	}
	l.stats.Refused++
	return false
}
