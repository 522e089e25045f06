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

// maxSubmitLeaves limits the leaves to which a submit is sent, one after the other,
// as long as each refuses it without running it.
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

// hash identifies the request, so that a ticket cannot be used for a different one.
func (r *submission) hash() uint64 {
	return submit.RequestHash(r.class.ID, r.shard, r.payload)
}

// submitLocally handles a submission whose ticket this process issued.
func (s *Server) submitLocally(ctx context.Context, r *submission) (submit.Outcome, bool, *errs.Error) {
	decision, run := s.submits.decide(r.ticket, r.hash(), r.deadline)
	switch decision.Kind {
	case submit.Reject:
		return submit.Outcome{}, false, decision.Err
	case submit.Answer:
		return decision.Outcome, true, nil
	case submit.Run:
		// The request continues when its caller leaves, so that a repeat
		// gets its outcome.
		go s.runSubmit(context.WithoutCancel(ctx), r)
	}
	select {
	case <-run.finished:
		return run.outcome, decision.Kind == submit.Join, nil
	case <-ctx.Done():
		return submit.Outcome{Kind: submit.Unknown, Reason: errs.ReasonDeadline}, decision.Kind == submit.Join, nil
	}
}

// runSubmit sends the request to one leaf and records its outcome.
func (s *Server) runSubmit(ctx context.Context, r *submission) {
	leave := s.drain.Enter()
	defer leave()
	defer s.proc.Panics.Recover("submit", r.id, nil)
	s.proc.Events.Add(timeline.KindSubmitStart, r.id, string(r.class.ID), "")
	// The outcome is recorded in every case, also after a panic: a ticket without
	// one would occupy its place in the ledger permanently.
	outcome := submit.Outcome{Kind: submit.Unknown, Reason: errs.ReasonInternal}
	defer func() {
		s.submits.finish(r.ticket, outcome)
		s.proc.Events.Add(timeline.KindSubmitDone, r.id, string(r.class.ID), outcome.String())
	}()
	ctx, cancel := context.WithTimeout(ctx, r.deadline-s.proc.Now()+s.classRunLimit(r.class)+deadlineGrace)
	defer cancel()
	outcome = s.admitAndSend(ctx, r)
}

// admitAndSend sends the request if quarantine, admission and the ledger's last
// check allow it. A refusal by one of them has the outcome "not run".
func (s *Server) admitAndSend(ctx context.Context, r *submission) submit.Outcome {
	fingerprint, _, refused := s.policy.checkQuarantine(r.class, r.payload)
	if refused != nil {
		return notRun(refused.Reason)
	}
	release, refused := s.policy.admit(ctx, r.class, s.policy.expectedRunTime(r.class))
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
	startedAt := s.proc.Now()
	outcome := s.sendSubmit(ctx, r, fingerprint)
	s.policy.recordRunTime(r.class.ID, s.proc.Now()-startedAt)
	return outcome
}

func notRun(reason errs.Reason) submit.Outcome {
	return submit.Outcome{Kind: submit.NotRun, Reason: reason}
}

// sendSubmit sends the request to leaves, one after the other, until one may have
// run it.
func (s *Server) sendSubmit(ctx context.Context, r *submission, fingerprint uint64) submit.Outcome {
	last := submit.Outcome{Kind: submit.NotRun, Reason: errs.ReasonNoLeaf}
	leaves := s.candidateLeaves(r)
	for i, leaf := range leaves {
		now := s.proc.Now()
		if now >= r.deadline {
			return submit.Outcome{Kind: submit.NotRun, Reason: errs.ReasonDeadline}
		}
		req := message.LeafRequest{
			Leaf: leaf, Op: message.OpExecute, RequestID: r.id, Class: r.class.ID,
			Priority: r.class.Priority, Payload: r.payload,
			// A busy leaf must not use up the time of the remaining ones.
			StartBy:  (r.deadline - now) / time.Duration(len(leaves)-i),
			Deadline: r.deadline - now + s.leafRunLimit(leaf),
		}
		reply, err := s.callLeaf(ctx, &req, r.shard, topology.Snapshot{})
		if err == nil {
			return submit.Outcome{Kind: submit.Done, Result: reply.Result}
		}
		if err.Crash {
			s.policy.recordResult(r.class, fingerprint, 1, false)
		}
		if !err.NotRun {
			return submit.Outcome{Kind: submit.Unknown, Reason: err.Reason}
		}
		last.Reason = err.Reason
	}
	return last
}

// candidateLeaves returns the leaves to which the request may be sent, best first.
func (s *Server) candidateLeaves(r *submission) []topology.LeafID {
	index := s.view.Load().indexes[r.class.Index]
	if index == nil {
		return nil
	}
	plan, ok := index.defaultPlan()
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

func (s *Server) leafRunLimit(id topology.LeafID) time.Duration {
	t := s.view.Load().topology
	leaf, ok := t.Leaves[id]
	if !ok {
		return 0
	}
	return t.RunLimit(leaf)
}
