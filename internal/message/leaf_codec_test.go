package message

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// These types have the tags and not the methods, so that msgpack encodes and
// decodes them by reflection.
type (
	taggedRequest LeafRequest
	taggedReply   LeafReply
)

func drawRequest(t *rapid.T) LeafRequest {
	return LeafRequest{
		Leaf: topology.LeafID(rapid.String().Draw(t, "leaf")), Op: Op(rapid.Uint8().Draw(t, "op")),
		RequestID: rapid.String().Draw(t, "id"), Class: topology.ClassID(rapid.String().Draw(t, "class")),
		Priority: rapid.Int().Draw(t, "priority"), Text: rapid.String().Draw(t, "text"),
		Payload: drawBytes(t, "payload"),
		StartBy: time.Duration(rapid.Int64().Draw(t, "start by")), Deadline: time.Duration(rapid.Int64().Draw(t, "deadline")),
	}
}

func drawReply(t *rapid.T) LeafReply {
	r := LeafReply{
		Leaf: topology.LeafID(rapid.String().Draw(t, "leaf")), Shard: topology.ShardID(rapid.String().Draw(t, "shard")),
		Snapshot: topology.Snapshot{IndexVersion: rapid.Uint64().Draw(t, "version"), PartitionGeneration: rapid.Uint64().Draw(t, "generation")},
		Result:   drawBytes(t, "result"), Crash: rapid.Bool().Draw(t, "crash"),
		RunTime: time.Duration(rapid.Int64().Draw(t, "run time")),
	}
	for range rapid.IntRange(0, 20).Draw(t, "hits") {
		r.Hits = append(r.Hits, Hit{Key: rapid.String().Draw(t, "key"), Score: rapid.Float64().Draw(t, "score")})
	}
	if rapid.Bool().Draw(t, "failed") {
		r.Failure = &Failure{
			Step: errs.Step(rapid.String().Draw(t, "step")), Peer: rapid.String().Draw(t, "peer"),
			Reason: errs.Reason(rapid.String().Draw(t, "reason")), NotRun: rapid.Bool().Draw(t, "not run"), Text: "text",
		}
	}
	return r
}

func drawBytes(t *rapid.T, label string) []byte {
	b := rapid.SliceOf(rapid.Byte()).Draw(t, label)
	if len(b) == 0 {
		return nil
	}
	return b
}

// Guards against a format that differs from the tags, which a process of
// another version would misread, and against a field that is lost: the
// failure's step and peer, the not-run flag, the shard and the snapshot.
func TestLeafMessagesHaveTheFormatOfTheirTags(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := drawRequest(t)
		tagged := taggedRequest(request)
		var gotRequest LeafRequest
		roundTrip(t, &request, &tagged, &gotRequest)
		assert.DeepEqual(t, gotRequest, request)

		reply := drawReply(t)
		taggedR := taggedReply(reply)
		var gotReply LeafReply
		roundTrip(t, &reply, &taggedR, &gotReply)
		assert.DeepEqual(t, gotReply, reply)
	})
}

func roundTrip(t *rapid.T, message, tagged, into any) {
	want, err := msgpack.Marshal(tagged)
	assert.NilError(t, err)
	got, err := msgpack.Marshal(message)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	assert.NilError(t, msgpack.Unmarshal(want, into))
}

// Guards against a message of a newer version, with a field unknown here, that
// is refused or misread.
func TestUnknownFieldsOfLeafMessagesAreSkipped(t *testing.T) {
	raw, err := msgpack.Marshal(map[string]any{
		"new": []int{1, 2}, "l": "leaf", "n": map[string]any{"new": "x", "i": 4},
		"i": []any{map[string]any{"new": 1, "k": "a"}, nil},
	})
	assert.NilError(t, err)
	var reply LeafReply
	assert.NilError(t, msgpack.Unmarshal(raw, &reply))
	assert.DeepEqual(t, reply, LeafReply{Leaf: "leaf", Snapshot: topology.Snapshot{IndexVersion: 4}, Hits: []Hit{{Key: "a"}, {}}})

	raw, err = msgpack.Marshal(map[string]any{"new": map[string]int{"l": 1}, "l": "leaf", "s": 5})
	assert.NilError(t, err)
	var request LeafRequest
	assert.NilError(t, msgpack.Unmarshal(raw, &request))
	assert.DeepEqual(t, request, LeafRequest{Leaf: "leaf", StartBy: 5})
}

// Guards against a field of a wrong type that is taken for zero.
func TestWrongFieldTypesOfLeafMessagesAreRefused(t *testing.T) {
	for _, fields := range []map[string]any{
		{"l": 1}, {"h": 1}, {"n": "x"}, {"n": map[string]any{"i": "x"}}, {"i": "x"}, {"i": []any{1}},
		{"i": []any{map[string]any{"s": "x"}}}, {"r": 1}, {"f": "x"}, {"x": "x"}, {"t": "x"},
	} {
		raw, err := msgpack.Marshal(fields)
		assert.NilError(t, err)
		assert.Assert(t, msgpack.Unmarshal(raw, new(LeafReply)) != nil, "%v", fields)
	}
	for _, fields := range []map[string]any{
		{"l": 1}, {"o": "x"}, {"q": 1}, {"c": 1}, {"p": "x"}, {"t": 1}, {"y": 1}, {"s": "x"}, {"d": "x"},
	} {
		raw, err := msgpack.Marshal(fields)
		assert.NilError(t, err)
		assert.Assert(t, msgpack.Unmarshal(raw, new(LeafRequest)) != nil, "%v", fields)
	}
}
