package entry

import (
	"context"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/submit"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// maxSubmitLeaves bounds how many leaves a submit may be offered to, each
// after the one before refused without running it.
const maxSubmitLeaves = 4

// submission is one attempt of a non-idempotent request.
type submission struct {
	id      string
	ticket  submit.Ticket
	class   *topology.Class
	shard   topology.ShardID
	payload []byte
	// deadline is on the process's monotonic clock.
	deadline time.Duration
}

// hash identifies the request, so that a ticket serves only one.
func (r *submission) hash() uint64 {
	return submit.RequestHash(r.class.ID, r.shard, r.payload)
}

// submitHere handles a submission whose ticket this process issued.
func (s *Server) submitHere(ctx context.Context, r *submission) (submit.Outcome, bool, *errs.Error) {
	decision, run := s.submits.decide(r.ticket, r.hash(), r.deadline)
	switch decision.Kind {
	case submit.Reject:
		return submit.Outcome{}, false, decision.Err
	case submit.Answer:
		return decision.Outcome, true, nil
	case submit.Run:
		// The request goes on when its caller leaves, so that a repeat
		// finds its outcome.
		go s.runSubmit(context.WithoutCancel(ctx), r)
	}
	select {
	case <-run.done:
		return run.outcome, decision.Kind == submit.Join, nil
	case <-ctx.Done():
		return submit.Outcome{Kind: submit.Unknown, Reason: errs.ReasonDeadline}, decision.Kind == submit.Join, nil
	}
}

// runSubmit sends the request to one leaf and records its outcome.
func (s *Server) runSubmit(ctx context.Context, r *submission) {
	leave := s.drain.Enter()
	defer leave()
	s.proc.Events.Add(timeline.KindSubmitStart, r.id, string(r.class.ID), "")
	ctx, cancel := context.WithTimeout(ctx, r.deadline-s.proc.Now()+s.maxRunLimit(r.class)+deadlineGrace)
	defer cancel()
	// The outcome is recorded whatever happens: the place of a ticket without
	// one is never freed.
	outcome := submit.Outcome{Kind: submit.Unknown, Reason: errs.ReasonInternal}
	defer func() {
		s.submits.finish(r.ticket, outcome)
		s.proc.Events.Add(timeline.KindSubmitDone, r.id, string(r.class.ID), outcome.String())
	}()
	outcome = s.tryToRun(ctx, r)
}

// tryToRun passes the request through admission, quarantine and the ledger's
// last check before it is sent. A refusal before that is "not run".
func (s *Server) tryToRun(ctx context.Context, r *submission) submit.Outcome {
	fingerprint, _, refused := s.policy.screen(r.class, r.payload)
	if refused != nil {
		return notRun(refused.Reason)
	}
	release, refused := s.policy.admit(ctx, r.class, s.policy.expected(r.class))
	if refused != nil {
		return notRun(refused.Reason)
	}
	defer release()
	if refused := s.mayAccept(errs.StepTicket); refused != nil {
		return notRun(refused.Reason)
	}
	if !s.submits.dispatch(r.ticket) {
		return notRun(errs.ReasonDeadline)
	}
	began := s.proc.Now()
	outcome := s.sendSubmit(ctx, r, fingerprint)
	s.policy.took(r.class.ID, s.proc.Now()-began)
	return outcome
}

func notRun(reason errs.Reason) submit.Outcome {
	return submit.Outcome{Kind: submit.NotRun, Reason: reason}
}

// sendSubmit offers the request to leaves, one after the other, until one may
// have run it.
func (s *Server) sendSubmit(ctx context.Context, r *submission, fingerprint uint64) submit.Outcome {
	last := submit.Outcome{Kind: submit.NotRun, Reason: errs.ReasonNoLeaf}
	leaves := s.submitLeaves(r)
	for i, leaf := range leaves {
		now := s.proc.Now()
		if now >= r.deadline {
			return submit.Outcome{Kind: submit.NotRun, Reason: errs.ReasonDeadline}
		}
		req := message.LeafRequest{
			Leaf: leaf, Op: message.OpExecute, RequestID: r.id, Class: r.class.ID,
			Priority: r.class.Priority, Payload: r.payload,
			// A busy leaf must leave time for the others.
			StartBy:  (r.deadline - now) / time.Duration(len(leaves)-i),
			Deadline: r.deadline - now + s.runLimit(leaf),
		}
		reply, err := s.callLeaf(ctx, &req, r.shard, topology.Snapshot{})
		if err == nil {
			return submit.Outcome{Kind: submit.Done, Result: reply.Result}
		}
		if err.Crash {
			s.policy.learn(r.class, fingerprint, 1, false)
		}
		if !err.NotRun {
			return submit.Outcome{Kind: submit.Unknown, Reason: err.Reason}
		}
		last.Reason = err.Reason
	}
	return last
}

// submitLeaves returns the leaves that may take the request, best first.
func (s *Server) submitLeaves(r *submission) []topology.LeafID {
	index := s.view.Load().indexes[r.class.Index]
	if index == nil {
		return nil
	}
	plan, ok := index.steadyPlan()
	if !ok {
		return nil
	}
	var out []topology.LeafID
	for _, shard := range plan.Shards {
		if shard.Shard != r.shard {
			continue
		}
		for _, c := range shard.Candidates {
			out = append(out, c.Leaf)
		}
	}
	return out[:min(len(out), maxSubmitLeaves)]
}

func (s *Server) runLimit(id topology.LeafID) time.Duration {
	t := s.view.Load().topology
	leaf, ok := t.Leaves[id]
	if !ok {
		return 0
	}
	return t.RunLimit(leaf)
}
