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
	now         func() time.Duration
	readerSlots chan struct{}

	mu        sync.Mutex
	caches    map[Kind]*objectfeed.Cache
	freshness *objectfeed.Freshness[Kind]
	findings  *leafspeed.Cache
	// changed is closed at the next change of anything.
	changed chan struct{}
}

// NewHub returns a hub without copies. now is monotonic time.
func NewHub(now func() time.Duration) *Hub {
	return &Hub{
		now: now, readerSlots: make(chan struct{}, maxReaders),
		caches: make(map[Kind]*objectfeed.Cache), freshness: objectfeed.NewFreshness[Kind](),
		findings: leafspeed.NewCache(), changed: make(chan struct{}),
	}
}

// ApplyFromStore takes in what the store answered this VM.
func (h *Hub) ApplyFromStore(kind Kind, changes objectfeed.Changes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freshness.RecordStoreAnswer(h.now(), kind)
	h.apply(kind, changes)
}

// ApplyFromPeer takes in what another VM answered this one.
func (h *Hub) ApplyFromPeer(kind Kind, changes objectfeed.Changes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freshness.RecordPeerAnswer(h.now(), kind, changes.Age)
	h.apply(kind, changes)
}

// RecordFailure takes in that a call for a kind failed.
func (h *Hub) RecordFailure(kind Kind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freshness.RecordFailure(kind)
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
		h.handleFindings(p, env)
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
	case h.readerSlots <- struct{}{}:
	default:
		h.reply(p, env, message.FeedAnswer{})
		return
	}
	go func() {
		defer func() { <-h.readerSlots }()
		h.reply(p, env, h.waitForChanges(p.Done(), request))
	}()
}

// handleFindings takes in another VM's findings and answers with those that it lacks.
func (h *Hub) handleFindings(p *wire.Peer, env *wire.Envelope) {
	var in message.LeafSpeeds
	if err := wire.DecodeBody(env, &in); err != nil {
		klog.ErrorS(err, "Cannot decode the findings of another VM", "vm", p.Remote.VM)
		return
	}
	out := message.LeafSpeeds{Since: h.now()}
	out.Findings = h.ExchangeFindings(in.Findings, in.Since)
	if err := p.ReplyOrClose(env, wire.KindLeafSpeeds, out); err != nil {
		klog.ErrorS(err, "Cannot answer another VM", "vm", p.Remote.VM)
	}
}

// ExchangeFindings takes in findings and returns those learned since a time, which is this
// VM's own, before it.
func (h *Hub) ExchangeFindings(in []leafspeed.Finding, since time.Duration) []leafspeed.Finding {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	out := h.findings.Since(now, since)
	h.findings.Add(now, in)
	return out
}

// AddFindings takes in the findings of another VM, for those that ask this one.
func (h *Hub) AddFindings(in []leafspeed.Finding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.findings.Add(h.now(), in)
}

func (h *Hub) reply(p *wire.Peer, env *wire.Envelope, answer message.FeedAnswer) {
	if err := p.ReplyOrClose(env, wire.KindFeedAnswer, answer); err != nil {
		klog.ErrorS(err, "Cannot answer another VM", "vm", p.Remote.VM)
	}
}

// waitForChanges waits until there is something to say.
func (h *Hub) waitForChanges(gone <-chan struct{}, r message.FeedRequest) message.FeedAnswer {
	timeout := time.NewTimer(min(r.Wait, maxWait))
	defer timeout.Stop()
	for over := false; ; {
		answer, changed := h.currentAnswer(r)
		if !answer.Ready || answer.Gone || r.List || len(answer.Changes.Objects) > 0 || over {
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

func (h *Hub) currentAnswer(r message.FeedRequest) (message.FeedAnswer, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	age, cache := h.freshness.Age(h.now(), Kind(r.Kind)), h.cache(Kind(r.Kind))
	all, ready := cache.List()
	all.Age = age
	if r.List || !ready {
		return message.FeedAnswer{Ready: ready, Changes: all}, h.changed
	}
	changes, ok := cache.Since(r.From)
	changes.Age = age
	return message.FeedAnswer{Ready: true, Gone: !ok, Changes: changes}, h.changed
}
