package confsync

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	benchSections = 120
	benchZones    = 9
	// benchSectionBytes makes a document of 10.5 MB, the size with 110,000 leaves.
	benchSectionBytes = 88_000
)

// benchManifest returns the manifest that follows last when one section is set
// to text.
func benchManifest(last Manifest, generation uint64, text []byte) Manifest {
	m := Manifest{Generation: generation, Sections: make([]SectionRef, benchSections), Edits: make([]Edit, MaxEdits)}
	copy(m.Sections, last.Sections)
	for i := range m.Edits {
		m.Edits[i] = Edit{Generation: generation, EditID: "0198f3a2-77aa-7c10-9d5b-3f1f6a0c2e11", Section: "index.finder.17", Team: "search", At: 1780000000000}
	}
	i := int(generation) % benchSections
	for j := range m.Sections {
		if j == i || last.Generation == 0 {
			m.Sections[j] = SectionRef{Name: fmt.Sprintf("index.finder-%03d", j), EditID: fmt.Sprintf("0198f3a2-77aa-7c10-9d5b-%012x", generation), Hash: HashText(text)}
		}
	}
	return m
}

// deliverSections replies to every fetch with text and reports whether the machine
// activated a generation.
func deliverSections(m *Machine, now time.Duration, actions []Action, text []byte) (activated bool) {
	for _, a := range actions {
		switch a := a.(type) {
		case FetchSection:
			activated = deliverSections(m, now, m.Step(now, SectionReceived{Name: a.Name, EditID: a.EditID, Text: text}), text) || activated
		case Activate:
			m.Step(now, ActivationResult{Generation: a.Manifest.Generation, OK: true})
			activated = true
		}
	}
	return activated
}

// benchPeers are the numbers of peers per agent: today, at ten times the size and
// at the design target.
var benchPeers = []int{8, 89, 2399}

// BenchmarkEdit measures how an agent handles one edit that eight peers announce,
// and then serves the manifest to two peers.
func BenchmarkEdit(b *testing.B) {
	for _, peers := range benchPeers {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) { benchmarkEdit(b, peers) })
	}
}

func benchmarkEdit(b *testing.B, peers int) {
	m := New(topology.VM{ID: "vm", Zone: "z0"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Duration(0)
	peer := func(i int) topology.VMID { return topology.VMID(fmt.Sprintf("vm-%04d", i%peers)) }
	for i := range peers {
		m.Step(now, PeerJoined{VM: topology.VM{ID: peer(i), Zone: topology.Zone(fmt.Sprintf("z%d", i%benchZones))}})
	}
	text := bytes.Repeat([]byte("x"), benchSectionBytes)
	manifest := benchManifest(Manifest{}, 1, text)
	now += maxStartWait
	deliverSections(m, now, m.Step(now, StoreRead{Manifest: manifest, OK: true}), text)
	b.ReportAllocs()
	for b.Loop() {
		now += heartbeatInterval
		manifest = benchManifest(manifest, manifest.Generation+1, text)
		from := int(manifest.Generation)
		for i := range pushFanout {
			m.Step(now, HeartbeatReceived{From: peer(from + i), Generation: manifest.Generation})
		}
		if !deliverSections(m, now, m.Step(now, ManifestReceived{From: peer(from), Manifest: manifest}), text) {
			b.Fatal("the edit is not activated")
		}
		for i := range 2 {
			m.Step(now, HeartbeatReceived{From: peer(from + 20 + i), Generation: manifest.Generation - 1, Request: RequestManifest})
		}
		m.Step(now, Tick{})
	}
	encoded, err := msgpack.Marshal(manifest)
	if err != nil {
		b.Fatal(err)
	}
	heartbeat, err := msgpack.Marshal(HeartbeatReceived{From: "vm-0001", Generation: 1 << 20, StoreAge: time.Second, Request: RequestManifest})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(encoded)), "manifest-bytes")
	b.ReportMetric(float64(len(encoded))/benchSections, "bytes/section")
	b.ReportMetric(float64(len(heartbeat)*heartbeatFanout), "heartbeat-bytes/s")
}

// BenchmarkTick measures one heartbeat interval.
func BenchmarkTick(b *testing.B) {
	for _, peers := range benchPeers {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) { benchmarkTick(b, peers) })
	}
}

func benchmarkTick(b *testing.B, peers int) {
	m := New(topology.VM{ID: "vm", Zone: "z0"}, rand.New(rand.NewPCG(1, 1)))
	for i := range peers {
		m.Step(0, PeerJoined{VM: topology.VM{ID: topology.VMID(fmt.Sprintf("vm-%04d", i)), Zone: topology.Zone(fmt.Sprintf("z%d", i%benchZones))}})
	}
	now := maxStartWait
	b.ReportAllocs()
	for b.Loop() {
		now += heartbeatInterval
		m.Step(now, Tick{})
	}
}
