package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/platform"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// Config holds the settings of an agent.
type Config struct {
	// Self describes this VM by the agent's settings.
	Self topology.VM
	// Platform is the URL of the object store and the VM list.
	Platform string
	// PollInterval is the time between reads of the VM list.
	PollInterval time.Duration
	// Peers are the addresses of agents to contact before the VM list is known.
	Peers []string
	// DrainDelay is how long a stopping agent still serves its VM.
	DrainDelay time.Duration
}

// Server is the agent process. Its methods are safe for concurrent use.
type Server struct {
	proc     *telemetry.Process
	cfg      Config
	platform *platform.Client
	frames   *wire.Server
	peers    *wire.Links
	loop     *configLoop
	store    *storeReader
	pauses   *pauseGuard

	mu          sync.Mutex
	view        topology.VMView
	manifest    confsync.Manifest // of the active generation
	subscribers map[*wire.Peer]struct{}
}

// NewServer returns an agent without configuration.
func NewServer(proc *telemetry.Process, cfg Config) *Server {
	s := &Server{
		proc: proc, cfg: cfg, platform: platform.NewClient(cfg.Platform, ""),
		subscribers: make(map[*wire.Peer]struct{}),
	}
	s.frames = wire.NewServer(proc.Self, proc.WireOptions(s.handle))
	s.frames.OnPeer = s.addSubscriber
	s.peers = wire.NewLinks(proc.Self, proc.WireOptions(s.handle))
	s.loop = newConfigLoop(s)
	s.pauses = newPauseGuard(s)
	s.store = newStoreReader(proc, s.platform, s.loop.postBlocking)
	return s
}

// Run serves until the context is cancelled and the drain delay has passed. The other
// processes of the VM stop at the same time and need the agent until they have
// stopped.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() { _ = s.frames.Serve(work, ln) }()
	s.peers.Set(work, s.cfg.Peers)
	go s.loop.run(work)
	go s.pollVMs(work)
	go s.repeatManifest(work)
	go s.pauses.run(work)
	<-ctx.Done()
	time.Sleep(s.cfg.DrainDelay)
	s.frames.Close()
	return ln.Close()
}

// handle handles the messages of other agents and of the VM's own processes.
func (s *Server) handle(p *wire.Peer, env *wire.Envelope) {
	switch env.Kind {
	case wire.KindHeartbeat:
		s.handleHeartbeat(p, env)
	case wire.KindConfigOffer:
		var m confsync.Manifest
		if decode(p, env, &m) {
			s.loop.post(confsync.ManifestReceived{From: p.Remote.VM, Manifest: m})
		}
	case wire.KindConfigFetch:
		go s.handleConfigFetch(p, env)
	case wire.KindVMView:
		var msg message.VMView
		if decode(p, env, &msg) {
			s.setVMs(msg.View)
		}
	case wire.KindLossReport:
		s.forwardLossReport(p, env)
	case wire.KindEvictions:
		go s.handleEvictions(p, env)
	case wire.KindConfirm:
		go s.handleConfirm(p, env)
	}
}

func (s *Server) handleHeartbeat(p *wire.Peer, env *wire.Envelope) {
	var hb message.Heartbeat
	if !decode(p, env, &hb) {
		return
	}
	s.loop.post(confsync.HeartbeatReceived{
		From: p.Remote.VM, Generation: hb.Generation, StoreAge: hb.StoreAge, Request: confsync.ReplyRequest(hb.Request),
	})
	s.mu.Lock()
	view := s.view
	s.mu.Unlock()
	if view.Version > hb.VMVersion {
		notify(p, wire.KindVMView, message.VMView{View: view})
	}
}

// handleConfigFetch answers a request for the text of a section.
func (s *Server) handleConfigFetch(p *wire.Peer, env *wire.Envelope) {
	defer s.proc.Panics.Recover("config-fetch", string(p.Remote.VM), nil)
	var req message.ConfigFetch
	if !decode(p, env, &req) {
		return
	}
	text, ok := s.loop.section(req.Section, req.EditID)
	push := message.ConfigPush{Section: req.Section, EditID: req.EditID, Found: ok, Text: text}
	if err := p.Reply(env, wire.KindConfigPush, push); err != nil {
		klog.ErrorS(err, "Cannot encode a section", "section", req.Section)
	}
}

// forwardLossReport forwards a loss report of one of the VM's own processes to all
// other agents, and one of another agent to the VM's own processes.
func (s *Server) forwardLossReport(p *wire.Peer, env *wire.Envelope) {
	targets := s.peers.Peers()
	if p.Remote.Role == wire.RoleAgent {
		targets = s.subscriberList()
	}
	for _, target := range targets {
		target.Forward(env)
	}
}

// Status fills in the agent's part of the status response for operators.
func (s *Server) Status(out *medlarv1.StatusResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Generation = s.manifest.Generation
	out.Ready = s.manifest.Generation > 0
	for _, vm := range s.view.VMs {
		out.Vms = append(out.Vms, &medlarv1.VMStatus{Id: string(vm.ID), Zone: string(vm.Zone)})
	}
}

func decode(p *wire.Peer, env *wire.Envelope, into any) bool {
	if err := wire.DecodeBody(env, into); err != nil {
		klog.ErrorS(err, "Cannot decode a message", "peer", p.Remote.VM, "kind", env.Kind)
		return false
	}
	return true
}

func notify(p *wire.Peer, kind wire.Kind, body any) {
	if err := p.Notify(kind, body); err != nil {
		klog.ErrorS(err, "Cannot encode a message", "peer", p.Remote.VM, "kind", kind)
	}
}
