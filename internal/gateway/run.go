package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/budget"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/placement"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// minHedgeDelayFraction and maxHedgeDelayFraction limit the delay before a
	// hedge, as fractions of the latency target: earlier hedges use up budget
	// that real stragglers need, later ones come too late to help.
	minHedgeDelayFraction = 1.0 / 8
	maxHedgeDelayFraction = 1.0 / 3
	// hedgeQuorum is the fraction of the shards that must have replied before
	// the others count as stragglers. hedgeQuorumTimeoutFraction is the
	// fraction of the latency target after which hedges no longer wait for the
	// quorum; it leaves time for one more request.
	hedgeQuorum                = 0.75
	hedgeQuorumTimeoutFraction = 1.0 / 2
)

// run executes one call at the leaves. One goroutine owns it.
type run struct {
	node     *Node
	call     *call
	machine  *query.Machine
	attempts []*attempt
	results  chan result
	// merged are the attempts whose replies make up the answer.
	merged []*attempt
	// lost holds the attempts whose connections were lost.
	lost []lostAttempt
	// mayHaveRun is true once an attempt failed and may have run at the leaf.
	mayHaveRun bool
	// lastFailure is the last signed reply in which a leaf reported a failure.
	lastFailure *result
	// freeMove is true while the machine handles the result of an attempt for
	// which this VM sent nothing. Moving the request to another leaf then costs
	// no budget.
	freeMove bool
}

// execute runs a call at the leaves and answers it. It returns false, without
// an answer, when the context was cancelled because the caller left.
func (n *Node) execute(ctx context.Context, w http.ResponseWriter, c *call) bool {
	shards := c.route.Shards
	if !c.route.FansOut() {
		shards = []fleet.ServiceName{n.serviceOf(c.route)}
	}
	r := &run{node: n, call: c, results: make(chan result, len(shards)*max(c.route.Attempts, 1)+1)}
	c.encodeHeader(n.codec)
	r.machine = query.New(r.params(len(shards)), n.plan(c.route, shards))
	// The replies are needed until the answer has been written.
	defer r.releaseReplies()
	answer := r.loop(ctx)
	// The caller may repeat the request at any VM as soon as it has its answer.
	r.recordSuspicion()
	return r.finish(w, answer)
}

// releaseReplies ends the use of the memory of all replies by the run.
func (r *run) releaseReplies() {
	for _, a := range r.attempts {
		a.memory.Release()
	}
}

// serviceOf returns the service of a call whose route does not fan out. If the
// route splits its requests between services, the splitter selects one.
func (n *Node) serviceOf(route *fleet.Route) fleet.ServiceName {
	if len(route.Split) == 0 {
		return route.Service
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.splitter.Next(route)
}

func (r *run) params(shards int) query.Params {
	route := r.call.route
	p := query.Params{
		Prefer: topology.PreferLatency, Deadline: r.call.timeout(),
		MaxAttempts: route.Attempts, MaxCrashes: maxRunCrashes, NoSameLeafHedge: true,
		MinCoveredWeight: 1, AtMostOnce: !route.Idempotent, ReplyClears: true,
	}
	if r.node.needsCanary(r.call) {
		p.Canary, p.Suspect, p.MaxCrashes = true, true, maxCanaryCrashes
	}
	if route.FansOut() {
		p.LatencyTarget = r.node.answerTarget(r.call)
		p.HedgeQuorum = hedgeQuorum
		p.HedgeQuorumTimeout = time.Duration(hedgeQuorumTimeoutFraction * float64(p.LatencyTarget))
		p.MinCoveredWeight = minCoveredShards(route.MinCoverage, shards)
	}
	return p
}

// answerTarget returns how long after its start a query is answered with the
// replies that have arrived.
func (n *Node) answerTarget(c *call) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.answerTimes.Target(c.route, c.info.TimeLeft)
}

// minCoveredShards returns the number of shards that an answer must cover. 1e-9
// absorbs the rounding error of the product.
func minCoveredShards(minCoverage float64, shards int) uint64 {
	n := uint64(0)
	for n < uint64(shards) && float64(n) < minCoverage*float64(shards)-1e-9 {
		n++
	}
	return max(n, 1)
}

// plan orders the leaves of each shard and records the request in the budgets.
func (n *Node) plan(route *fleet.Route, shards []fleet.ServiceName) query.Plan {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	plan := query.Plan{Shards: make([]query.ShardPlan, len(shards))}
	hedgeDelay := n.hedgeDelay(route)
	for i, service := range shards {
		n.budgets.OnRequest(now, service)
		shard := query.ShardPlan{Shard: shardID(service), Weight: 1, Candidates: n.candidates(now, service, route, hedgeDelay)}
		if len(shard.Candidates) == 0 {
			shard.UnavailableReason = n.unavailableReason(now, service)
		}
		plan.Shards[i] = shard
	}
	return plan
}

// candidates returns the leaves of a service that may get a request now, in order of
// preference. The caller holds mu.
func (n *Node) candidates(now time.Duration, service fleet.ServiceName, route *fleet.Route, hedgeDelay time.Duration) []query.Candidate {
	var out []query.Candidate
	for _, choice := range n.table.Choices(now, service, route.Name) {
		out = append(out, query.Candidate{Leaf: leafID(choice.ID), Warm: choice.Healthy, HedgeAfter: hedgeDelay})
	}
	return out
}

// unavailableReason returns why no leaf of a service may get a request. The caller holds
// mu.
func (n *Node) unavailableReason(now time.Duration, service fleet.ServiceName) errs.Reason {
	switch obstacle, _ := n.table.StatedObstacle(now, service); obstacle {
	case placement.Limited:
		return errs.ReasonLimited
	case placement.Resting:
		return errs.ReasonResting
	case placement.Leaving:
		return errs.ReasonLeaving
	}
	return errs.ReasonNoLeaf
}

// hedgeDelay returns how long to wait for a leaf's reply before a hedge; 0
// means no hedge. The caller holds mu.
func (n *Node) hedgeDelay(route *fleet.Route) time.Duration {
	if !route.Idempotent {
		return 0
	}
	low := time.Duration(minHedgeDelayFraction * float64(route.LatencyTarget))
	high := time.Duration(maxHedgeDelayFraction * float64(route.LatencyTarget))
	delay, ok := n.hedgeDelays.HedgeDelay(delayKey(route.Name))
	if !ok {
		return high
	}
	return min(max(delay, low), high)
}

// loop passes events to the query machine until it has an answer.
func (r *run) loop(ctx context.Context) query.Answer {
	n := r.node
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	actions := r.machine.Start(n.now())
	done, begun, ended := ctx.Done(), n.stopping.begun.Done(), n.stopping.ended.Done()
	for {
		if answer, finished := r.perform(actions, timer); finished {
			return answer
		}
		select {
		case res := <-r.results:
			r.recordResult(&res)
			actions = r.step(r.withCandidates(r.eventFor(&res), res.attempt), res.local)
		case <-timer.C:
			actions = r.step(query.Timer{}, false)
		case <-done:
			done = nil
			actions = r.step(query.CallerGone{}, false)
		case <-begun:
			begun, actions = nil, nil
			if n.refusesCall(r.call) && r.withdrawAll() {
				actions = r.step(query.Stopping{}, false)
			}
		case <-ended:
			ended = nil
			actions = r.step(query.Stopping{}, false)
		}
	}
}

// withdrawAll withdraws the requests that wait for a connection, and reports whether no other
// may be running. It stops at the first one that was sent.
func (r *run) withdrawAll() bool {
	for _, a := range r.attempts {
		if !a.completed && !a.sendState.withdraw() {
			return false
		}
	}
	return true
}

// withCandidates adds the leaves that an attempt which has failed could move to, if its
// shard has none left: a leaf may have taken the place of one that is leaving since the plan
// was made.
func (r *run) withCandidates(event query.Event, a *attempt) query.Event {
	failed, ok := event.(query.Failed)
	if !ok || !r.machine.NeedsCandidates(a.id) {
		return event
	}
	n, route := r.node, r.call.route
	n.mu.Lock()
	defer n.mu.Unlock()
	failed.Candidates = n.candidates(n.now(), a.service, route, n.hedgeDelay(route))
	return failed
}

// recordResult records the result of an attempt. After a failure it also records
// what the answer to the caller depends on: whether the request may have run, and
// the last signed reply that reported a failure.
func (r *run) recordResult(res *result) {
	res.attempt.reply, res.attempt.info, res.attempt.completed = res.reply, res.info, true
	if res.err == nil && r.accepts(res) {
		return
	}
	if res.lostFrom != nil {
		r.lost = append(r.lost, lostAttempt{attempt: res.attempt, pool: res.lostFrom, lostAt: r.node.now()})
	}
	r.logFailure(res)
	if failed, ok := r.eventFor(res).(query.Failed); ok && !failed.NotRun {
		r.mayHaveRun = true
	}
	if res.err == nil && !res.info.NotRun && res.info.Receipt != "" {
		r.lastFailure = res
	}
}

func (r *run) step(event query.Event, freeMove bool) (actions []query.Action) {
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	defer r.recoverStep(&actions)
	r.freeMove = freeMove
	return r.machine.Step(r.node.now(), event, r)
}

// TrySpend implements query.Budget. The caller holds mu.
func (r *run) TrySpend(shard topology.ShardID, kind query.Kind) bool {
	if r.freeMove && kind == query.KindMove {
		return true
	}
	spend := budget.KindRetry
	if kind == query.KindHedge {
		spend = budget.KindHedge
	}
	return r.node.budgets.TrySpend(r.node.now(), fleet.ServiceName(shard), spend)
}

// perform executes actions and returns the answer if they contain one.
func (r *run) perform(actions []query.Action, timer *time.Timer) (answer query.Answer, finished bool) {
	for _, action := range actions {
		switch a := action.(type) {
		case query.Send:
			r.startAttempt(a)
		case query.Merge:
			r.merged = append(r.merged, r.attempts[a.Attempt-1])
		case query.Abort:
			r.abort(r.attempts[a.Attempt-1], answer.Err == errs.ReasonCancelled)
		case query.WakeAt:
			timer.Reset(a.At - r.node.now())
		case query.Finish:
			answer, finished = a.Answer, true
		}
	}
	return answer, finished
}

// abort cancels an attempt, immediately if the caller left or nothing was sent
// yet. Otherwise it waits for stragglerTimeout: if the reply arrives by then, the
// connection can be reused.
func (r *run) abort(a *attempt, callerLeft bool) {
	if a.sendState.withdraw() || callerLeft {
		a.cancel()
		return
	}
	time.AfterFunc(stragglerTimeout, a.cancel)
}

// shardID, leafID and delayKey convert the names of services, leaves and routes
// to the identifiers that the query machine and the table of hedge delays use.
func shardID(s fleet.ServiceName) topology.ShardID { return topology.ShardID(s) }
func leafID(id fleet.LeafID) topology.LeafID       { return topology.LeafID(id) }
func delayKey(route string) topology.ShardID       { return topology.ShardID(route) }
