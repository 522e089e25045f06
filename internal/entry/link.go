package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/quarantine"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// agentLink is the connection to the VM's agent.
type agentLink interface {
	Send(kind wire.Kind, body any)
	// MayAccept reports whether new work may be accepted. It is false after a
	// pause of the process until the agent has confirmed the configuration, but
	// for at most 1 s.
	MayAccept() bool
	// SinceLastOffer returns the time since the agent last sent its generation.
	SinceLastOffer() time.Duration
}

// SetLink sets the connection to the agent. It must be called before Run.
func (s *Server) SetLink(l agentLink) { s.agent = l }

// HandleLossReport implements agentlink.Receiver.
func (s *Server) HandleLossReport(env *wire.Envelope) {
	var report quarantine.LossReport
	if err := wire.DecodeBody(env, &report); err != nil {
		klog.ErrorS(err, "Cannot decode a loss report")
		return
	}
	s.policy.applyLossReport(report)
}

// lossReportTimeout limits how long the answer to a request that crashed an upstream waits
// until the other entries know. The caller may repeat the request at any of them.
const lossReportTimeout = 300 * time.Millisecond

// broadcastLossReport sends a loss report to all other entries: directly to those that are
// connected, whose confirmations it waits for, and through the agents.
func (s *Server) broadcastLossReport(report quarantine.LossReport) {
	s.agent.Send(wire.KindLossReport, report)
	ctx, cancel := context.WithTimeout(context.Background(), lossReportTimeout)
	defer cancel()
	var confirmations sync.WaitGroup
	for _, p := range s.entries.Peers() {
		confirmations.Go(func() {
			if _, err := p.Call(ctx, wire.KindLossReport, "", topology.Snapshot{}, report); err != nil {
				klog.ErrorS(err, "A loss report was not confirmed", "peer", p.Remote.VM, "fingerprint", report.Fingerprint)
			}
		})
	}
	confirmations.Wait()
}

// handleLossReport handles a loss report that another entry sent, and confirms it if the
// entry asks for that.
func (s *Server) handleLossReport(p *wire.Peer, env *wire.Envelope) {
	s.HandleLossReport(env)
	if env.ID == 0 {
		return
	}
	if err := p.ReplyOrClose(env, wire.KindLossReport, struct{}{}); err != nil {
		klog.ErrorS(err, "Cannot confirm a loss report", "peer", p.Remote.VM)
	}
}

// sendActiveLosses sends the losses that still count to an entry that has just
// been connected.
func (s *Server) sendActiveLosses(p *wire.Peer) {
	for _, report := range s.policy.activeLosses() {
		if err := p.Notify(wire.KindLossReport, report); err != nil {
			klog.ErrorS(err, "Cannot encode a loss report")
		}
	}
}

// mayAccept refuses new work after a pause of the process until the agent has
// confirmed the configuration.
func (s *Server) mayAccept(step errs.Step) *errs.Error {
	if s.agent.MayAccept() {
		return nil
	}
	return errs.New(step, s.proc.Name(), errs.ReasonPaused, true, "the process was paused and checks its configuration")
}
