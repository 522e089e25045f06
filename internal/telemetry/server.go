package telemetry

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
)

const readHeaderTimeout = 2 * time.Second

// StatusFunc sets the fields of a response that depend on the role of the process.
type StatusFunc func(*medlarv1.StatusResponse)

// Server is the HTTP endpoint of a process for operators.
type Server struct {
	proc   *Process
	status StatusFunc
	http   *http.Server
}

// NewServer returns a server that does not listen yet. The status function may
// be called at any time from any goroutine.
func NewServer(proc *Process, status StatusFunc) *Server {
	s := &Server{proc: proc, status: status}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", s.handleReady)
	mux.HandleFunc("/metrics", s.handleMetrics)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.Handle(medlarv1connect.NewAdminServiceHandler(s))
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// Listen starts a server on an address. It serves requests until Close is called.
func Listen(proc *Process, addr string, status StatusFunc) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := NewServer(proc, status)
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// Status implements the AdminService.
func (s *Server) Status(context.Context, *connect.Request[medlarv1.StatusRequest]) (*connect.Response[medlarv1.StatusResponse], error) {
	return connect.NewResponse(s.currentStatus()), nil
}

// Events implements the AdminService.
func (s *Server) Events(_ context.Context, req *connect.Request[medlarv1.EventsRequest]) (*connect.Response[medlarv1.EventsResponse], error) {
	events, dropped := s.proc.Events.Events(req.Msg.GetRequestId())
	out := &medlarv1.EventsResponse{Dropped: dropped}
	for _, e := range events {
		out.Events = append(out.Events, &medlarv1.Event{
			WallNs: e.Stamp.WallNS, Logical: e.Stamp.Logical,
			Process: string(s.proc.Self.Role), Vm: string(s.proc.Self.VM),
			Kind: string(e.Kind), RequestId: e.RequestID, Subject: e.Subject, Detail: e.Detail,
		})
	}
	return connect.NewResponse(out), nil
}

func (s *Server) currentStatus() *medlarv1.StatusResponse {
	out := &medlarv1.StatusResponse{
		Process: string(s.proc.Self.Role), Vm: string(s.proc.Self.VM),
		Zone: string(s.proc.Self.Zone), BootId: uint64(s.proc.Self.Boot),
	}
	s.status(out)
	return out
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.currentStatus().GetReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.proc.Metrics, w)
}
