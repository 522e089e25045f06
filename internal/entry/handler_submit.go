package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/submit"
	"github.com/medlarswitch/medlarswitch/internal/submit/route"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// outcomes maps outcomes to the values of the caller protocol.
var outcomes = map[submit.OutcomeKind]medlarv1.SubmitOutcome{
	submit.Done:    medlarv1.SubmitOutcome_SUBMIT_OUTCOME_DONE,
	submit.NotRun:  medlarv1.SubmitOutcome_SUBMIT_OUTCOME_NOT_RUN,
	submit.Unknown: medlarv1.SubmitOutcome_SUBMIT_OUTCOME_UNKNOWN,
}

// submitAnswer holds an outcome and the other fields of the caller's response.
type submitAnswer struct {
	outcome   submit.Outcome
	repeated  bool
	requestID string
}

// BeginSubmit implements the QueryService.
func (s *Server) BeginSubmit(ctx context.Context, req *connect.Request[medlarv1.BeginSubmitRequest]) (*connect.Response[medlarv1.BeginSubmitResponse], error) {
	leave := s.drain.Enter()
	defer leave()
	if _, err := s.submitClass(req.Msg.GetClass()); err != nil {
		return nil, errs.ToConnect(err, err.Step, err.Peer)
	}
	ticket, err := s.issueTicket(ctx, topology.ClassID(req.Msg.GetClass()))
	if err != nil {
		return nil, errs.ToConnect(err, errs.StepTicket, s.proc.Name())
	}
	return connect.NewResponse(&medlarv1.BeginSubmitResponse{
		Ticket: ticket, LifetimeMs: uint32(submit.DefaultLifetime.Milliseconds()),
	}), nil
}

// issueTicket returns a ticket of this process, or of another entry when this
// process is stopping and could not handle the ticket's submit.
func (s *Server) issueTicket(ctx context.Context, class topology.ClassID) (string, error) {
	if s.stopping.Load() {
		return s.issueAtOtherEntry(ctx, class)
	}
	ticket, err := s.submits.issueTicket()
	if err != nil {
		return "", err
	}
	return ticket.String(), nil
}

// Submit implements the QueryService.
func (s *Server) Submit(ctx context.Context, req *connect.Request[medlarv1.SubmitRequest]) (*connect.Response[medlarv1.SubmitResponse], error) {
	leave := s.drain.Enter()
	defer leave()
	r, err := s.parseSubmission(req.Msg)
	if err != nil {
		return nil, errs.ToConnect(err, err.Step, err.Peer)
	}
	ctx, cancel := context.WithTimeout(ctx, r.class.Deadline+s.classRunLimit(r.class)+deadlineGrace)
	defer cancel()
	answer, err := s.submit(ctx, r)
	if err != nil {
		return nil, errs.ToConnect(err, err.Step, err.Peer)
	}
	return connect.NewResponse(&medlarv1.SubmitResponse{
		Outcome: outcomes[answer.outcome.Kind], Result: answer.outcome.Result,
		Reason: string(answer.outcome.Reason), RepeatedCall: answer.repeated, RequestId: answer.requestID,
	}), nil
}

// submit runs a submission in this process or forwards it to the VM that issued
// its ticket.
func (s *Server) submit(ctx context.Context, r *submission) (submitAnswer, *errs.Error) {
	decision := route.Decide(s.proc.Self.VM, s.view.Load().vms, r.ticket, false)
	switch decision.Kind {
	case route.Local:
		outcome, repeated, err := s.submitLocally(ctx, r)
		return submitAnswer{outcome: outcome, repeated: repeated, requestID: r.id}, err
	case route.Forward:
		return s.forwardSubmit(ctx, decision.Address, r)
	default:
		return submitAnswer{outcome: decision.Outcome, requestID: r.id}, nil
	}
}

// parseSubmission validates a caller's request and returns its submission.
func (s *Server) parseSubmission(req *medlarv1.SubmitRequest) (*submission, *errs.Error) {
	ticket, err := submit.ParseTicket(req.GetTicket())
	if err != nil {
		return nil, errs.From(err, errs.StepTicket, s.proc.Name())
	}
	class, e := s.submitClass(req.GetClass())
	if e != nil {
		return nil, e
	}
	shard, e := s.submitShard(class, req.GetShard())
	if e != nil {
		return nil, e
	}
	return &submission{
		id: ticket.String(), ticket: ticket, class: class, shard: shard,
		payload: req.GetPayload(), deadline: s.proc.Now() + class.Deadline,
	}, nil
}

func (s *Server) submitClass(name string) (*topology.Class, *errs.Error) {
	class, err := s.class(name)
	if err != nil {
		return nil, err
	}
	if !class.AcceptsSubmits {
		return nil, errs.New(errs.StepTicket, s.proc.Name(), errs.ReasonInvalid, true, "class %q does not accept submits", name)
	}
	return class, nil
}

// submitShard returns the shard that a request names, or the index's only one.
func (s *Server) submitShard(class *topology.Class, name string) (topology.ShardID, *errs.Error) {
	index := s.view.Load().topology.Indexes[class.Index]
	if name == "" && len(index.Shards) == 1 {
		return index.Shards[0].ID, nil
	}
	for _, shard := range index.Shards {
		if string(shard.ID) == name {
			return shard.ID, nil
		}
	}
	return "", errs.New(errs.StepTicket, s.proc.Name(), errs.ReasonInvalid, true, "index %q has no shard %q", class.Index, name)
}

// classRunLimit returns the run limit of the class's index.
func (s *Server) classRunLimit(class *topology.Class) time.Duration {
	return s.view.Load().topology.Indexes[class.Index].RunLimit
}
