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
	fetchTimeout     = 2 * time.Second
	messageQueueSize = 256
	// agentRedialMax limits the backoff between dials of the agent. The agent runs
	// on the same VM, where a refused dial costs little, and a process without its
	// agent has no configuration.
	agentRedialMax = 200 * time.Millisecond
	// MaxOfferAge is how long a process stays ready without an offer of its agent.
	// After that it may lack an edit for longer than the promised time within
	// which edits take effect.
	MaxOfferAge = 6 * time.Second
)

// Link is the connection of a process to its VM's agent. While that agent sends no
// offers, the process follows the agents of other VMs too.
type Link struct {
	proc     *telemetry.Process
	addr     string
	receiver Receiver
	links    *wire.Links
	messages chan inbound
	// lastOffer is when the VM's agent last offered its generation, on the
	// process's monotonic clock.
	lastOffer atomic.Int64
	// generation is the active generation of this process.
	generation atomic.Uint64
	guard      *pauseGuard
	// vms is the VM list that was last passed to the receiver.
	vms atomic.Pointer[topology.VMView]

	sections map[string]cachedSection
	checker  servicedoc.IncrementalChecker
}

// inbound is a message of an agent with the connection on which it arrived.
type inbound struct {
	peer *wire.Peer
	env  *wire.Envelope
}

// cachedSection is the text of a section version of the last fetched manifest.
type cachedSection struct {
	editID string
	text   []byte
}

// New returns a link that is not connected yet.
func New(proc *telemetry.Process, addr string, receiver Receiver) *Link {
	l := &Link{
		proc: proc, addr: addr, receiver: receiver,
		messages: make(chan inbound, messageQueueSize), sections: make(map[string]cachedSection),
	}
	l.links = wire.NewLinks(proc.Self, proc.WireOptions(l.handle))
	l.links.RedialMax = agentRedialMax
	l.guard = newPauseGuard(l)
	return l
}

// handle runs on the connection's reader, which must not block. A message is dropped
// when the queue is full: the agent repeats its generation each second.
func (l *Link) handle(p *wire.Peer, env *wire.Envelope) {
	select {
	case l.messages <- inbound{peer: p, env: env}:
	default:
		klog.InfoS("Dropped a message from the agent: the queue is full", "kind", env.Kind)
	}
}

// Run connects to the agent and processes its messages until the context is cancelled.
func (l *Link) Run(ctx context.Context) {
	l.links.Set(ctx, []string{l.addr})
	go l.guard.run(ctx)
	go l.followFallbackAgents(ctx)
	for {
		select {
		case in := <-l.messages:
			l.process(ctx, in)
		case <-ctx.Done():
			return
		}
	}
}

// MayAccept reports whether new work may be accepted. It is false after a pause of
// the process until the agent has confirmed the generation, for at most 1 s.
func (l *Link) MayAccept() bool { return l.guard.mayAccept() }

// SinceLastOffer returns the time since the VM's agent last offered its generation.
func (l *Link) SinceLastOffer() time.Duration {
	return l.proc.Now() - time.Duration(l.lastOffer.Load())
}

// Send sends a message without a reply to the agent. Without a connection the message
// is dropped.
func (l *Link) Send(kind wire.Kind, body any) {
	peer := l.links.Get(l.addr)
	if peer == nil {
		return
	}
	if err := peer.Notify(kind, body); err != nil {
		klog.ErrorS(err, "Cannot encode a message to the agent")
	}
}

// Call sends a request to the agent and decodes its answer.
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

func (l *Link) process(ctx context.Context, in inbound) {
	switch in.env.Kind {
	case wire.KindConfigOffer:
		l.handleOffer(ctx, in)
	case wire.KindVMView:
		var msg message.VMView
		if l.decode(in.env, &msg) && l.updateVMs(msg.View) {
			l.receiver.SetVMs(ctx, msg.View)
		}
	case wire.KindLossReport:
		l.receiver.HandleLossReport(in.env)
	}
}

// handleOffer applies the configuration of an offered manifest if its generation is
// newer than the active one.
func (l *Link) handleOffer(ctx context.Context, in inbound) {
	var m confsync.Manifest
	if !l.decode(in.env, &m) || m.Generation < l.generation.Load() {
		return
	}
	if in.peer.Remote.VM == l.proc.Self.VM {
		l.lastOffer.Store(int64(l.proc.Now()))
	}
	if m.Generation == l.generation.Load() {
		return
	}
	sections, ok := l.fetchSections(ctx, in.peer, m)
	if !ok {
		return
	}
	t, problems := l.checker.Check(sections)
	if len(problems) > 0 {
		klog.ErrorS(problems.Err(), "The agent offered a configuration that failed the check", "generation", m.Generation)
		return
	}
	t.Generation = m.Generation
	l.receiver.SetTopology(ctx, t)
	l.generation.Store(m.Generation)
}

// fetchSections returns all sections of a manifest. It fetches only those that
// changed since the last one.
func (l *Link) fetchSections(ctx context.Context, peer *wire.Peer, m confsync.Manifest) ([]servicedoc.Section, bool) {
	next := make(map[string]cachedSection, len(m.Sections))
	out := make([]servicedoc.Section, 0, len(m.Sections))
	for _, ref := range m.Sections {
		cached, ok := l.sections[ref.Name]
		if !ok || cached.editID != ref.EditID {
			text, err := l.fetchSection(ctx, peer, ref)
			if err != nil {
				klog.ErrorS(err, "Cannot fetch a section", "section", ref.Name)
				return nil, false
			}
			cached = cachedSection{editID: ref.EditID, text: text}
		}
		next[ref.Name] = cached
		out = append(out, servicedoc.Section{Name: ref.Name, Text: cached.text})
	}
	l.sections = next
	return out, true
}

func (l *Link) fetchSection(ctx context.Context, peer *wire.Peer, ref confsync.SectionRef) ([]byte, error) {
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
	return verifySection(push, ref)
}

func (l *Link) decode(env *wire.Envelope, into any) bool {
	if err := wire.DecodeBody(env, into); err != nil {
		klog.ErrorS(err, "Cannot decode a message from the agent")
		return false
	}
	return true
}
