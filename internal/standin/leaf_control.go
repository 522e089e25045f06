package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Crash simulates a crash and restart: all connections close, and the leaf is cold
// with a new boot ID.
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

// TurnCold makes the leaf cold under the same boot ID.
func (l *Leaf) TurnCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served = 0
}

// SetUnresponsive sets whether the leaf runs requests without sending a reply.
func (l *Leaf) SetUnresponsive(unresponsive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = unresponsive
}

// SetLeaving sets whether the leaf refuses new requests and reports that it is
// leaving.
func (l *Leaf) SetLeaving(leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = leaving
}

// SetReportsIdle sets whether the leaf reports a load of 0 regardless of the
// requests that run.
func (l *Leaf) SetReportsIdle(reportsIdle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportsIdle = reportsIdle
}

// SetSlow sets a time that is added to the run time of each request.
func (l *Leaf) SetSlow(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extraRunTime = d
}

// SetIndexVersions changes the versions that the leaf serves.
func (l *Leaf) SetIndexVersions(versions []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.IndexVersions = versions
}

// Stats returns the counters of the leaf.
func (l *Leaf) Stats() LeafStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.ID, s.BootID, s.Warm = l.cfg.ID, l.boot, l.isWarm()
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

// limitedListener closes accepted connections above the leaf's limit.
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
