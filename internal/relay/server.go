package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/agentlink"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/lifecycle"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// heartbeatInterval is the time between heartbeats to entries and relays.
const heartbeatInterval = time.Second

// Server is the relay process.
type Server struct {
	proc      *telemetry.Process
	frames    *wire.Server
	links     *wire.Links
	leases    *leaseManager
	agent     agentLink
	drain     *lifecycle.Drain
	publisher *leafStatusPublisher
	calls     *callTable
	nextID    atomic.Uint64

	mu       sync.Mutex
	topology *topology.Topology
	views    [2]topology.VMView // current and previous VM list
	workers  map[topology.LeafID]*leafWorker
	stopping bool
	refusing bool
	// draining is true for the other relays of the zone that are about to stop.
	draining map[topology.VMID]bool
}

// NewServer returns a relay without configuration.
func NewServer(proc *telemetry.Process) *Server {
	s := &Server{
		proc: proc, drain: lifecycle.NewDrain(), publisher: newLeafStatusPublisher(), calls: newCallTable(),
		workers:  make(map[topology.LeafID]*leafWorker),
		draining: make(map[topology.VMID]bool),
	}
	s.leases = newLeaseManager(proc, s.sendToRelay)
	s.frames = wire.NewServer(proc.Self, proc.WireOptions(s.handle))
	s.frames.OnPeer = s.publisher.addPeer
	s.links = wire.NewLinks(proc.Self, proc.WireOptions(s.handle))
	return s
}

// Run serves until the context is cancelled, then stops gracefully: it still accepts
// requests during the drain delay, and then waits for the running ones.
func (s *Server) Run(ctx context.Context, ln net.Listener, drainDelay time.Duration) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() { _ = s.frames.Serve(work, ln) }()
	go s.runHeartbeats(work)
	go s.leases.run(work)
	<-ctx.Done()
	s.beginDrain()
	time.Sleep(drainDelay)
	s.refuseNew()
	idle := s.drain.Wait(lifecycle.MaxDrain)
	time.Sleep(flushDelay)
	klog.InfoS("Relay stopped", "idle", idle)
	s.proc.Events.Add(timeline.KindStopped, "", string(s.proc.Self.VM), "")
	_ = ln.Close()
	s.links.Set(work, nil)
	s.frames.Close()
	return nil
}

// flushDelay is the time for sending the last replies before the connections are
// closed.
const flushDelay = 100 * time.Millisecond

// beginDrain announces the stop, so that entries and relays send no new work.
// Requests that are already on their way are still accepted.
func (s *Server) beginDrain() {
	s.drain.Begin()
	s.publisher.announceDrain()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// refuseNew refuses requests from now on, so that none is running when the
// connections are closed.
func (s *Server) refuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
}

// handle processes the messages of entries and of other relays.
func (s *Server) handle(p *wire.Peer, env *wire.Envelope) {
	switch env.Kind {
	case wire.KindLeafRequest:
		s.handleLeafRequest(p, env)
	case wire.KindCancel:
		s.calls.cancel(callKey{peer: p, id: env.ID})
	case wire.KindLeafStatus:
		s.handlePeerLeafStatus(p, env)
	case wire.KindLeafStatusResync:
		s.publisher.sendAll(p)
	case wire.KindLeaseRequest, wire.KindLeaseAck:
		if err := s.leases.handleMessage(p, env); err != nil {
			klog.ErrorS(err, "Cannot decode a lease message", "peer", p.Remote.VM)
		}
	}
}

func (s *Server) handleLeafRequest(p *wire.Peer, env *wire.Envelope) {
	var msg message.LeafRequest
	if err := wire.DecodeBody(env, &msg); err != nil {
		s.reply(p, env, refusalReply(&msg, env, s.proc.Name(), errs.ReasonInvalid))
		return
	}
	if !s.agent.MayAccept() {
		s.reply(p, env, refusalReply(&msg, env, s.proc.Name(), errs.ReasonPaused))
		return
	}
	// The request is counted before s.refusing is read, so that a stop that
	// already refuses requests waits for each one that is still accepted.
	leave := s.drain.Enter()
	worker, reason := s.findWorker(msg.Leaf)
	if worker == nil {
		s.reply(p, env, refusalReply(&msg, env, s.proc.Name(), reason))
		leave()
		return
	}
	now := s.proc.Now()
	key := callKey{peer: p, id: env.ID}
	req := &leafRequest{
		id: s.nextID.Add(1), message: msg,
		shard: topology.ShardID(env.Shard), snapshot: env.Snapshot,
		startBy: now + msg.StartBy, deadline: now + msg.Deadline,
	}
	req.answer = func(r *message.LeafReply) {
		s.calls.remove(key)
		s.reply(p, env, r)
		leave()
	}
	s.calls.add(key, openCall{worker: worker, request: req.id})
	if !worker.post(requestReceived{request: req}) {
		req.answer(refusalReply(&msg, env, s.proc.Name(), errs.ReasonOverloaded))
	}
}

func (s *Server) reply(p *wire.Peer, env *wire.Envelope, r *message.LeafReply) {
	if err := p.ReplyOrClose(env, wire.KindLeafReply, r); err != nil {
		klog.ErrorS(err, "Cannot encode reply", "leaf", r.Leaf)
	}
}

// findWorker returns the worker of a leaf, or the reason to refuse its requests.
func (s *Server) findWorker(leaf topology.LeafID) (*leafWorker, errs.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.workers[leaf]
	switch {
	case s.refusing:
		return nil, errs.ReasonDraining
	case s.topology == nil:
		return nil, errs.ReasonNoConfig
	case !ok:
		return nil, errs.ReasonNotOwner
	default:
		return w, ""
	}
}

func refusalReply(msg *message.LeafRequest, env *wire.Envelope, peer string, reason errs.Reason) *message.LeafReply {
	err := errs.New(errs.StepRelayQueue, peer, reason, true, "refused by relay")
	return &message.LeafReply{
		Leaf: msg.Leaf, Shard: topology.ShardID(env.Shard),
		Failure: message.NewFailure(err, err.Step, err.Peer),
	}
}

// agentLink is the connection to the VM's agent.
type agentLink interface {
	agentCaller
	// MayAccept is false after a pause of the process until the agent has
	// confirmed the configuration.
	MayAccept() bool
	// SinceLastOffer is the time since the last message from the agent.
	SinceLastOffer() time.Duration
}

// SetLink sets the connection to the agent. It must be called before Run.
func (s *Server) SetLink(a agentLink) {
	s.agent = a
	s.leases.agent = a
}

// sendToRelay sends a message to another relay of the zone. Without a connection
// the message is dropped; the lease machine repeats it.
func (s *Server) sendToRelay(to topology.VMID, kind wire.Kind, body any) {
	p := s.links.ByVM(to)
	if p == nil {
		return
	}
	if err := p.Notify(kind, body); err != nil {
		klog.ErrorS(err, "Cannot encode a message", "peer", to, "kind", kind)
	}
}

// HandleLossReport implements agentlink.Receiver. A relay ignores these messages, since only
// entries quarantine queries.
func (s *Server) HandleLossReport(*wire.Envelope) {}

// Status fills in the fields of the status response that a relay reports.
func (s *Server) Status(out *medlarv1.StatusResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topology != nil {
		out.Generation = s.topology.Generation
	}
	out.Ready = s.topology != nil && !s.stopping && s.agent.SinceLastOffer() < agentlink.MaxOfferAge
	for _, w := range s.workers {
		if status := w.currentStatus(); status != nil {
			out.Leaves = append(out.Leaves, status)
		}
	}
}
