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
	// replanWait is how long a query waits for a newer snapshot to restart on.
	// A relay probes a leaf that has dropped a version at once, and its entries
	// know of the newer one within some 50 ms.
	replanWait = 200 * time.Millisecond
	// replanInterval is the time between looks for a newer snapshot.
	replanInterval = 10 * time.Millisecond
	// maxHits bounds an answer; the highest scores are kept.
	maxHits = 1000
)

// queryRun is one query in progress. Its fields belong to the goroutine of the
// caller's request.
type queryRun struct {
	server  *Server
	id      string
	class   *topology.Class
	text    string
	began   time.Duration
	machine *query.Machine
	budget  query.Budget

	events   chan query.Event
	done     chan struct{}
	attempts map[uint64]*attempt
	hits     []*medlarv1.Hit
	timer    *time.Timer
	// crashed holds the leaves that were lost while they ran this query.
	crashed map[topology.LeafID]bool
	answer  *query.Answer
}

// attempt is one request to a leaf.
type attempt struct {
	cancel context.CancelFunc
	leaf   topology.LeafID
	shard  topology.ShardID
	// hits is written before the reply's event is posted.
	hits []message.Hit
}

// planFor returns one of the plans of a class.
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

// run carries the query to its answer.
func (r *queryRun) run(ctx context.Context) query.Answer {
	r.timer = time.NewTimer(r.class.Deadline)
	defer r.timer.Stop()
	defer close(r.done)
	defer r.cancelAll()
	now := r.server.proc.Now()
	r.apply(ctx, r.machine.Start(now))
	gone := ctx.Done()
	for r.answer == nil {
		var ev query.Event
		select {
		case ev = <-r.events:
		case <-r.timer.C:
			ev = query.Timer{}
		case <-gone:
			gone = nil
			ev = query.CallerGone{}
		}
		r.noteCrash(ev)
		r.apply(ctx, r.machine.Step(r.server.proc.Now(), ev, r.budget))
	}
	return *r.answer
}

// noteCrash records a leaf that was lost. One that ran two requests of the query
// is one loss: two would put an innocent request into quarantine.
func (r *queryRun) noteCrash(ev query.Event) {
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

// replan answers the machine's request for a newer snapshot. Replies go on
// being merged meanwhile.
func (r *queryRun) replan(old topology.Snapshot) {
	r.server.proc.Events.Add(timeline.KindRestart, r.id, string(r.class.Index), "")
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
			case <-r.done:
				return
			}
		}
	}()
}

func (r *queryRun) send(ctx context.Context, a query.Send) {
	callCtx, cancel := context.WithCancel(ctx)
	at := &attempt{cancel: cancel, leaf: a.Leaf, shard: a.Shard}
	r.attempts[a.Attempt] = at
	r.note(a)
	now := r.server.proc.Now()
	req := r.request(a, now)
	first := a.Kind == query.KindFirst || a.Kind == query.KindCanary
	if first {
		r.server.policy.sent()
	}
	go func() {
		defer cancel()
		reply, err := r.server.callLeaf(callCtx, &req, a.Shard, a.Snapshot)
		if first {
			r.server.policy.observe(tierOf(r.class), a.Shard, a.Leaf, r.server.proc.Now()-now)
		}
		if err == nil {
			at.hits = reply.Hits
		}
		r.post(eventOf(a, reply, err))
	}()
}

// request is the message of a send. Its times are what is left of them.
func (r *queryRun) request(a query.Send, now time.Duration) message.LeafRequest {
	return message.LeafRequest{
		Leaf: a.Leaf, Op: message.OpSearch, RequestID: r.id, Class: r.class.ID,
		Priority: r.class.Priority, Repeat: a.RepeatOf != 0, Text: r.text,
		StartBy: a.StartBy - now, Deadline: r.began + r.class.Deadline - now,
	}
}

// post hands an event to the query, or drops it when the query has ended.
func (r *queryRun) post(ev query.Event) {
	select {
	case r.events <- ev:
	case <-r.done:
	}
}

// eventOf converts the end of a leaf call.
func eventOf(a query.Send, reply *message.LeafReply, err *errs.Error) query.Event {
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

func (r *queryRun) note(a query.Send) {
	switch a.Kind {
	case query.KindHedge:
		r.server.proc.Events.Add(timeline.KindHedge, r.id, string(a.Leaf), "")
	case query.KindRetry, query.KindMove:
		r.server.proc.Events.Add(timeline.KindRetry, r.id, string(a.Leaf), a.Kind.String())
	}
}

func (r *queryRun) abort(id uint64) {
	if at, ok := r.attempts[id]; ok {
		at.cancel()
	}
}

func (r *queryRun) merge(id uint64) {
	at := r.attempts[id]
	for _, h := range at.hits {
		r.hits = append(r.hits, &medlarv1.Hit{Key: h.Key, Score: h.Score, Shard: string(at.shard)})
	}
}

func (r *queryRun) cancelAll() {
	for _, at := range r.attempts {
		at.cancel()
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
