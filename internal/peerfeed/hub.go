package peerfeed

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/leafspeed"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
	"github.com/medlarswitch/medlarswitch/internal/outage"
	"github.com/medlarswitch/medlarswitch/internal/panics"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const (
	// maxReaders limits the calls of other VMs that are handled at a time: four
	// kinds for each VM of a fleet of a few hundred.
	maxReaders = 1024
	// maxWait limits the wait of a watch, whatever the reader requests.
	maxWait = 5 * time.Second
)

// Kind is the number of a kind of object in messages between VMs.
type Kind uint8

// Hub holds this VM's copies of the store's objects and the findings about slow
// leaves, and serves them to other VMs. It is safe for concurrent use.
type Hub struct {
	now         func() time.Duration
	readerSlots chan struct{}

	panics *panics.Recorder
	// witness is nil until SetWitness.
	witness Witness

	mu panics.Mutex
	// caches holds the copy of each kind, freshness how old the copies are.
	caches    map[Kind]*objectfeed.Cache
	freshness *objectfeed.Freshness[Kind]
	findings  *leafspeed.Cache
	// packed holds the objects of each kind that were packed last.
	packed map[Kind]packedObjects
	// changed is closed and replaced at each change of a copy.
	changed chan struct{}
}

// minPackedBytes is the size from which objects are packed.
const minPackedBytes = 4 << 10

// packedObjects are the packed objects of a listing, or of the changes after a position.
// Many VMs request the same ones: those that start at the same time, and those that wait
// for a change of the configuration, which is one large object.
type packedObjects struct {
	listing  bool
	from, to objectfeed.Position
	objects  message.PackedObjects
}

// NewHub returns a hub without copies. now returns monotonic time. Panics are recorded
// by recorder; inDoubt is called for one that may leave the copies inconsistent.
func NewHub(now func() time.Duration, recorder *panics.Recorder, inDoubt func(value any)) *Hub {
	return &Hub{
		now: now, panics: recorder, mu: panics.Mutex{OnPanic: inDoubt}, readerSlots: make(chan struct{}, maxReaders),
		caches: make(map[Kind]*objectfeed.Cache), freshness: objectfeed.NewFreshness[Kind](),
		findings: leafspeed.NewCache(), packed: make(map[Kind]packedObjects), changed: make(chan struct{}),
	}
}

// SetWitness sets what states this VM's knowledge of the store to others. It must be called
// before the hub handles messages.
func (h *Hub) SetWitness(w Witness) { h.witness = w }

// Apply applies changes that the store or another VM returned.
func (h *Hub) Apply(kind Kind, changes objectfeed.Changes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freshness.RecordAnswer(h.now(), kind, changes.Age)
	h.apply(kind, changes)
}

// apply applies changes to the copy of a kind and wakes the watches. The caller
// holds mu.
func (h *Hub) apply(kind Kind, changes objectfeed.Changes) {
	h.cache(kind).Apply(changes)
	if changes.IsListing || len(changes.Objects) > 0 {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// cache returns the copy of a kind. The caller holds mu.
func (h *Hub) cache(kind Kind) *objectfeed.Cache {
	c := h.caches[kind]
	if c == nil {
		c = &objectfeed.Cache{}
		h.caches[kind] = c
	}
	return c
}

// Handle handles a message from another VM. It does not block.
func (h *Hub) Handle(p *wire.Peer, env *wire.Envelope) {
	switch env.Kind {
	case wire.KindLeafSpeeds:
		h.handleFindings(p, env)
		return
	case wire.KindCancel:
		// A cancelled watch ends when its wait expires; its answer is discarded.
		return
	}
	var request message.FeedRequest
	if err := wire.DecodeBody(env, &request); err != nil {
		klog.ErrorS(err, "Failed to decode a message from another VM", "vm", p.Remote.VM, "kind", env.Kind)
		return
	}
	select {
	case h.readerSlots <- struct{}{}:
	default:
		h.reply(p, env, message.FeedAnswer{})
		return
	}
	go func() {
		defer func() { <-h.readerSlots }()
		defer h.panics.Recover("feed-request", string(p.Remote.VM), p.Close)
		h.reply(p, env, h.waitForChanges(p.Done(), request))
	}()
}

// handleFindings adds another VM's findings and replies with those that it
// lacks.
func (h *Hub) handleFindings(p *wire.Peer, env *wire.Envelope) {
	var request message.LeafSpeeds
	if err := wire.DecodeBody(env, &request); err != nil {
		klog.ErrorS(err, "Failed to decode the findings of another VM", "vm", p.Remote.VM)
		return
	}
	reply := message.LeafSpeeds{Since: h.now(), Store: h.storeState()}
	if h.witness != nil {
		h.witness.HeardStoreState(request.Store)
	}
	reply.Findings = h.ExchangeFindings(request.Findings, request.Since)
	if err := p.ReplyOrClose(env, wire.KindLeafSpeeds, reply); err != nil {
		klog.ErrorS(err, "Failed to answer another VM", "vm", p.Remote.VM)
	}
}

// ExchangeFindings adds findings and returns those that were known before and
// were added since the given time on this VM's clock.
func (h *Hub) ExchangeFindings(findings []leafspeed.Finding, since time.Duration) []leafspeed.Finding {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	newer := h.findings.Since(now, since)
	h.findings.Add(now, findings)
	return newer
}

// Ages returns the maximum age of each copy.
func (h *Hub) Ages() map[Kind]time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[Kind]time.Duration, len(h.caches))
	for kind := range h.caches {
		out[kind] = h.freshness.Age(h.now(), kind)
	}
	return out
}

// AddFindings adds the findings of another VM, to serve them to VMs that
// request them.
func (h *Hub) AddFindings(findings []leafspeed.Finding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.findings.Add(h.now(), findings)
}

func (h *Hub) reply(p *wire.Peer, env *wire.Envelope, answer message.FeedAnswer) {
	if err := p.ReplyOrClose(env, wire.KindFeedAnswer, answer); err != nil {
		klog.ErrorS(err, "Failed to answer another VM", "vm", p.Remote.VM)
	}
}

// waitForChanges returns the answer to a request. A watch waits until there are
// changes, its wait expires or the connection to the peer is closed. It does not wait
// while the copy is too old for the reader.
func (h *Hub) waitForChanges(connClosed <-chan struct{}, r message.FeedRequest) message.FeedAnswer {
	began := h.now()
	timeout := time.NewTimer(min(r.Wait, maxWait))
	defer timeout.Stop()
	// aged fires when the copy becomes too old if the store does not confirm it meanwhile.
	aged := time.NewTimer(maxWait)
	defer aged.Stop()
	for expired := false; ; {
		answer, changed := h.currentAnswer(r)
		answer.Held = h.now() - began
		tooOld := r.MaxAge > 0 && answer.Changes.Age > r.MaxAge
		if r.MaxAge > 0 {
			aged.Reset(r.MaxAge - answer.Changes.Age + time.Millisecond)
		}
		if !answer.Ready || answer.HistoryGone || r.List || len(answer.Changes.Objects) > 0 || tooOld || expired {
			// Read after the changes: the outage that has caused a change is known before
			// the change is applied.
			answer.Changes.Store = h.storeState()
			return h.pack(r, answer)
		}
		select {
		case <-changed:
		case <-aged.C:
		case <-timeout.C:
			expired = true
		case <-connClosed:
			expired = true
		}
	}
}

// pack compresses the objects of an answer if they are large.
func (h *Hub) pack(r message.FeedRequest, answer message.FeedAnswer) message.FeedAnswer {
	size := 0
	for _, o := range answer.Changes.Objects {
		size += len(o.Text)
	}
	if size < minPackedBytes {
		return answer
	}
	kind := Kind(r.Kind)
	key := packedObjects{listing: answer.Changes.IsListing, to: answer.Changes.Position()}
	if !key.listing {
		key.from = r.Position()
	}
	objects, ok := h.lastPacked(kind, key)
	if !ok {
		var err error
		if objects, err = message.PackObjects(answer.Changes.Objects); err != nil {
			klog.ErrorS(err, "Failed to pack objects, sending them as they are", "kind", kind, "revision", key.to.Revision)
			return answer
		}
		key.objects = objects
		h.keepPacked(kind, key)
	}
	answer.Packed, answer.Changes.Objects = objects, nil
	return answer
}

// lastPacked returns the objects that were packed last for a kind if they are those of
// the key.
func (h *Hub) lastPacked(kind Kind, key packedObjects) (message.PackedObjects, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.packed[kind]
	same := last.objects != nil && last.listing == key.listing && last.from == key.from && last.to == key.to
	return last.objects, same
}

func (h *Hub) keepPacked(kind Kind, packed packedObjects) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.packed[kind] = packed
}

// storeState returns what this VM states of the store.
func (h *Hub) storeState() outage.State {
	if h.witness == nil {
		return outage.State{}
	}
	return h.witness.StoreState()
}

// currentAnswer returns the answer from the current copies, and a channel that
// is closed at the next change.
func (h *Hub) currentAnswer(r message.FeedRequest) (message.FeedAnswer, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, cache := h.now(), h.cache(Kind(r.Kind))
	// A reader that knows a later era gets nothing of an earlier one.
	answer := message.FeedAnswer{Ready: cache.Listed() && r.Era <= cache.Position().Era}
	if r.List || !answer.Ready {
		answer.Changes = cache.List()
	} else {
		// A watch must not cost as much as a listing: each change wakes the watches
		// of all readers.
		var ok bool
		answer.Changes, ok = cache.Since(r.Position())
		answer.HistoryGone = !ok
	}
	answer.Changes.Age = h.freshness.Age(now, Kind(r.Kind))
	return answer, h.changed
}
