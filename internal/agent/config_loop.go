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
	tickInterval = 100 * time.Millisecond
	fetchTimeout = 2 * time.Second
	inboxSize    = 4096
)

// configLoop owns the confsync machine and carries out its actions.
type configLoop struct {
	server *Server
	inbox  chan confsync.Event
	checks chan confsync.Activate

	mu      sync.Mutex
	machine *confsync.Machine
	work    context.Context
}

func newConfigLoop(s *Server) *configLoop {
	return &configLoop{
		server: s,
		inbox:  make(chan confsync.Event, inboxSize),
		checks: make(chan confsync.Activate, inboxSize),
		work:   context.Background(),
		machine: confsync.New(s.cfg.Self,
			rand.New(rand.NewPCG(uint64(s.proc.Self.Boot), 0))),
	}
}

// post hands an event to the loop. An event without room is dropped; peers and
// the store repeat what they say.
func (l *configLoop) post(ev confsync.Event) {
	select {
	case l.inbox <- ev:
	default:
		klog.InfoS("Dropped a configuration event: the queue is full")
	}
}

// report hands over an event that must not be lost: nobody repeats it.
func (l *configLoop) report(ev confsync.Event) {
	select {
	case l.inbox <- ev:
	case <-l.ctx().Done():
	}
}

// ctx is the context of the loop's work.
func (l *configLoop) ctx() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.work
}

func (l *configLoop) run(ctx context.Context) {
	l.mu.Lock()
	l.work = ctx
	l.mu.Unlock()
	go l.check(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case ev := <-l.inbox:
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
		l.carryOut(ctx, a)
	}
}

func (l *configLoop) carryOut(ctx context.Context, a confsync.Action) {
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
		l.checks <- a
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

// check brings activated generations into force, in order.
func (l *configLoop) check(ctx context.Context) {
	var checker servicedoc.Incremental
	for {
		select {
		case a := <-l.checks:
			_, problems := checker.Check(a.Sections)
			if len(problems) > 0 {
				klog.ErrorS(problems.Err(), "An accepted configuration does not pass the check", "generation", a.Manifest.Generation)
			} else {
				l.server.inForce(a.Manifest)
			}
			l.report(confsync.ActivationResult{Generation: a.Manifest.Generation, OK: len(problems) == 0})
		case <-ctx.Done():
			return
		}
	}
}

// fetch gets the text of a section from a peer or from the store.
func (l *configLoop) fetch(ctx context.Context, f confsync.FetchSection) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	text, ok := l.read(ctx, f)
	if !ok {
		l.report(confsync.FetchFailed(f))
		return
	}
	l.report(confsync.SectionReceived{Name: f.Name, EditID: f.EditID, Text: text})
}

func (l *configLoop) read(ctx context.Context, f confsync.FetchSection) ([]byte, bool) {
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

func (l *configLoop) section(name, editID string) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Section(name, editID)
}
