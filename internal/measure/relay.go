package measure

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/leafqueue"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

const (
	// maxQueued, probeInterval, probeTimeout and runLimit have the values of the
	// relay process and of the stand-in's service documents.
	maxQueued     = 64
	probeInterval = time.Second
	probeTimeout  = 900 * time.Millisecond
	runLimit      = 2 * time.Second
)

// relay owns one leaf, as a worker of the relay process does. It always holds
// the cold lease of its leaf.
type relay struct {
	sim       *sim
	leaf      *leaf
	queue     *leafqueue.Queue
	tracker   *warmup.Tracker
	requests  map[uint64]*leafRequest
	nextID    uint64
	inService bool
	status    leafStatus
	// awaitingProbe is set from the time the leaf closed its connections until a
	// probe succeeds. No request is dispatched meanwhile.
	awaitingProbe bool
	// tickNumber is the number of the latest scheduled tick. Earlier ones are
	// ignored.
	tickNumber uint64
}

// leafStatus is the status of a leaf that a relay sends to entries.
type leafStatus struct{ usable, warm bool }

func newRelay(s *sim, l *leaf) *relay {
	r := &relay{
		sim: s, leaf: l, inService: true,
		queue:    leafqueue.New(leafqueue.Config{MaxQueued: maxQueued}),
		tracker:  warmup.New(warmup.Config{Slots: leafSlots}),
		requests: make(map[uint64]*leafRequest),
	}
	r.status = leafStatus{usable: true}
	l.onConnectionsClosed = r.connectionsClosed
	// Probes of different leaves are spread over the interval.
	offset := probeInterval * time.Duration(l.index) / time.Duration(len(s.leaves)+1)
	s.After(offset, r.probe)
	return r
}

func (r *relay) add(req *leafRequest) {
	r.nextID++
	req.id = r.nextID
	r.requests[req.id] = req
	r.step(leafqueue.Add{ID: req.id, Priority: req.priority, StartBy: req.startBy, RepeatOf: req.repeatOfID()})
}

func (r *relay) cancel(req *leafRequest) {
	if !req.ended {
		r.step(leafqueue.Cancel{ID: req.id})
	}
}

func (r *relay) setInService(inService bool) {
	r.inService = inService
	if inService {
		r.step(leafqueue.Open{})
		return
	}
	r.step(leafqueue.Close{Reason: errs.ReasonZoneOut})
}

// step updates the limit of the queue and then applies an event to it.
func (r *relay) step(ev leafqueue.Event) {
	r.apply(r.queue.Step(r.sim.Now, r.limit()))
	r.apply(r.queue.Step(r.sim.Now, ev))
	r.publishStatus()
	r.scheduleTick()
}

// limit returns the limit under which requests may run in the leaf now.
func (r *relay) limit() leafqueue.SetLimit {
	if r.awaitingProbe {
		return leafqueue.SetLimit{}
	}
	limit := r.tracker.Limit(r.sim.Now)
	typical, _ := r.tracker.EffectiveBaseline()
	return leafqueue.SetLimit{InFlight: limit.InFlight, NotBefore: limit.NotBefore, TypicalRunTime: typical}
}

func (r *relay) apply(actions []leafqueue.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case leafqueue.Dispatch:
			r.dispatch(r.requests[a.ID])
		case leafqueue.Refuse:
			r.refuse(a)
		case leafqueue.Abort:
			r.abort(r.requests[a.ID])
		}
	}
}

func (r *relay) refuse(a leafqueue.Refuse) {
	req := r.requests[a.ID]
	delete(r.requests, a.ID)
	req.ended = true
	req.deliverReply(reply{notRun: true, reason: string(a.Reason)})
}

// publishStatus sends the leaf's status to the entries if it changed.
func (r *relay) publishStatus() {
	state := r.tracker.State()
	status := leafStatus{
		usable: r.inService && state != warmup.Down && state != warmup.Leaving,
		warm:   r.inService && state == warmup.Warm,
	}
	if status == r.status {
		return
	}
	r.status = status
	for _, e := range r.sim.entries {
		r.sim.network.send(r.leaf.zone, e.zone, r.leaf.index, func() { e.setLeafStatus(r.leaf.index, status) })
	}
}

// scheduleTick schedules a tick for the queue's next wake-up. A tick that comes
// too early has no effect.
func (r *relay) scheduleTick() {
	at, ok := r.queue.NextWake(r.sim.Now)
	if !ok {
		return
	}
	r.tickNumber++
	number := r.tickNumber
	r.sim.At(at, func() {
		if number == r.tickNumber {
			r.step(leafqueue.Tick{})
		}
	})
}
