package measure

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/eventloop"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	leafSlots = 2
	// queuedPerSlot is how many requests wait in a leaf before it sheds.
	queuedPerSlot = 2
	// warmAfter is the number of replies after which a cold leaf is warm, as in
	// the stand-in.
	warmAfterReplies = 8
	// collapse is how long a cold leaf fails after more than one request at a
	// time.
	coldOverloadOutage = 2 * time.Second
)

// outcome is how a request ended at a leaf.
type outcome uint8

const (
	outcomeReply outcome = iota
	outcomeShed
	// outcomeReset is a connection that was lost while the request ran.
	outcomeReset
	// outcomeTimedOut and outcomeCancelled end a request at its sender only.
	outcomeTimedOut
	outcomeCancelled
)

// run is one request in a leaf.
type leafRun struct {
	onEnd   func(outcome)
	ended   bool
	started bool
}

// leaf is a fake upstream. It bears one request at a time while it is cold.
type leaf struct {
	loop     *eventloop.Loop
	id       topology.LeafID
	shard    topology.ShardID
	zone     int
	index    int
	runTimes serviceTime
	boot     uint64
	// slowBy is added to each run time.
	extraRunTime time.Duration
	// dead leaves answer nothing, as a VM that is gone.
	dead bool
	// closed tells the relay that the leaf closed its connections.
	onConnectionsClosed func()
	coldReplies         int
	failingUntil        time.Duration
	running             []*leafRun
	waiting             []*leafRun

	// violations counts requests beyond the one that a cold leaf bears.
	coldViolations int
	// lastStart is when the leaf last began a request.
	lastStart time.Duration
}

func (l *leaf) cold() bool { return l.coldReplies < warmAfterReplies }

// submit takes a request; ended is called at most once.
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

// overloaded makes the cold leaf fail for a while.
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

// cancel ends a request that nobody waits for.
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
