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

// forwardSubmit hands a submission to the VM that issued its ticket. Without
// an answer the outcome is unknown, because an earlier attempt may have run.
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

// forwardedSubmit answers a submission that another entry handed over.
func (s *Server) forwardedSubmit(p *wire.Peer, env *wire.Envelope) {
	leave := s.drain.Enter()
	defer leave()
	answer := s.answerForwarded(env)
	if err := p.Reply(env, wire.KindSubmitAnswer, answer); err != nil {
		klog.ErrorS(err, "Cannot encode submit answer")
	}
}

func (s *Server) answerForwarded(env *wire.Envelope) message.SubmitAnswer {
	r, e := s.decodeForwarded(env)
	if e != nil {
		return message.SubmitAnswer{Failure: message.NewFailure(e, e.Step, e.Peer)}
	}
	decided := route.Decide(s.proc.Self.VM, s.view.Load().vms, r.ticket, true)
	if decided.Kind != route.Local {
		return submitMessage(submitAnswer{outcome: decided.Outcome, requestID: r.id})
	}
	wait := r.deadline - s.proc.Now() + s.maxRunLimit(r.class) + deadlineGrace
	ctx, cancel := context.WithTimeout(context.Background(), max(wait, time.Millisecond))
	defer cancel()
	outcome, repeated, e := s.submitHere(ctx, r)
	if e != nil {
		return message.SubmitAnswer{Failure: message.NewFailure(e, e.Step, e.Peer)}
	}
	return submitMessage(submitAnswer{outcome: outcome, repeated: repeated, requestID: r.id})
}

func (s *Server) decodeForwarded(env *wire.Envelope) (*submission, *errs.Error) {
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

func submitMessage(a submitAnswer) message.SubmitAnswer {
	return message.SubmitAnswer{
		Outcome: uint8(a.outcome.Kind), Result: a.outcome.Result, Reason: a.outcome.Reason,
		Repeated: a.repeated, RequestID: a.requestID,
	}
}

// issueElsewhere asks other entries for a ticket until one gives it.
func (s *Server) issueElsewhere(ctx context.Context, class topology.ClassID) (string, error) {
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

// forwardedBegin issues a ticket for an entry that is about to stop. It is not
// handed on again, so that two stopping entries do not ask each other.
func (s *Server) forwardedBegin(p *wire.Peer, env *wire.Envelope) {
	answer := message.BeginAnswer{Lifetime: submit.DefaultLifetime}
	if s.stopping.Load() {
		e := errs.New(errs.StepTicket, s.proc.Name(), errs.ReasonDraining, true, "this entry is about to stop")
		answer.Failure = message.NewFailure(e, e.Step, e.Peer)
	} else if ticket, err := s.submits.begin(); err != nil {
		answer.Failure = message.NewFailure(err, errs.StepTicket, s.proc.Name())
	} else {
		answer.Ticket = ticket.String()
	}
	if err := p.Reply(env, wire.KindBeginSubmit, answer); err != nil {
		klog.ErrorS(err, "Cannot encode ticket")
	}
}
