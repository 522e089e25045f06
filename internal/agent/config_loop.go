package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const (
	tickInterval   = 100 * time.Millisecond
	fetchTimeout   = 2 * time.Second
	eventQueueSize = 4096
)

// configLoop owns the confsync machine and performs its actions.
type configLoop struct {
	server      *Server
	events      chan confsync.Event
	activations chan confsync.Activate

	mu      sync.Mutex
	machine *confsync.Machine
	runCtx  context.Context
}

func newConfigLoop(s *Server) *configLoop {
	return &configLoop{
		server:      s,
		events:      make(chan confsync.Event, eventQueueSize),
		activations: make(chan confsync.Activate, eventQueueSize),
		runCtx:      context.Background(),
		machine: confsync.New(s.cfg.Self,
			rand.New(rand.NewPCG(uint64(s.proc.Self.Boot), 0))),
	}
}

// post sends an event to the loop, or drops it when the queue is full. It is for
// events whose content peers repeat.
func (l *configLoop) post(ev confsync.Event) {
	select {
	case l.events <- ev:
	default:
		klog.InfoS("Dropped a configuration event: the queue is full")
	}
}

// postBlocking sends an event to the loop and waits for room in the queue. It is for
// events that must not be lost, since they are not repeated.
func (l *configLoop) postBlocking(ev confsync.Event) {
	select {
	case l.events <- ev:
	case <-l.ctx().Done():
	}
}

// ctx returns the context of run, and of the goroutines that work for the loop.
func (l *configLoop) ctx() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runCtx
}

func (l *configLoop) run(ctx context.Context) {
	l.mu.Lock()
	l.runCtx = ctx
	l.mu.Unlock()
	go l.runActivations(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case ev := <-l.events:
			l.step(ctx, ev)
		case <-tick.C:
			l.step(ctx, confsync.Tick{})
		case <-ctx.Done():
			return
		}
	}
}

func (l *configLoop) step(ctx context.Context, ev confsync.Event) {
	l.mu.Lock()
	actions := l.machine.Step(l.server.proc.Now(), ev)
	l.mu.Unlock()
	for _, a := range actions {
		l.execute(ctx, a)
	}
}

func (l *configLoop) execute(ctx context.Context, a confsync.Action) {
	switch a := a.(type) {
	case confsync.SendHeartbeat:
		l.send(a.To, wire.KindHeartbeat, message.Heartbeat{
			Generation: a.Generation, StoreAge: a.StoreAge, Request: uint8(a.Request),
			VMVersion: l.server.vmVersion(),
		})
	case confsync.SendManifest:
		l.send(a.To, wire.KindConfigOffer, a.Manifest)
	case confsync.FetchSection:
		go l.fetch(ctx, a)
	case confsync.Activate:
		l.activations <- a
	case confsync.WatchStore:
		l.server.store.watch(ctx, a.On)
	case confsync.PollStore:
		go l.server.store.poll(ctx)
	}
}

func (l *configLoop) send(to topology.VMID, kind wire.Kind, body any) {
	if p := l.server.peerOf(to); p != nil {
		notify(p, kind, body)
	}
}

// runActivations checks the generations of Activate actions and activates those
// that pass, in order.
func (l *configLoop) runActivations(ctx context.Context) {
	var checker servicedoc.IncrementalChecker
	for {
		select {
		case a := <-l.activations:
			_, problems := checker.Check(a.Sections)
			if len(problems) > 0 {
				klog.ErrorS(problems.Err(), "An accepted configuration failed the check", "generation", a.Manifest.Generation)
			} else {
				l.server.setManifest(a.Manifest)
			}
			l.postBlocking(confsync.ActivationResult{Generation: a.Manifest.Generation, OK: len(problems) == 0})
		case <-ctx.Done():
			return
		}
	}
}

// fetch fetches the text of a section from a peer or from the store and posts the
// result.
func (l *configLoop) fetch(ctx context.Context, f confsync.FetchSection) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	text, ok := l.fetchText(ctx, f)
	if !ok {
		l.postBlocking(confsync.FetchFailed(f))
		return
	}
	l.postBlocking(confsync.SectionReceived{Name: f.Name, EditID: f.EditID, Text: text})
}

// fetchText reads from the store if the action names no peer.
func (l *configLoop) fetchText(ctx context.Context, f confsync.FetchSection) ([]byte, bool) {
	if f.From == "" {
		return l.server.store.section(ctx, f.Name, f.EditID)
	}
	p := l.server.peerOf(f.From)
	if p == nil {
		return nil, false
	}
	env, err := p.Call(ctx, wire.KindConfigFetch, "", topology.Snapshot{}, message.ConfigFetch{Section: f.Name, EditID: f.EditID})
	if err != nil {
		return nil, false
	}
	var push message.ConfigPush
	if !decode(p, env, &push) {
		return nil, false
	}
	return push.Text, push.Found
}

// section returns the text of a section version that this agent holds.
func (l *configLoop) section(name, editID string) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Section(name, editID)
}
