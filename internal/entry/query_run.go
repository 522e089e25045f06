package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	maxAttempts = 3
	maxRestarts = 1
	// replanWait limits how long a query waits for a newer snapshot on which to
	// restart. A relay immediately probes a leaf that has retired a version, and
	// its entries receive the newer version within about 50 ms.
	replanWait = 200 * time.Millisecond
	// replanInterval is the time between checks for a newer snapshot.
	replanInterval = 10 * time.Millisecond
	// maxHits limits the hits of an answer; those with the highest scores are kept.
	maxHits = 1000
)

// queryRun is one query in progress. Its state belongs to the goroutine of the
// caller's request.
type queryRun struct {
	server    *Server
	id        string
	class     *topology.Class
	text      string
	startedAt time.Duration
	machine   *query.Machine
	budget    query.Budget

	events   chan query.Event
	finished chan struct{}
	attempts map[uint64]*attempt
	hits     []*medlarv1.Hit
	timer    *time.Timer
	// crashed holds the leaves with a crash-like loss while they ran this query.
	crashed map[topology.LeafID]bool
	answer  *query.Answer
}

// attempt is one request to a leaf.
type attempt struct {
	cancel context.CancelFunc
	leaf   topology.LeafID
	shard  topology.ShardID
	// hits is set before the reply's event is posted, which makes it visible to
	// the query's goroutine.
	hits []message.Hit
}

// planFor returns a random one of the plans of a class. A class of scope "one" gets
// a single random shard of it.
func planFor(v *view, class *topology.Class) (query.Plan, *errs.Error) {
	index := v.indexes[class.Index]
	if index == nil || len(index.plans[tierHighest]) == 0 {
		return query.Plan{}, errs.New(errs.StepPlan, string(class.Index), errs.ReasonNoLeaf, true, "no snapshot of index %q is served", class.Index)
	}
	plans := index.plans[tierOf(class)]
	plan := plans[rand.IntN(len(plans))]
	if class.Scope == topology.ScopeOne {
		i := rand.IntN(len(plan.Shards))
		plan.Shards = plan.Shards[i : i+1]
	}
	return plan, nil
}

// run drives the query's machine until it has an answer.
func (r *queryRun) run(ctx context.Context) query.Answer {
	r.timer = time.NewTimer(r.class.Deadline)
	defer r.timer.Stop()
	defer close(r.finished)
	defer r.cancelAll()
	now := r.server.proc.Now()
	r.apply(ctx, r.machine.Start(now))
	callerGone := ctx.Done()
	for r.answer == nil {
		var ev query.Event
		select {
		case ev = <-r.events:
		case <-r.timer.C:
			ev = query.Timer{}
		case <-callerGone:
			callerGone = nil
			ev = query.CallerGone{}
		}
		r.recordCrash(ev)
		r.apply(ctx, r.machine.Step(r.server.proc.Now(), ev, r.budget))
	}
	return *r.answer
}

// recordCrash records a leaf that was lost. A leaf that ran two requests of the query
// counts once: as two losses, a single crash would quarantine a query that may not
// have caused it.
func (r *queryRun) recordCrash(ev query.Event) {
	failed, ok := ev.(query.Failed)
	if !ok || !failed.Crash || r.attempts[failed.Attempt] == nil {
		return
	}
	if r.crashed == nil {
		r.crashed = make(map[topology.LeafID]bool)
	}
	r.crashed[r.attempts[failed.Attempt].leaf] = true
}

func (r *queryRun) apply(ctx context.Context, actions []query.Action) {
	replan := false
	var old topology.Snapshot
	for _, a := range actions {
		switch a := a.(type) {
		case query.Send:
			r.send(ctx, a)
		case query.Abort:
			r.abort(a.Attempt)
		case query.Merge:
			r.merge(a.Attempt)
		case query.Discard:
			r.hits = r.hits[:0]
		case query.Replan:
			replan, old = true, a.NewerThan
		case query.WakeAt:
			r.timer.Reset(max(a.At-r.server.proc.Now(), 0))
		case query.Finish:
			answer := a.Answer
			r.answer = &answer
		}
	}
	if replan {
		r.replan(old)
	}
}

// replan waits in the background for a plan with another snapshot than the old one
// and posts it, or a failure after replanWait. Replies are merged meanwhile.
func (r *queryRun) replan(old topology.Snapshot) {
	r.server.proc.Events.Add(timeline.KindSnapshotRestart, r.id, string(r.class.Index), "")
	go func() {
		until := r.server.proc.Now() + replanWait
		for {
			plan, err := planFor(r.server.view.Load(), r.class)
			ok := err == nil && plan.Snapshot != old
			if ok || r.server.proc.Now() >= until {
				r.post(query.Replanned{Plan: plan, OK: ok})
				return
			}
			select {
			case <-time.After(replanInterval):
			case <-r.finished:
				return
			}
		}
	}()
}

func (r *queryRun) send(ctx context.Context, a query.Send) {
	callCtx, cancel := context.WithCancel(ctx)
	attempt := &attempt{cancel: cancel, leaf: a.Leaf, shard: a.Shard}
	r.attempts[a.Attempt] = attempt
	r.addEvent(a)
	now := r.server.proc.Now()
	req := r.request(a, now)
	first := a.Kind == query.KindFirst || a.Kind == query.KindCanary
	if first {
		r.server.policy.countFirstAttempt()
	}
	go func() {
		defer cancel()
		defer r.server.proc.Panics.Recover("leaf-call", r.id, func() {
			r.post(query.Failed{Attempt: a.Attempt, Reason: errs.ReasonInternal})
		})
		reply, err := r.server.callLeaf(callCtx, &req, a.Shard, a.Snapshot)
		if first {
			r.server.policy.recordLatency(tierOf(r.class), a.Shard, a.Leaf, r.server.proc.Now()-now)
		}
		if err == nil {
			attempt.hits = reply.Hits
		}
		r.post(callEvent(a, reply, err))
	}()
}

// request returns the message of a send. Its deadlines are relative to now.
func (r *queryRun) request(a query.Send, now time.Duration) message.LeafRequest {
	return message.LeafRequest{
		Leaf: a.Leaf, Op: message.OpSearch, RequestID: r.id, Class: r.class.ID,
		Priority: r.class.Priority, Repeat: a.RepeatOf != 0, Text: r.text,
		StartBy: a.StartBy - now, Deadline: r.startedAt + r.class.Deadline - now,
	}
}

// post sends an event to the query's goroutine, or drops it when the query has its
// answer.
func (r *queryRun) post(ev query.Event) {
	select {
	case r.events <- ev:
	case <-r.finished:
	}
}

// callEvent converts the result of a leaf call to an event.
func callEvent(a query.Send, reply *message.LeafReply, err *errs.Error) query.Event {
	switch {
	case err == nil:
		return query.Reply{
			Attempt: a.Attempt, Leaf: reply.Leaf, Shard: reply.Shard,
			Snapshot: reply.Snapshot, Hits: len(reply.Hits),
		}
	case err.Reason == errs.ReasonVersionRetired:
		return query.VersionRetired{Attempt: a.Attempt}
	default:
		return query.Failed{Attempt: a.Attempt, Reason: err.Reason, NotRun: err.NotRun, Crash: err.Crash}
	}
}

// addEvent records a hedge, retry or move in the time line.
func (r *queryRun) addEvent(a query.Send) {
	switch a.Kind {
	case query.KindHedge:
		r.server.proc.Events.Add(timeline.KindHedge, r.id, string(a.Leaf), "")
	case query.KindRetry, query.KindMove:
		r.server.proc.Events.Add(timeline.KindRetry, r.id, string(a.Leaf), a.Kind.String())
	}
}

func (r *queryRun) abort(id uint64) {
	if attempt, ok := r.attempts[id]; ok {
		attempt.cancel()
	}
}

func (r *queryRun) merge(id uint64) {
	attempt := r.attempts[id]
	for _, h := range attempt.hits {
		r.hits = append(r.hits, &medlarv1.Hit{Key: h.Key, Score: h.Score, Shard: string(attempt.shard)})
	}
}

func (r *queryRun) cancelAll() {
	for _, attempt := range r.attempts {
		attempt.cancel()
	}
}

// topHits returns the merged hits, best first.
func (r *queryRun) topHits() []*medlarv1.Hit {
	slices.SortFunc(r.hits, func(a, b *medlarv1.Hit) int {
		if c := cmp.Compare(b.GetScore(), a.GetScore()); c != 0 {
			return c
		}
		return cmp.Compare(a.GetKey(), b.GetKey())
	})
	return r.hits[:min(len(r.hits), maxHits)]
}
