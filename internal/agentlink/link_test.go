package agentlink

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const zonesText = "kind = \"zones\"\n[[zone]]\nname = \"z\"\nregion = \"r\"\nstate = \"in\"\n"

// absenceWait is how long a test waits to show that something does not happen.
const absenceWait = 30 * time.Millisecond

// sectionTexts holds the texts of the agents' sections by edit ID. No agent has the
// edit ID "absent".
var sectionTexts = map[string]string{"good": zonesText, "invalid": "kind = 1", "other hash": zonesText + "# changed\n"}

// fakeAgent answers fetches of sections. Tests send the offers and confirmations.
type fakeAgent struct {
	vm       topology.VM
	peers    chan *wire.Peer
	confirms chan func(generation uint64)
}

func newFakeAgent(t *testing.T, vm topology.VMID, zone topology.Zone) *fakeAgent {
	a := &fakeAgent{peers: make(chan *wire.Peer, 10), confirms: make(chan func(uint64), 10)}
	proc := telemetry.NewProcess(vm, zone, wire.RoleAgent)
	server := wire.NewServer(proc.Self, proc.WireOptions(a.handle))
	server.OnPeer = func(p *wire.Peer) { a.peers <- p }
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(context.Background(), ln) }()
	t.Cleanup(func() { _ = ln.Close(); server.Close() })
	a.vm = topology.VM{ID: vm, Zone: zone, AgentAddress: ln.Addr().String()}
	return a
}

func (a *fakeAgent) handle(p *wire.Peer, env *wire.Envelope) {
	switch env.Kind {
	case wire.KindConfigFetch:
		var f message.ConfigFetch
		_ = wire.DecodeBody(env, &f)
		text, ok := sectionTexts[f.EditID]
		_ = p.Reply(env, wire.KindConfigPush, message.ConfigPush{Section: f.Section, EditID: f.EditID, Found: ok, Text: []byte(text)})
	case wire.KindConfirm:
		a.confirms <- func(g uint64) { _ = p.Reply(env, wire.KindConfirm, message.Confirmed{Generation: g}) }
	}
}

func offer(p *wire.Peer, generation uint64, editID string) {
	text := sectionTexts[editID]
	if editID == "other hash" {
		text = zonesText
	}
	_ = p.Notify(wire.KindConfigOffer, confsync.Manifest{Generation: generation, Sections: []confsync.SectionRef{
		{Name: "zones", EditID: editID, Hash: confsync.HashText([]byte(text))},
	}})
}

// receiver sends the generations and VM list versions that it receives to channels.
type receiver struct{ generations, views chan uint64 }

func (r receiver) SetTopology(_ context.Context, t *topology.Topology) { r.generations <- t.Generation }
func (r receiver) SetVMs(_ context.Context, v topology.VMView)         { r.views <- v.Version }
func (r receiver) HandleLossReport(*wire.Envelope)                     {}

// newLink returns a link to an agent. The link does not run yet.
func newLink(t *testing.T, a *fakeAgent) (*Link, receiver, context.Context) {
	r := receiver{generations: make(chan uint64, 10), views: make(chan uint64, 10)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return New(telemetry.NewProcess("vm-1", "z", wire.RoleRelay), a.vm.AgentAddress, r), r, ctx
}

// Guards against a process that applies an older configuration or VM list than
// before, or a configuration that is incomplete or invalid.
func TestGenerationsOnlyRise(t *testing.T) {
	type offered struct {
		generation uint64
		editID     string
	}
	rows := []struct {
		name   string
		offers []offered
		want   []uint64
	}{
		{"rising", []offered{{5, "good"}, {6, "good"}}, []uint64{5, 6, 9}},
		{"older and repeated", []offered{{5, "good"}, {3, "good"}, {5, "good"}}, []uint64{5, 9}},
		{"not held by the agent", []offered{{5, "good"}, {6, "absent"}}, []uint64{5, 9}},
		{"text of another version", []offered{{5, "good"}, {6, "other hash"}}, []uint64{5, 9}},
		{"invalid", []offered{{5, "good"}, {6, "invalid"}, {5, "good"}}, []uint64{5, 9}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			a := newFakeAgent(t, "vm-1", "z")
			l, r, ctx := newLink(t, a)
			go l.Run(ctx)
			p := <-a.peers
			for _, o := range row.offers {
				offer(p, o.generation, o.editID)
			}
			offer(p, 9, "good")
			for _, want := range row.want {
				assert.Equal(t, <-r.generations, want)
			}
			for _, version := range []uint64{4, 3, 5} {
				_ = p.Notify(wire.KindVMView, message.VMView{View: topology.VMView{Version: version}})
			}
			assert.Equal(t, <-r.views, uint64(4))
			assert.Equal(t, <-r.views, uint64(5))
		})
	}
}

// Guards against a process that keeps an old configuration because its agent is
// unresponsive, and against one that still follows other agents when its own agent
// sends offers again.
func TestSilentAgentIsReplaced(t *testing.T) {
	own, far := newFakeAgent(t, "vm-1", "z"), newFakeAgent(t, "vm-4", "y")
	near := []*fakeAgent{newFakeAgent(t, "vm-2", "z"), newFakeAgent(t, "vm-3", "z")}
	l, r, ctx := newLink(t, own)
	go l.Run(ctx)
	p := <-own.peers
	_ = p.Notify(wire.KindVMView, message.VMView{View: topology.VMView{Version: 1, VMs: []topology.VM{own.vm, far.vm, near[0].vm, near[1].vm}}})
	offer(p, 1, "good")
	assert.Equal(t, <-r.generations, uint64(1))
	l.lastOffer.Store(int64(l.proc.Now() - agentTimeout))
	fallbacks := []*wire.Peer{<-near[0].peers, <-near[1].peers}
	offer(fallbacks[1], 2, "good")
	assert.Equal(t, <-r.generations, uint64(2))
	assert.Assert(t, l.SinceLastOffer() >= agentTimeout, "an offer of a fallback agent counts as one of the process's own agent")
	offer(p, 2, "good")
	<-fallbacks[0].Done()
	<-fallbacks[1].Done()
	assert.Equal(t, len(far.peers), 0, "more than two fallback agents are followed")
}

// Guards against work that is accepted after a pause of the process under a
// configuration that may be outdated.
func TestPausedProcessWaitsForConfirmation(t *testing.T) {
	pause := func(l *Link) {
		l.guard.mu.Lock()
		defer l.guard.mu.Unlock()
		l.guard.detector.Tick(l.proc.Now() - 3*time.Second)
	}
	rows := []struct {
		name string
		// meanwhile runs while the confirmation is pending.
		meanwhile func(l *Link, answer func(uint64), confirmed chan struct{})
		accepts   bool
	}{
		{"active generation", func(_ *Link, answer func(uint64), _ chan struct{}) { answer(5) }, true},
		{"newer generation", func(l *Link, answer func(uint64), confirmed chan struct{}) {
			answer(6)
			select {
			case <-confirmed:
				t.Error("confirmed before the generation is active")
			case <-time.After(absenceWait):
			}
			l.generation.Store(6)
		}, true},
		{"paused again", func(l *Link, answer func(uint64), _ chan struct{}) { pause(l); l.MayAccept(); answer(5) }, false},
		{"connection lost", func(l *Link, _ func(uint64), _ chan struct{}) { l.links.Get(l.addr).Close() }, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			a := newFakeAgent(t, "vm-1", "z")
			l, _, ctx := newLink(t, a)
			opened := make(chan *wire.Peer, 10)
			l.links.OnPeer = func(p *wire.Peer) { opened <- p }
			l.links.Set(ctx, []string{l.addr})
			<-opened
			l.generation.Store(5)
			assert.Assert(t, l.MayAccept())
			pause(l)
			assert.Assert(t, !l.MayAccept())
			confirmed := make(chan struct{})
			go func() { l.guard.confirm(ctx); close(confirmed) }()
			row.meanwhile(l, <-a.confirms, confirmed)
			<-confirmed
			assert.Equal(t, l.MayAccept(), row.accepts)
		})
	}
}
