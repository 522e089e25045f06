package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/submit"
	"github.com/medlarswitch/medlarswitch/internal/submit/route"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// forwardSubmit forwards a submission to the VM that issued its ticket. Without an
// answer the outcome is unknown, because an earlier attempt may have run.
func (s *Server) forwardSubmit(ctx context.Context, addr string, r *submission) (submitAnswer, *errs.Error) {
	s.proc.Events.Add(timeline.KindSubmitForward, r.id, addr, r.ticket.String())
	peer := s.entries.Await(ctx, addr)
	if peer == nil {
		err := errs.New(errs.StepForward, addr, errs.ReasonIssuerGone, true, "no connection to the ticket's issuer")
		return submitAnswer{outcome: route.FailedForwardOutcome(err, addr), requestID: r.id}, nil
	}
	env, err := peer.Call(ctx, wire.KindSubmit, string(r.shard), topology.Snapshot{}, message.SubmitForward{
		Ticket: r.ticket.String(), Class: r.class.ID, Shard: r.shard,
		Payload: r.payload, Deadline: r.deadline - s.proc.Now(),
	})
	if err != nil {
		return submitAnswer{outcome: route.FailedForwardOutcome(err, addr), requestID: r.id}, nil
	}
	var answer message.SubmitAnswer
	if err := wire.DecodeBody(env, &answer); err != nil {
		return submitAnswer{outcome: route.FailedForwardOutcome(err, addr), requestID: r.id}, nil
	}
	if answer.Failure != nil {
		return submitAnswer{}, answer.Failure.Err()
	}
	return submitAnswer{
		outcome:  submit.Outcome{Kind: submit.OutcomeKind(answer.Outcome), Result: answer.Result, Reason: answer.Reason},
		repeated: answer.Repeated, requestID: answer.RequestID,
	}, nil
}

// handleForwardedSubmit answers a submission that another entry forwarded.
func (s *Server) handleForwardedSubmit(p *wire.Peer, env *wire.Envelope) {
	leave := s.drain.Enter()
	defer leave()
	// The other entry's call then ends with its deadline, and the outcome is unknown there.
	defer s.proc.Panics.Recover("forwarded-submit", string(p.Remote.VM), nil)
	answer := s.runForwardedSubmit(env)
	if err := p.Reply(env, wire.KindSubmitAnswer, answer); err != nil {
		klog.ErrorS(err, "Cannot encode a submit answer")
	}
}

func (s *Server) runForwardedSubmit(env *wire.Envelope) message.SubmitAnswer {
	r, e := s.decodeForwardedSubmit(env)
	if e != nil {
		return message.SubmitAnswer{Failure: message.NewFailure(e, e.Step, e.Peer)}
	}
	decision := route.Decide(s.proc.Self.VM, s.view.Load().vms, r.ticket, true)
	if decision.Kind != route.Local {
		return toSubmitAnswer(submitAnswer{outcome: decision.Outcome, requestID: r.id})
	}
	wait := r.deadline - s.proc.Now() + s.classRunLimit(r.class) + deadlineGrace
	ctx, cancel := context.WithTimeout(context.Background(), max(wait, time.Millisecond))
	defer cancel()
	outcome, repeated, e := s.submitLocally(ctx, r)
	if e != nil {
		return message.SubmitAnswer{Failure: message.NewFailure(e, e.Step, e.Peer)}
	}
	return toSubmitAnswer(submitAnswer{outcome: outcome, repeated: repeated, requestID: r.id})
}

func (s *Server) decodeForwardedSubmit(env *wire.Envelope) (*submission, *errs.Error) {
	var msg message.SubmitForward
	if err := wire.DecodeBody(env, &msg); err != nil {
		return nil, errs.Wrap(err, errs.StepDecode, s.proc.Name(), errs.ReasonInvalid, false)
	}
	ticket, err := submit.ParseTicket(msg.Ticket)
	if err != nil {
		return nil, errs.From(err, errs.StepTicket, s.proc.Name())
	}
	class, e := s.submitClass(string(msg.Class))
	if e != nil {
		return nil, e
	}
	return &submission{
		id: ticket.String(), ticket: ticket, class: class, shard: msg.Shard,
		payload: msg.Payload, deadline: s.proc.Now() + msg.Deadline,
	}, nil
}

func toSubmitAnswer(a submitAnswer) message.SubmitAnswer {
	return message.SubmitAnswer{
		Outcome: uint8(a.outcome.Kind), Result: a.outcome.Result, Reason: a.outcome.Reason,
		Repeated: a.repeated, RequestID: a.requestID,
	}
}

// issueAtOtherEntry asks other entries in turn for a ticket until one issues it.
func (s *Server) issueAtOtherEntry(ctx context.Context, class topology.ClassID) (string, error) {
	last := errs.New(errs.StepTicket, s.proc.Name(), errs.ReasonDraining, true, "no other entry issued a ticket")
	for _, peer := range s.entries.Peers() {
		env, err := peer.Call(ctx, wire.KindBeginSubmit, "", topology.Snapshot{}, message.BeginForward{Class: class})
		if err != nil {
			continue
		}
		var answer message.BeginAnswer
		if err := wire.DecodeBody(env, &answer); err != nil || answer.Failure != nil {
			continue
		}
		return answer.Ticket, nil
	}
	return "", last
}

// handleForwardedBegin issues a ticket for an entry that is about to stop. It does not
// forward the request again, so that it is not passed back and forth between two stopping
// entries.
func (s *Server) handleForwardedBegin(p *wire.Peer, env *wire.Envelope) {
	answer := message.BeginAnswer{Lifetime: submit.DefaultLifetime}
	if s.stopping.Load() {
		e := errs.New(errs.StepTicket, s.proc.Name(), errs.ReasonDraining, true, "this entry is about to stop")
		answer.Failure = message.NewFailure(e, e.Step, e.Peer)
	} else if ticket, err := s.submits.issueTicket(); err != nil {
		answer.Failure = message.NewFailure(err, errs.StepTicket, s.proc.Name())
	} else {
		answer.Ticket = ticket.String()
	}
	if err := p.Reply(env, wire.KindBeginSubmit, answer); err != nil {
		klog.ErrorS(err, "Cannot encode a ticket")
	}
}
