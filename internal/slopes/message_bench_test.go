package slopes

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/medlarswitch/medlarswitch/internal/coldlease"
	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/quarantine"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// BenchmarkMessage encodes and decodes one message of each kind. The frame size
// includes the envelope and the length prefix, but no TCP headers.
func BenchmarkMessage(b *testing.B) {
	for _, kind := range []struct {
		name string
		body any
	}{
		{"ping", nil},
		{"heartbeat", message.Heartbeat{Generation: 1 << 20, StoreAge: time.Second, Request: 1, VMVersion: 1 << 20}},
		{"quarantine", quarantine.LossReport{Class: "finder", Fingerprint: 1 << 62, Origin: 1 << 62, Seq: 9, Remaining: time.Minute}},
		{"statuses=1", leafStatuses(1)},
		{"statuses=92", leafStatuses(leavesPerRelayAtTarget)},
		{"request", LeafRequest()},
		{"reply-hits=10", LeafReply(10)},
		{"reply-hits=100", LeafReply(100)},
		{"lease-request=1", coldlease.Request{Nonce: 1 << 20, ListVersion: 1 << 20, Leaves: []coldlease.RequestedLeaf{{Leaf: "finder-017-042-a", RunLimitMS: 2000}}}},
		{"lease-ack=1", coldlease.Ack{Nonce: 1 << 20, Requester: 1 << 62, ListVersion: 1 << 20, Leaves: []topology.LeafID{"finder-017-042-a"}}},
		{"section-fetch", message.ConfigFetch{Section: "index.finder-017", EditID: "0198f3a2-77aa-7c10-9d5b-3f1f6a0c2e11"}},
	} {
		b.Run(kind.name, func(b *testing.B) { benchmarkMessage(b, kind.body) })
	}
}

func benchmarkMessage(b *testing.B, body any) {
	size := 0
	for b.Loop() {
		size = len(mustFrame(b, body))
	}
	b.ReportMetric(float64(size), "frame-B")
}

// mustFrame encodes a message to the bytes that a peer writes and decodes its
// envelope again. Both use reflection.
func mustFrame(b *testing.B, body any) []byte {
	env := wire.Envelope{
		ID: 1 << 62, Kind: wire.KindPing, Shard: "finder-017-042",
		Snapshot: topology.Snapshot{IndexVersion: 1 << 20, PartitionGeneration: 3},
		Clock:    timeline.Stamp{WallNS: 1 << 60, Logical: 1},
	}
	if body == nil {
		env.ID, env.Shard, env.Snapshot = 0, "", topology.Snapshot{}
	} else {
		raw, err := wire.EncodeBody(body)
		if err != nil {
			b.Fatal(err)
		}
		env.Body = raw
	}
	payload, err := msgpack.Marshal(&env)
	if err != nil {
		b.Fatal(err)
	}
	var decoded wire.Envelope
	if err := msgpack.Unmarshal(payload, &decoded); err != nil {
		b.Fatal(err)
	}
	return append(make([]byte, 4, 4+len(payload)), payload...)
}

func leafStatuses(leaves int) []message.LeafStatus {
	out := make([]message.LeafStatus, leaves)
	for i := range out {
		out[i] = WarmLeafStatus(topology.LeafID(fmt.Sprintf("finder-%03d-%03d-a", i/170, i%170)))
	}
	return out
}

// BenchmarkLeafStatusDecode decodes the statuses of all leaves that one relay
// reports to an entry at the target size.
func BenchmarkLeafStatusDecode(b *testing.B) {
	body, err := wire.EncodeBody(leafStatuses(leavesPerRelayAtTarget))
	if err != nil {
		b.Fatal(err)
	}
	env := &wire.Envelope{Body: body}
	for b.Loop() {
		var statuses []message.LeafStatus
		if err := wire.DecodeBody(env, &statuses); err != nil || len(statuses) != leavesPerRelayAtTarget {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*leavesPerRelayAtTarget), "ns/leaf")
}

// BenchmarkManifest encodes and decodes the manifest, which an agent sends to its
// peers on an edit and to the processes of its VM each second.
func BenchmarkManifest(b *testing.B) {
	for _, s := range Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			manifest := newManifest(s)
			size := 0
			for b.Loop() {
				body, err := wire.EncodeBody(manifest)
				if err != nil {
					b.Fatal(err)
				}
				var decoded confsync.Manifest
				if err := wire.DecodeBody(&wire.Envelope{Body: body}, &decoded); err != nil {
					b.Fatal(err)
				}
				size = len(body)
			}
			b.ReportMetric(float64(size), "manifest-B")
			b.ReportMetric(float64(DocumentBytes(Document(s)[1:2])), "section-B")
		})
	}
}

func newManifest(s Size) confsync.Manifest {
	manifest := confsync.Manifest{Generation: 1 << 20}
	for _, section := range Document(s) {
		manifest.Sections = append(manifest.Sections, confsync.SectionRef{
			Name: section.Name, EditID: "0198f3a2-77aa-7c10-9d5b-3f1f6a0c2e11", Hash: confsync.HashText(section.Text),
		})
	}
	for i := range confsync.MaxEdits {
		manifest.Edits = append(manifest.Edits, confsync.Edit{
			Generation: uint64(1<<20 - i), EditID: "0198f3a2-77aa-7c10-9d5b-3f1f6a0c2e11",
			Section: "index.finder-017", Team: "search", At: 1780000000000,
		})
	}
	return manifest
}

// BenchmarkEventLog measures the memory per event of a full event log, and the
// time to add an event.
func BenchmarkEventLog(b *testing.B) {
	for _, size := range []int{1_000, 16_384} {
		b.Run(fmt.Sprintf("events=%d", size), func(b *testing.B) {
			var log *timeline.Log
			addEvent := func(i int) {
				log.Add(timeline.KindLeafReply, fmt.Sprintf("vm-00017-3fa4c1d2e5b60798-%d", i), fmt.Sprintf("finder-017-%03d-a", i), "4.123ms")
			}
			retained := HeapBytes(func() any {
				log = timeline.NewLog(timeline.NewClock(time.Now), size)
				for i := range size {
					addEvent(i)
				}
				return log
			})
			i := 0
			for b.Loop() {
				i++
				addEvent(i)
			}
			b.ReportMetric(retained/float64(size), "heap-B/event")
		})
	}
}
