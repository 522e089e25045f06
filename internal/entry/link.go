package entry

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/quarantine"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// agentLink is the connection to the VM's agent.
type agentLink interface {
	Send(kind wire.Kind, body any)
	// MayAccept is false after a pause of the process until the agent has
	// confirmed the configuration.
	MayAccept() bool
	// Silence is how long nothing was heard from the agent.
	Silence() time.Duration
}

// SetLink gives the entry its agent. It must be called before Run.
func (s *Server) SetLink(l agentLink) { s.agent = l }

// Fact implements agentlink.Receiver.
func (s *Server) Fact(env *wire.Envelope) {
	var f quarantine.LossReport
	if err := wire.DecodeBody(env, &f); err != nil {
		klog.ErrorS(err, "Cannot decode fact")
		return
	}
	s.policy.learnFact(f)
}

// spreadFact passes a fact on to all other entries through the agents.
func (s *Server) spreadFact(f quarantine.LossReport) { s.agent.Send(wire.KindLossReport, f) }

// greet tells an entry that has just been connected what is in quarantine.
func (s *Server) greet(p *wire.Peer) {
	for _, f := range s.policy.facts() {
		if err := p.Notify(wire.KindLossReport, f); err != nil {
			klog.ErrorS(err, "Cannot encode fact")
		}
	}
}

// mayAccept refuses new work after a pause of the process.
func (s *Server) mayAccept(step errs.Step) *errs.Error {
	if s.agent.MayAccept() {
		return nil
	}
	return errs.New(step, s.proc.Name(), errs.ReasonPaused, true, "the process was paused and checks its configuration")
}
