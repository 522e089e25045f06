package main

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/platform/standin"
)

// store is the platform's store: the project's stand-in behind a server that can lose
// answers.
type store struct {
	rig    *rig
	inner  *standin.Store
	server *http.Server
	addr   string

	mu sync.Mutex
	// lostCalls is how many more of the calls that remove a VM's entry get no answer and are
	// executed after lateBy.
	lostCalls int
	lateBy    time.Duration
	// writes counts the write calls of the VMs, late those that were executed late.
	writes, late int
}

func newStore(r *rig) (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rig: r, inner: standin.NewStore(), addr: ln.Addr().String()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) close() {
	_ = s.server.Close()
	s.inner.Close()
}

// loseAnswers makes the store execute a number of removals late and leave them unanswered.
func (s *store) loseAnswers(calls int, lateBy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostCalls, s.lateBy = calls, lateBy
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet {
		s.inner.ServeHTTP(w, req)
		return
	}
	s.rig.note(time.Now(), "store: %s %s", req.Method, req.URL.Path)
	if s.isLost(req) {
		kind, name, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/-/objects/"), "/")
		time.AfterFunc(s.lateBy, func() {
			s.rig.note(time.Now(), "store: executes late: DELETE %s/%s", kind, name)
			s.inner.Delete(kind, name)
		})
		<-req.Context().Done()
		return
	}
	s.inner.ServeHTTP(w, req)
}

func (s *store) isLost(req *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if req.Method != http.MethodDelete || s.lostCalls == 0 {
		return false
	}
	s.lostCalls--
	s.late++
	return true
}

// writeCounts returns how many write calls there were, and how many were executed late.
func (s *store) writeCounts() (writes, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.late
}
