package main

import (
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"
)

// storePath forwards the calls of VMs to the store, whose answers to some writes it loses.
type storePath struct {
	rig     *rig
	server  *http.Server
	addr    string
	forward *httputil.ReverseProxy

	mu sync.Mutex
	// lateLeaves are the VMs whose next removal of their member entry is not answered, and done only
	// lateBy later.
	lateLeaves map[string]bool
	writes     int
	lost       int
}

// lateBy is how much later a write is done whose answer is lost: "done 1 to 6 s later".
const lateBy = 5 * time.Second

func newStorePath(g *rig) (*storePath, error) {
	target, err := url.Parse("http://" + g.store.Addr())
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", loopback+"250:0")
	if err != nil {
		return nil, err
	}
	s := &storePath{rig: g, addr: ln.Addr().String(), forward: httputil.NewSingleHostReverseProxy(target), lateLeaves: make(map[string]bool)}
	s.forward.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *storePath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		s.forward.ServeHTTP(w, r)
		return
	}
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	s.mu.Lock()
	s.writes++
	late := r.Method == http.MethodDelete && s.lateLeaves[name]
	if late {
		s.lost++
		delete(s.lateLeaves, name)
	}
	s.mu.Unlock()
	s.rig.record("write %s %s late=%t", r.Method, r.URL.Path, late)
	if !late {
		s.forward.ServeHTTP(w, r)
		return
	}
	time.AfterFunc(lateBy, func() {
		req, err := http.NewRequest(http.MethodDelete, "http://"+s.rig.store.Addr()+r.URL.Path, nil)
		if err != nil {
			return
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		s.rig.record("done late: DELETE %s status=%d", r.URL.Path, resp.StatusCode)
	})
	// A connection on which an answer is lost returns nothing further.
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// members counts the member entries of VMs.
func (s *storePath) members() int {
	n := 0
	for _, vm := range s.rig.nodes {
		if s.rig.store.Has("medlar-members", vm.name) {
			n++
		}
	}
	return n
}
