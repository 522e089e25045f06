package measure

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/admission"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// queryRun runs one query.Machine: it executes the machine's actions and passes
// replies and timers to it.
type queryRun struct {
	entry      *entry
	id         uint64
	class      *topology.Class
	arrivedAt  time.Duration
	startedAt  time.Duration
	machine    *query.Machine
	attempts   map[uint64]*attempt
	wakeNumber uint64
	finished   bool
}

// attempt is a request that a query sent to a leaf through a relay.
type attempt struct {
	relay   *relay
	request *leafRequest
	send    query.Send
	sentAt  time.Duration
	// observed is set once the attempt's latency is recorded.
	observed bool
}

func (q *queryRun) start(plan query.Plan, params query.Params) {
	q.startedAt = q.entry.sim.Now
	q.attempts = make(map[uint64]*attempt, len(plan.Shards)+2)
	q.machine = query.New(params, plan)
	q.apply(q.machine.Start(q.startedAt))
}

func (q *queryRun) step(ev query.Event) {
	if !q.finished {
		q.apply(q.machine.Step(q.entry.sim.Now, ev, q.entry.budget.forClass(q.class)))
	}
}

func (q *queryRun) apply(actions []query.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case query.Send:
			q.send(a)
		case query.Abort:
			q.abort(q.attempts[a.Attempt])
		case query.WakeAt:
			q.wakeAt(a.At)
		case query.Finish:
			q.finish(a.Answer)
		}
	}
}

func (q *queryRun) send(s query.Send) {
	sim := q.entry.sim
	r := sim.relayOf(s.Leaf)
	a := &attempt{relay: r, send: s, sentAt: sim.Now}
	a.request = &leafRequest{
		priority: q.class.Priority, startBy: s.StartBy, deadline: q.startedAt + q.class.Deadline,
		deliverReply: func(result reply) {
			sim.network.send(r.leaf.zone, q.entry.zone, r.leaf.index, func() { q.receiveReply(a, result) })
		},
	}
	if s.RepeatOf != 0 {
		a.request.repeatOf = q.attempts[s.RepeatOf].request
	}
	q.attempts[s.Attempt] = a
	q.entry.budget.recordSend(s.Kind)
	sim.network.send(q.entry.zone, r.leaf.zone, r.leaf.index, func() { r.add(a.request) })
}

// abort cancels an attempt. The time that it waited until then is recorded as
// its latency.
func (q *queryRun) abort(a *attempt) {
	sim := q.entry.sim
	q.observe(a)
	sim.network.send(q.entry.zone, a.relay.leaf.zone, a.relay.leaf.index, func() { a.relay.cancel(a.request) })
}

func (q *queryRun) receiveReply(a *attempt, r reply) {
	q.observe(a)
	if !r.ok {
		q.step(failedEvent(a.send.Attempt, r))
		return
	}
	leaf := a.relay.leaf
	q.step(query.Reply{
		Attempt: a.send.Attempt, Leaf: leaf.id, Shard: leaf.shard, Snapshot: a.send.Snapshot, Hits: 1,
	})
}

// observe records the latency of an attempt once. Only first sends count for the
// hedge delays.
func (q *queryRun) observe(a *attempt) {
	if a.observed {
		return
	}
	a.observed = true
	if q.class.Priority == 0 {
		q.entry.latencies.observeLeaf(a.send.Leaf, q.entry.sim.Now-a.sentAt)
	}
	if isFirstSend(a.send.Kind) && (q.class.Priority == 0 || !q.entry.sim.policy.DelayPerClass) {
		q.entry.latencies.observeShard(a.send.Shard, q.entry.sim.Now-a.sentAt)
	}
}

func (q *queryRun) wakeAt(t time.Duration) {
	q.wakeNumber++
	number := q.wakeNumber
	q.entry.sim.At(t, func() {
		if number == q.wakeNumber {
			q.step(query.Timer{})
		}
	})
}

func (q *queryRun) finish(answer query.Answer) {
	q.finished = true
	sim := q.entry.sim
	sim.result.stats(q.class).addCounters(q.machine.Counters())
	sim.result.recordAnswer(q.class, q.arrivedAt, sim.Now, answer.CoveredWeight, answer.TotalWeight)
	q.entry.stepAdmission(admission.Complete{ID: q.id})
}
