package entry

import (
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// agentSender passes facts on to the VM's agent.
type agentSender interface {
	Send(kind wire.Kind, body any)
}

// SetLink gives the entry its agent. It must be called before Run.
func (s *Server) SetLink(l agentSender) { s.agent = l }

// Fact implements agentlink.Receiver.
func (s *Server) Fact(env *wire.Envelope) { s.policy.fact(env) }
