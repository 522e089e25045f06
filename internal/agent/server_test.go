package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/coldlease"
	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/platform"
	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
	"github.com/medlarswitch/medlarswitch/internal/standin"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// absenceWait is how long a test waits to show that something does not happen.
const absenceWait = 30 * time.Millisecond

// countedStore is a store that sends the key of each read to a channel.
type countedStore struct {
	*standin.Store
	reads chan string
}

func (s countedStore) Get(ctx context.Context, req *connect.Request[medlarv1.GetRequest]) (*connect.Response[medlarv1.GetResponse], error) {
	s.reads <- req.Msg.GetKey()
	return s.Store.Get(ctx, req)
}

// testAgent is an agent whose loops do not run, with a connection from one process
// of its VM.
type testAgent struct {
	*Server
	store    countedStore
	process  *wire.Peer
	received chan *wire.Envelope
}

func newTestAgent(t *testing.T) *testAgent {
	r := &testAgent{store: countedStore{standin.NewStore(), make(chan string, 100)}, received: make(chan *wire.Envelope, 100)}
	mux := http.NewServeMux()
	mux.Handle(medlarv1connect.NewObjectStoreHandler(r.store))
	server := httptest.NewServer(mux)
	self := topology.VM{ID: "vm-1", Zone: "z"}
	r.Server = NewServer(telemetry.NewProcess("vm-1", "z", wire.RoleAgent), Config{Self: self, Platform: server.URL})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = r.frames.Serve(context.Background(), ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	proc := telemetry.NewProcess("vm-1", "z", wire.RoleRelay)
	r.process, err = wire.NewPeer(context.Background(), conn, proc.Self, proc.WireOptions(func(_ *wire.Peer, env *wire.Envelope) { r.received <- env }))
	assert.NilError(t, err)
	t.Cleanup(func() { r.process.Close(); r.frames.Close(); _ = ln.Close(); server.Close() })
	assert.Equal(t, (<-r.received).Kind, wire.KindVMView)
	return r
}

// call sends a request from the process to the agent and decodes the answer.
func (r *testAgent) call(kind wire.Kind, body, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	env, err := r.process.Call(ctx, kind, "", topology.Snapshot{}, body)
	if err != nil {
		return err
	}
	return wire.DecodeBody(env, answer)
}

// Guards against an agent that sends its processes an invalid configuration, or a
// configuration or VM list that is older than the one before.
func TestProcessesHearRisingGenerations(t *testing.T) {
	const zones = "kind = \"zones\"\n[[zone]]\nname = \"z\"\nregion = \"r\"\nstate = \"in\"\n"
	r := newTestAgent(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.loop.runActivations(ctx)
	for _, row := range []struct {
		generation uint64
		text       string
	}{{3, zones}, {4, "kind = 1"}, {2, zones}, {3, zones}, {5, zones}} {
		r.loop.activations <- confsync.Activate{
			Manifest: confsync.Manifest{Generation: row.generation},
			Sections: []servicedoc.Section{{Name: "zones", Text: []byte(row.text)}},
		}
		checked := (<-r.loop.events).(confsync.ActivationResult)
		assert.Equal(t, checked, confsync.ActivationResult{Generation: row.generation, OK: row.text == zones})
	}
	for _, want := range []uint64{3, 5} {
		var m confsync.Manifest
		assert.NilError(t, wire.DecodeBody(<-r.received, &m))
		assert.Equal(t, m.Generation, want)
	}
	for _, version := range []uint64{4, 3, 5} {
		r.setVMs(topology.VMView{Version: version})
	}
	for _, want := range []uint64{4, 5} {
		var m message.VMView
		assert.NilError(t, wire.DecodeBody(<-r.received, &m))
		assert.Equal(t, m.View.Version, want)
	}
}

// Guards against an agent that was paused itself and confirms an outdated generation
// to a process of its VM.
func TestPausedAgentConfirmsTheStoresGeneration(t *testing.T) {
	r := newTestAgent(t)
	r.setManifest(confsync.Manifest{Generation: 5})
	r.pauses.detector.Tick(r.proc.Now() - 3*time.Second)
	assert.Assert(t, !r.pauses.mayConfirm())
	r.store.Faults().SetDown(true)
	r.pauses.refresh(context.Background(), r.proc.Now())
	assert.Assert(t, !r.pauses.mayConfirm(), "confirmed without the store")
	r.store.Faults().SetDown(false)
	value, err := confsync.Manifest{Generation: 6}.Encode()
	assert.NilError(t, err)
	_, err = r.platform.Put(context.Background(), platform.KeyManifest, value, 0)
	assert.NilError(t, err)
	<-r.store.reads
	refreshed, confirmed := make(chan struct{}), make(chan message.Confirmed, 1)
	go func() { r.pauses.refresh(context.Background(), r.proc.Now()); close(refreshed) }()
	go func() {
		var answer message.Confirmed
		_ = r.call(wire.KindConfirm, message.Confirm{}, &answer)
		confirmed <- answer
	}()
	<-r.store.reads
	select {
	case <-refreshed:
		t.Fatal("refreshed before the generation is active")
	case answer := <-confirmed:
		t.Fatalf("confirmed generation %d", answer.Generation)
	case <-time.After(absenceWait):
	}
	r.setManifest(confsync.Manifest{Generation: 6})
	<-refreshed
	assert.Equal(t, (<-confirmed).Generation, uint64(6))
}

// Guards against an answer on evictions that differs from what the store holds: a
// relay would send to a cold leaf without the consent of a VM that is not evicted.
func TestEvictionsAreThoseOfTheStore(t *testing.T) {
	held, requested := []coldlease.Eviction{{VM: "vm-2"}}, []coldlease.Eviction{{VM: "vm-3"}}
	rows := []struct {
		name      string
		ifVersion uint64
		fault     func(f *standin.StoreFaults)
		want      message.EvictionsAnswer
	}{
		{"written", 1, func(*standin.StoreFaults) {}, message.EvictionsAnswer{OK: true, Evictions: requested, Version: 2}},
		{"reply lost", 1, func(f *standin.StoreFaults) { f.LoseReplies(1) }, message.EvictionsAnswer{OK: true, Evictions: requested, Version: 2}},
		{"loses", 0, func(*standin.StoreFaults) {}, message.EvictionsAnswer{OK: true, Evictions: held, Version: 1}},
		{"store down", 1, func(f *standin.StoreFaults) { f.SetDown(true) }, message.EvictionsAnswer{}},
	}
	for _, row := range rows {
		r := newTestAgent(t)
		value, err := msgpack.Marshal(held)
		assert.NilError(t, err)
		_, err = r.platform.Put(context.Background(), platform.KeyEvictions("z"), value, 0)
		assert.NilError(t, err)
		row.fault(r.store.Faults())
		var answer message.EvictionsAnswer
		assert.NilError(t, r.call(wire.KindEvictions, message.EvictionsCall{Zone: "z", Replace: true, Evictions: requested, IfVersion: row.ifVersion}, &answer))
		assert.DeepEqual(t, answer, row.want)
	}
}
