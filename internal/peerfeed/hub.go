package peerfeed

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/leafspeed"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const (
	// maxReaders bounds the calls of other VMs that are answered at a time: four
	// kinds for each VM of a fleet of a few hundred.
	maxReaders = 1024
	// maxWait bounds the wait of a watch, whatever the reader asks for.
	maxWait = 5 * time.Second
)

// Kind numbers a kind of object between VMs.
type Kind uint8

// Hub holds this VM's copies of the store's objects. It is safe for concurrent
// use.
type Hub struct {
	now     func() time.Duration
	readers chan struct{}

	mu     sync.Mutex
	caches map[Kind]*objectfeed.Cache
	fresh  *objectfeed.Freshness[Kind]
	speeds *leafspeed.Cache
	// changed is closed at the next change of anything.
	changed chan struct{}
}

// NewHub returns a hub without copies. now is monotonic time.
func NewHub(now func() time.Duration) *Hub {
	return &Hub{
		now: now, readers: make(chan struct{}, maxReaders),
		caches: make(map[Kind]*objectfeed.Cache), fresh: objectfeed.NewFreshness[Kind](),
		speeds: leafspeed.NewCache(), changed: make(chan struct{}),
	}
}

// FromStore takes in what the store answered this VM.
func (h *Hub) FromStore(kind Kind, changes objectfeed.Changes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh.RecordStoreAnswer(h.now(), kind)
	h.apply(kind, changes)
}

// FromPeer takes in what another VM answered this one.
func (h *Hub) FromPeer(kind Kind, changes objectfeed.Changes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh.RecordPeerAnswer(h.now(), kind, changes.Age)
	h.apply(kind, changes)
}

// Lost takes in that a call for a kind failed.
func (h *Hub) Lost(kind Kind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh.RecordFailure(kind)
}

// apply keeps changes and wakes those that wait for them. The caller holds mu.
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

// Handle answers a message of another VM. It does not block.
func (h *Hub) Handle(p *wire.Peer, env *wire.Envelope) {
	switch env.Kind {
	case wire.KindLeafSpeeds:
		h.exchange(p, env)
		return
	case wire.KindCancel:
		// A watch ends by its own wait, and its answer has no receiver any more.
		return
	}
	var request message.FeedRequest
	if err := wire.DecodeBody(env, &request); err != nil {
		klog.ErrorS(err, "Cannot decode a message of another VM", "vm", p.Remote.VM, "kind", env.Kind)
		return
	}
	select {
	case h.readers <- struct{}{}:
	default:
		h.reply(p, env, message.FeedAnswer{})
		return
	}
	go func() {
		defer func() { <-h.readers }()
		h.reply(p, env, h.answer(p.Done(), request))
	}()
}

// exchange takes in another VM's findings and answers with those that it lacks.
func (h *Hub) exchange(p *wire.Peer, env *wire.Envelope) {
	var in message.LeafSpeeds
	if err := wire.DecodeBody(env, &in); err != nil {
		klog.ErrorS(err, "Cannot decode the findings of another VM", "vm", p.Remote.VM)
		return
	}
	out := message.LeafSpeeds{Since: h.now()}
	out.Findings = h.Found(in.Findings, in.Since)
	if err := p.ReplyOrClose(env, wire.KindLeafSpeeds, out); err != nil {
		klog.ErrorS(err, "Cannot answer another VM", "vm", p.Remote.VM)
	}
}

// Found takes in findings and returns those learned since a time, which is this
// VM's own, before it.
func (h *Hub) Found(in []leafspeed.Finding, since time.Duration) []leafspeed.Finding {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	out := h.speeds.Since(now, since)
	h.speeds.Add(now, in)
	return out
}

// Heard takes in the findings of another VM, for those that ask this one.
func (h *Hub) Heard(in []leafspeed.Finding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.speeds.Add(h.now(), in)
}

func (h *Hub) reply(p *wire.Peer, env *wire.Envelope, answer message.FeedAnswer) {
	if err := p.ReplyOrClose(env, wire.KindFeedAnswer, answer); err != nil {
		klog.ErrorS(err, "Cannot answer another VM", "vm", p.Remote.VM)
	}
}

// answer waits until there is something to say.
func (h *Hub) answer(gone <-chan struct{}, r message.FeedRequest) message.FeedAnswer {
	timeout := time.NewTimer(min(r.Wait, maxWait))
	defer timeout.Stop()
	for over := false; ; {
		answer, changed := h.look(r)
		if !answer.Ready || answer.HistoryGone || r.List || len(answer.Changes.Objects) > 0 || over {
			return answer
		}
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-gone:
			over = true
		}
	}
}

func (h *Hub) look(r message.FeedRequest) (message.FeedAnswer, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	age, cache := h.fresh.Age(h.now(), Kind(r.Kind)), h.cache(Kind(r.Kind))
	all, ready := cache.List()
	all.Age = age
	if r.List || !ready {
		return message.FeedAnswer{Ready: ready, Changes: all}, h.changed
	}
	changes, ok := cache.Since(r.From)
	changes.Age = age
	return message.FeedAnswer{Ready: true, HistoryGone: !ok, Changes: changes}, h.changed
}
