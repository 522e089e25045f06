package agentlink

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const (
	fetchTimeout = 2 * time.Second
	inboxSize    = 256
	// agentRedialMax bounds the pause between dials of the agent, which runs on
	// the same VM: a refused dial costs little there, and a process without its
	// agent has no configuration.
	agentRedialMax = 200 * time.Millisecond
	// MaxSilence is how long a process stays ready without its agent. After
	// it, an edit could be in force elsewhere for longer than is promised.
	MaxSilence = 6 * time.Second
)

// Link is the connection of a process to its VM's agent.
type Link struct {
	proc     *telemetry.Process
	addr     string
	receiver Receiver
	links    *wire.Links
	inbox    chan input
	// heard is when the agent last sent its generation, in proc's time.
	heard atomic.Int64
	// generation is the one in force here.
	generation atomic.Uint64
	guard      *guard
	// vms is the VM list that was handed on.
	vms atomic.Pointer[topology.VMView]

	sections map[string]heldSection
	checker  servicedoc.Incremental
}

// input is a message of the agent with the connection it came on.
type input struct {
	peer *wire.Peer
	env  *wire.Envelope
}

type heldSection struct {
	editID string
	text   []byte
}

// New returns a link that is not connected yet.
func New(proc *telemetry.Process, addr string, receiver Receiver) *Link {
	l := &Link{
		proc: proc, addr: addr, receiver: receiver,
		inbox: make(chan input, inboxSize), sections: make(map[string]heldSection),
	}
	l.links = wire.NewLinks(proc.Self, proc.WireOptions(l.handle))
	l.links.RedialMax = agentRedialMax
	l.guard = newGuard(l)
	return l
}

// handle runs on the connection's reader. A message without room is dropped:
// the agent repeats its generation each second.
func (l *Link) handle(p *wire.Peer, env *wire.Envelope) {
	select {
	case l.inbox <- input{peer: p, env: env}:
	default:
		klog.InfoS("Dropped a message of the agent", "kind", env.Kind)
	}
}

// Run follows the agent until the context is done.
func (l *Link) Run(ctx context.Context) {
	l.links.Set(ctx, []string{l.addr})
	go l.guard.run(ctx)
	go l.followSubstitutes(ctx)
	for {
		select {
		case in := <-l.inbox:
			l.take(ctx, in)
		case <-ctx.Done():
			return
		}
	}
}

// MayAccept reports whether new work may be accepted. It is false after a pause
// of the process until the agent has confirmed the generation, at most 1 s.
func (l *Link) MayAccept() bool { return l.guard.mayAccept() }

// Silence is how long nothing was heard from the agent.
func (l *Link) Silence() time.Duration {
	return l.proc.Now() - time.Duration(l.heard.Load())
}

// Send passes a fact on to the agent, which spreads it. Without a connection
// it is dropped.
func (l *Link) Send(kind wire.Kind, body any) {
	peer := l.links.Get(l.addr)
	if peer == nil {
		return
	}
	if err := peer.Notify(kind, body); err != nil {
		klog.ErrorS(err, "Cannot encode fact")
	}
}

// Call asks the agent and decodes its answer.
func (l *Link) Call(ctx context.Context, kind wire.Kind, body, answer any) error {
	peer := l.links.Get(l.addr)
	if peer == nil {
		return errs.New(errs.StepRelayDial, l.addr, errs.ReasonConnectionLost, true, "no connection to the agent")
	}
	env, err := peer.Call(ctx, kind, "", topology.Snapshot{}, body)
	if err != nil {
		return err
	}
	return wire.DecodeBody(env, answer)
}

func (l *Link) take(ctx context.Context, in input) {
	switch in.env.Kind {
	case wire.KindConfigOffer:
		l.offered(ctx, in)
	case wire.KindVMView:
		var msg message.VMView
		if l.decode(in.env, &msg) && l.newerVMs(msg.View) {
			l.receiver.SetVMs(ctx, msg.View)
		}
	case wire.KindLossReport:
		l.receiver.Fact(in.env)
	}
}

func (l *Link) offered(ctx context.Context, in input) {
	var m confsync.Manifest
	if !l.decode(in.env, &m) || m.Generation < l.generation.Load() {
		return
	}
	if in.peer.Remote.VM == l.proc.Self.VM {
		l.heard.Store(int64(l.proc.Now()))
	}
	if m.Generation == l.generation.Load() {
		return
	}
	sections, ok := l.fetchAll(ctx, in.peer, m)
	if !ok {
		return
	}
	t, problems := l.checker.Check(sections)
	if len(problems) > 0 {
		klog.ErrorS(problems.Err(), "The agent offered a configuration that does not pass the check", "generation", m.Generation)
		return
	}
	t.Generation = m.Generation
	l.receiver.SetTopology(ctx, t)
	l.generation.Store(m.Generation)
}

// fetchAll returns all sections of a manifest, of which it fetches those that
// changed.
func (l *Link) fetchAll(ctx context.Context, peer *wire.Peer, m confsync.Manifest) ([]servicedoc.Section, bool) {
	next := make(map[string]heldSection, len(m.Sections))
	out := make([]servicedoc.Section, 0, len(m.Sections))
	for _, ref := range m.Sections {
		held, ok := l.sections[ref.Name]
		if !ok || held.editID != ref.EditID {
			text, err := l.fetch(ctx, peer, ref)
			if err != nil {
				klog.ErrorS(err, "Cannot fetch a section", "section", ref.Name)
				return nil, false
			}
			held = heldSection{editID: ref.EditID, text: text}
		}
		next[ref.Name] = held
		out = append(out, servicedoc.Section{Name: ref.Name, Text: held.text})
	}
	l.sections = next
	return out, true
}

func (l *Link) fetch(ctx context.Context, peer *wire.Peer, ref confsync.SectionRef) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	env, err := peer.Call(ctx, wire.KindConfigFetch, "", topology.Snapshot{}, message.ConfigFetch{Section: ref.Name, EditID: ref.EditID})
	if err != nil {
		return nil, err
	}
	var push message.ConfigPush
	if err := wire.DecodeBody(env, &push); err != nil {
		return nil, err
	}
	return checkPush(push, ref)
}

func (l *Link) decode(env *wire.Envelope, into any) bool {
	if err := wire.DecodeBody(env, into); err != nil {
		klog.ErrorS(err, "Cannot decode a message of the agent")
		return false
	}
	return true
}
