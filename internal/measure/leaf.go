package measure

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/eventloop"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	leafSlots = 2
	// queuedPerSlot is how many requests per slot wait in a leaf before it
	// sheds.
	queuedPerSlot = 2
	// warmAfterReplies is the number of replies after which a cold leaf is warm,
	// as in the stand-in.
	warmAfterReplies = 8
	// coldOverloadOutage is how long a cold leaf resets all requests after it
	// got more than one at a time.
	coldOverloadOutage = 2 * time.Second
)

// outcome is how a request to a leaf ended.
type outcome uint8

const (
	outcomeReply outcome = iota
	outcomeShed
	// outcomeReset means that the connection was lost before the reply.
	outcomeReset
	// outcomeTimedOut and outcomeCancelled are set by the sender; a leaf doesn't
	// return them.
	outcomeTimedOut
	outcomeCancelled
)

// leafRun is a request that a leaf runs, queues or has rejected.
type leafRun struct {
	onEnd   func(outcome)
	ended   bool
	started bool
}

// leaf is a fake upstream. It can run one request at a time while it is cold.
type leaf struct {
	loop     *eventloop.Loop
	id       topology.LeafID
	shard    topology.ShardID
	zone     int
	index    int
	runTimes serviceTime
	boot     uint64
	// extraRunTime is added to each run time.
	extraRunTime time.Duration
	// dead is set while the leaf sends no replies, as if its VM had failed.
	dead bool
	// onConnectionsClosed notifies the relay that the leaf closed its
	// connections.
	onConnectionsClosed func()
	coldReplies         int
	failingUntil        time.Duration
	running             []*leafRun
	waiting             []*leafRun

	// coldViolations counts the requests that arrived while the cold leaf ran
	// another one.
	coldViolations int
	// lastStart is when the leaf last started a request.
	lastStart time.Duration
}

func (l *leaf) cold() bool { return l.coldReplies < warmAfterReplies }

// submit starts, queues or rejects a request. onEnd is called at most once.
func (l *leaf) submit(onEnd func(outcome)) *leafRun {
	r := &leafRun{onEnd: onEnd}
	switch {
	case l.dead:
	case l.loop.Now < l.failingUntil:
		l.endRun(r, outcomeReset)
	case l.cold() && len(l.running) > 0:
		l.failColdOverload(r)
	case len(l.running) < leafSlots:
		l.start(r)
	case len(l.waiting) < queuedPerSlot*leafSlots:
		l.waiting = append(l.waiting, r)
	default:
		l.endRun(r, outcomeShed)
	}
	return r
}

// failColdOverload resets all requests of the cold leaf, and those that arrive
// within coldOverloadOutage.
func (l *leaf) failColdOverload(r *leafRun) {
	l.coldViolations++
	l.failingUntil = l.loop.Now + coldOverloadOutage
	l.running = append(l.running, r)
	l.resetAll()
}

func (l *leaf) resetAll() {
	lost := append(l.running, l.waiting...)
	l.running, l.waiting = nil, nil
	for _, r := range lost {
		l.endRun(r, outcomeReset)
	}
}

func (l *leaf) start(r *leafRun) {
	r.started = true
	l.running = append(l.running, r)
	l.lastStart = l.loop.Now
	took := l.runTimes.draw() + l.extraRunTime
	if l.cold() {
		took *= coldFactor
	}
	l.loop.After(took, func() { l.finish(r) })
}

func (l *leaf) finish(r *leafRun) {
	if r.ended || l.dead {
		return
	}
	l.coldReplies = min(l.coldReplies+1, warmAfterReplies)
	l.endRun(r, outcomeReply)
	l.release(r)
}

func (l *leaf) endRun(r *leafRun, o outcome) {
	if r.ended {
		return
	}
	r.ended = true
	r.onEnd(o)
}

// cancel ends a request without a reply and frees its slot.
func (l *leaf) cancel(r *leafRun) {
	if r.ended || l.dead {
		return
	}
	r.ended = true
	l.release(r)
}

func (l *leaf) release(r *leafRun) {
	l.running = removeRun(l.running, r)
	l.waiting = removeRun(l.waiting, r)
	for len(l.waiting) > 0 && len(l.running) < l.maxRunning() {
		next := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.start(next)
	}
}

func (l *leaf) maxRunning() int {
	if l.cold() {
		return 1
	}
	return leafSlots
}

func (l *leaf) load() float64 { return float64(len(l.running)) / leafSlots }

func removeRun(list []*leafRun, r *leafRun) []*leafRun {
	for i := range list {
		if list[i] == r {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
