package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// deadlineGrace is added to the timeout of a request's context, so that the
// request is answered at its own deadline before the context expires.
const deadlineGrace = 100 * time.Millisecond

// Query implements the QueryService.
func (s *Server) Query(ctx context.Context, req *connect.Request[medlarv1.QueryRequest]) (*connect.Response[medlarv1.QueryResponse], error) {
	leave := s.drain.Enter()
	defer leave()
	id := s.newRequestID()
	resp, err := s.query(ctx, id, req.Msg)
	if err != nil {
		s.metrics.refused.Inc(1)
		s.proc.Events.Add(timeline.KindRefusal, id, req.Msg.GetClass(), err.Error())
		return nil, errs.ToConnect(err, err.Step, err.Peer)
	}
	return connect.NewResponse(resp), nil
}

func (s *Server) query(ctx context.Context, id string, req *medlarv1.QueryRequest) (*medlarv1.QueryResponse, *errs.Error) {
	startedAt := s.proc.Now()
	class, err := s.class(req.GetClass())
	if err != nil {
		return nil, err
	}
	if class.AcceptsSubmits {
		return nil, errs.New(errs.StepPlan, s.proc.Name(), errs.ReasonInvalid, true, "class %q accepts submits, not queries", class.ID)
	}
	if err := s.mayAccept(errs.StepAdmission); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, class.Deadline+deadlineGrace)
	defer cancel()
	release, err := s.policy.admit(ctx, class, s.policy.expectedRunTime(class))
	if err != nil {
		return nil, err
	}
	defer release()
	return s.runQuery(ctx, id, class, req.GetText(), startedAt)
}

func (s *Server) runQuery(ctx context.Context, id string, class *topology.Class, text string, startedAt time.Duration) (*medlarv1.QueryResponse, *errs.Error) {
	plan, err := planFor(s.view.Load(), class)
	if err != nil {
		return nil, err
	}
	fingerprint, canary, err := s.policy.checkQuarantine(class, []byte(text))
	if err != nil {
		return nil, err
	}
	waited := s.proc.Now() - startedAt
	r := &queryRun{
		server: s, id: id, class: class, text: text, startedAt: startedAt,
		machine: query.New(query.Params{
			Prefer: class.Prefer, LatencyTarget: class.LatencyTarget - waited,
			Deadline: class.Deadline - waited, Canary: canary, Suspect: s.policy.suspect(class),
			MaxAttempts: maxAttempts, MaxRestarts: maxRestarts,
		}, plan),
		budget: classBudget{policy: s.policy, tier: tierOf(class)}, finished: make(chan struct{}),
		events:   make(chan query.Event, len(plan.Shards)),
		attempts: make(map[uint64]*attempt, len(plan.Shards)),
	}
	s.proc.Events.Add(timeline.KindQueryStart, id, string(class.ID), "")
	answer := r.run(ctx)
	s.policy.recordRunTime(class.ID, s.proc.Now()-startedAt-waited)
	s.policy.recordResult(class, fingerprint, len(r.crashed), answer.CoveredWeight > 0)
	s.metrics.recordQuery(s.proc.Now()-startedAt, answer, len(plan.Shards), r.machine.Counters())
	s.proc.Events.Add(timeline.KindQueryDone, id, string(class.ID), describeCoverage(answer))
	if answer.Err != "" {
		return nil, errs.New(errs.StepMerge, s.proc.Name(), answer.Err, false, "no shard answered")
	}
	return r.response(answer), nil
}

func (r *queryRun) response(a query.Answer) *medlarv1.QueryResponse {
	out := &medlarv1.QueryResponse{
		Hits: r.topHits(), RequestId: r.id,
		Snapshot: &medlarv1.Snapshot{
			IndexVersion: a.Snapshot.IndexVersion, PartitionGeneration: a.Snapshot.PartitionGeneration,
		},
		Coverage: &medlarv1.Coverage{CoveredWeight: a.CoveredWeight, TotalWeight: a.TotalWeight},
	}
	for _, m := range a.Missing {
		out.Coverage.Missing = append(out.Coverage.Missing, &medlarv1.MissingShard{Shard: string(m.Shard), Reason: string(m.Reason)})
	}
	return out
}

func describeCoverage(a query.Answer) string {
	return "covered " + itoa(a.CoveredWeight) + " of " + itoa(a.TotalWeight)
}

// class returns a class of the active configuration.
func (s *Server) class(name string) (*topology.Class, *errs.Error) {
	v := s.view.Load()
	if v.topology == nil {
		return nil, errs.New(errs.StepConfig, s.proc.Name(), errs.ReasonNoConfig, true, "no configuration yet")
	}
	class, ok := v.topology.Classes[topology.ClassID(name)]
	if !ok {
		return nil, errs.New(errs.StepPlan, s.proc.Name(), errs.ReasonInvalid, true, "class %q does not exist", name)
	}
	return class, nil
}
