package measure

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/admission"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// queryRun is the shell of one query.Machine.
type queryRun struct {
	entry    *entry
	id       uint64
	class    *topology.Class
	arrived  time.Duration
	began    time.Duration
	machine  *query.Machine
	attempts map[uint64]*attempt
	timers   uint64
	finished bool
}

// attempt is a request to a leaf on its way through a relay.
type attempt struct {
	relay   *relay
	request *leafRequest
	send    query.Send
	at      time.Duration
	ended   bool
}

func (q *queryRun) start(plan query.Plan, params query.Params) {
	q.began = q.entry.sim.Now
	q.attempts = make(map[uint64]*attempt, len(plan.Shards)+2)
	q.machine = query.New(params, plan)
	q.apply(q.machine.Start(q.began))
}

func (q *queryRun) step(ev query.Event) {
	if !q.finished {
		q.apply(q.machine.Step(q.entry.sim.Now, ev, q.entry.spend.of(q.class)))
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
	at := &attempt{relay: r, send: s, at: sim.Now}
	at.request = &leafRequest{
		priority: q.class.Priority, startBy: s.StartBy, deadline: q.began + q.class.Deadline,
		answer: func(answer reply) {
			sim.network.send(r.leaf.zone, q.entry.zone, r.leaf.index, func() { q.replied(at, answer) })
		},
	}
	if s.RepeatOf != 0 {
		at.request.repeats = q.attempts[s.RepeatOf].request
	}
	q.attempts[s.Attempt] = at
	q.entry.spend.sent(s.Kind)
	sim.network.send(q.entry.zone, r.leaf.zone, r.leaf.index, func() { r.add(at.request) })
}

// abort cancels an attempt. The first attempt's time until then counts as its
// latency.
func (q *queryRun) abort(at *attempt) {
	sim := q.entry.sim
	q.observe(at)
	sim.network.send(q.entry.zone, at.relay.leaf.zone, at.relay.leaf.index, func() { at.relay.cancel(at.request) })
}

func (q *queryRun) replied(at *attempt, r reply) {
	q.observe(at)
	if !r.ok {
		q.step(failedEvent(at.send.Attempt, r))
		return
	}
	leaf := at.relay.leaf
	q.step(query.Reply{
		Attempt: at.send.Attempt, Leaf: leaf.id, Shard: leaf.shard, Snapshot: at.send.Snapshot, Hits: 1,
	})
}

// observe counts how long a first attempt took, once.
func (q *queryRun) observe(at *attempt) {
	if at.ended {
		return
	}
	at.ended = true
	if q.class.Priority == 0 {
		q.entry.delay.observeLeaf(at.send.Leaf, q.entry.sim.Now-at.at)
	}
	if firstSend(at.send.Kind) && (q.class.Priority == 0 || !q.entry.sim.policy.DelayPerClass) {
		q.entry.delay.observe(at.send.Shard, q.entry.sim.Now-at.at)
	}
}

func (q *queryRun) wakeAt(t time.Duration) {
	q.timers++
	number := q.timers
	q.entry.sim.At(t, func() {
		if number == q.timers {
			q.step(query.Timer{})
		}
	})
}

func (q *queryRun) finish(answer query.Answer) {
	q.finished = true
	sim := q.entry.sim
	sim.result.figures(q.class).count(q.machine.Counters())
	sim.result.answered(q.class, q.arrived, sim.Now, answer.CoveredWeight, answer.TotalWeight)
	q.entry.admission(admission.Complete{ID: q.id})
}
