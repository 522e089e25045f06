package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/agentlink"
	"github.com/medlarswitch/medlarswitch/internal/lifecycle"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const (
	readHeaderTimeout = 5 * time.Second
	// idleTimeout limits the time between two requests on a connection of a caller.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the headers of a request, maxRequestBytes its message, also once it
	// is decompressed: a longer one does not fit into a frame to a relay.
	maxHeaderBytes  = 64 << 10
	maxRequestBytes = wire.MaxFrameBytes
	// ticketExpiryInterval is how often expired tickets are dropped.
	ticketExpiryInterval = time.Second
)

// Config holds the limits of an entry process.
type Config struct {
	// MaxQueries is the number of queries and submits that run at a time.
	MaxQueries int
	// MaxTickets is the number of tickets that are open at a time.
	MaxTickets int
	// DrainDelay is how long a stopping entry serves new requests before it closes
	// its listeners.
	DrainDelay time.Duration
}

// Server is the entry process. Its methods are safe for concurrent use.
type Server struct {
	proc      *telemetry.Process
	cfg       Config
	view      atomic.Pointer[view]
	builder   *viewBuilder
	relays    *wire.Links
	entries   *wire.Links
	frames    *wire.Server
	drain     *lifecycle.Drain
	policy    *policy
	submits   *submitLedger
	metrics   *entryMetrics
	requestID atomic.Uint64
	stopping  atomic.Bool
	agent     agentLink
}

// NewServer returns an entry without configuration.
func NewServer(proc *telemetry.Process, cfg Config) *Server {
	s := &Server{proc: proc, cfg: cfg, drain: lifecycle.NewDrain(), metrics: newEntryMetrics(proc.Metrics)}
	s.policy = newPolicy(proc, cfg, s.broadcastLossReport)
	s.submits = newSubmitLedger(proc, cfg)
	s.view.Store(emptyView())
	s.builder = newViewBuilder(proc.Self.VM, proc.Self.Zone, s.policy, proc.Now, s.view.Store)
	s.frames = wire.NewServer(proc.Self, proc.WireOptions(s.handle))
	s.relays = wire.NewLinks(proc.Self, proc.WireOptions(s.handle))
	s.entries = wire.NewLinks(proc.Self, proc.WireOptions(s.handle))
	s.entries.OnPeer = s.sendActiveLosses
	return s
}

// Listeners holds the listeners of an entry process.
type Listeners struct {
	Callers net.Listener
	Frames  net.Listener
}

// Run serves until the context is cancelled, then stops gracefully: it accepts requests
// for the drain delay, then waits for those in progress.
func (s *Server) Run(ctx context.Context, ln Listeners) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go s.builder.run(work)
	go s.policy.run(work)
	go s.submits.run(work)
	go func() { _ = s.frames.Serve(work, ln.Frames) }()
	callers := s.callerServer()
	go func() { _ = callers.Serve(ln.Callers) }()
	<-ctx.Done()
	return s.stop(callers)
}

// callerServer returns the server for callers.
func (s *Server) callerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(medlarv1connect.NewQueryServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes)))
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// stop drains the entry. The process is no longer ready, by which the load balancer
// removes it; requests that still arrive during the drain delay are served.
func (s *Server) stop(callers *http.Server) error {
	s.stopping.Store(true)
	s.drain.Begin()
	s.proc.Events.Add(timeline.KindDrain, "", string(s.proc.Self.VM), "")
	time.Sleep(s.cfg.DrainDelay)
	idle := s.drain.Wait(lifecycle.MaxDrain)
	ctx, cancel := context.WithTimeout(context.Background(), lifecycle.MaxDrain)
	defer cancel()
	err := callers.Shutdown(ctx)
	klog.InfoS("Entry stopped", "idle", idle)
	s.proc.Events.Add(timeline.KindStopped, "", string(s.proc.Self.VM), "")
	s.frames.Close()
	s.relays.Set(ctx, nil)
	s.entries.Set(ctx, nil)
	return err
}

// SetTopology implements agentlink.Receiver. It applies a configuration.
func (s *Server) SetTopology(_ context.Context, t *topology.Topology) {
	s.proc.Events.Add(timeline.KindConfigActive, "", "generation", itoa(t.Generation))
	s.policy.retain(t)
	s.builder.inputs <- viewInput{topology: t}
}

// SetVMs implements agentlink.Receiver. It applies a VM list and connects to the
// relays and entries in it.
func (s *Server) SetVMs(ctx context.Context, v topology.VMView) {
	if v.Version < s.view.Load().vms.Version {
		return
	}
	var relays, entries []string
	for _, vm := range v.VMs {
		relays = append(relays, vm.RelayAddress)
		if vm.ID != s.proc.Self.VM {
			entries = append(entries, vm.EntryAddress)
		}
	}
	s.relays.Set(ctx, relays)
	s.entries.Set(ctx, entries)
	s.builder.inputs <- viewInput{vms: &v}
}

// handle handles the messages of relays and of other entries.
func (s *Server) handle(p *wire.Peer, env *wire.Envelope) {
	switch env.Kind {
	case wire.KindLeafStatus:
		s.handleLeafStatus(p, env)
	case wire.KindSubmit:
		go s.handleForwardedSubmit(p, env)
	case wire.KindBeginSubmit:
		s.handleForwardedBegin(p, env)
	case wire.KindLossReport:
		s.handleLossReport(p, env)
	}
}

func (s *Server) handleLeafStatus(p *wire.Peer, env *wire.Envelope) {
	var update message.LeafStatusUpdate
	if err := wire.DecodeBody(env, &update); err != nil {
		klog.ErrorS(err, "Cannot decode leaf status", "peer", p.Remote.VM)
		return
	}
	s.builder.inputs <- viewInput{update: &leafUpdate{
		from: p.Remote.VM, update: update,
		resync: func() { p.Forward(&wire.Envelope{Kind: wire.KindLeafStatusResync}) },
	}}
}

// Status fills in the entry's part of the status response for operators.
func (s *Server) Status(out *medlarv1.StatusResponse) {
	v := s.view.Load()
	if v.topology == nil {
		return
	}
	out.Generation = v.topology.Generation
	out.Ready = !s.stopping.Load() && s.agent.SinceLastOffer() < agentlink.MaxOfferAge
	for _, vm := range v.vms.VMs {
		out.Vms = append(out.Vms, &medlarv1.VMStatus{Id: string(vm.ID), Zone: string(vm.Zone)})
	}
}

func (s *Server) newRequestID() string {
	return string(s.proc.Self.VM) + "-" + s.proc.Self.Boot.String() + "-" + itoa(s.requestID.Add(1))
}
