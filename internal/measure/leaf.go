package measure

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/eventloop"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	slots = 2
	// queuedPerSlot is how many requests wait in a leaf before it sheds.
	queuedPerSlot = 2
	// warmAfter is the number of replies after which a cold leaf is warm, as in
	// the stand-in.
	warmAfter = 8
	// collapse is how long a cold leaf fails after more than one request at a
	// time.
	collapse = 2 * time.Second
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
type run struct {
	ended func(outcome)
	done  bool
	began bool
}

// leaf is a fake upstream. It bears one request at a time while it is cold.
type leaf struct {
	loop  *eventloop.Loop
	id    topology.LeafID
	shard topology.ShardID
	zone  int
	index int
	times serviceTime
	boot  uint64
	// slowBy is added to each run time.
	slowBy time.Duration
	// dead leaves answer nothing, as a VM that is gone.
	dead bool
	// closed tells the relay that the leaf closed its connections.
	closed       func()
	coldReplies  int
	failingUntil time.Duration
	running      []*run
	waiting      []*run

	// violations counts requests beyond the one that a cold leaf bears.
	violations int
	// lastStart is when the leaf last began a request.
	lastStart time.Duration
}

func (l *leaf) cold() bool { return l.coldReplies < warmAfter }

// submit takes a request; ended is called at most once.
func (l *leaf) submit(ended func(outcome)) *run {
	r := &run{ended: ended}
	switch {
	case l.dead:
	case l.loop.Now < l.failingUntil:
		l.end(r, outcomeReset)
	case l.cold() && len(l.running) > 0:
		l.overloaded(r)
	case len(l.running) < slots:
		l.start(r)
	case len(l.waiting) < queuedPerSlot*slots:
		l.waiting = append(l.waiting, r)
	default:
		l.end(r, outcomeShed)
	}
	return r
}

// overloaded makes the cold leaf fail for a while.
func (l *leaf) overloaded(r *run) {
	l.violations++
	l.failingUntil = l.loop.Now + collapse
	l.running = append(l.running, r)
	l.loseAll()
}

func (l *leaf) loseAll() {
	lost := append(l.running, l.waiting...)
	l.running, l.waiting = nil, nil
	for _, r := range lost {
		l.end(r, outcomeReset)
	}
}

func (l *leaf) start(r *run) {
	r.began = true
	l.running = append(l.running, r)
	l.lastStart = l.loop.Now
	took := l.times.draw() + l.slowBy
	if l.cold() {
		took *= coldFactor
	}
	l.loop.After(took, func() { l.finish(r) })
}

func (l *leaf) finish(r *run) {
	if r.done || l.dead {
		return
	}
	l.coldReplies = min(l.coldReplies+1, warmAfter)
	l.end(r, outcomeReply)
	l.free(r)
}

func (l *leaf) end(r *run, o outcome) {
	if r.done {
		return
	}
	r.done = true
	r.ended(o)
}

// cancel ends a request that nobody waits for.
func (l *leaf) cancel(r *run) {
	if r.done || l.dead {
		return
	}
	r.done = true
	l.free(r)
}

func (l *leaf) free(r *run) {
	l.running = without(l.running, r)
	l.waiting = without(l.waiting, r)
	for len(l.waiting) > 0 && len(l.running) < l.bears() {
		next := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.start(next)
	}
}

func (l *leaf) bears() int {
	if l.cold() {
		return 1
	}
	return slots
}

func (l *leaf) load() float64 { return float64(len(l.running)) / slots }

func without(list []*run, r *run) []*run {
	for i := range list {
		if list[i] == r {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
