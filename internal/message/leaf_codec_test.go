package message

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// These types have the struct tags but not the methods, so that msgpack encodes
// and decodes them by reflection.
type (
	taggedRequest LeafRequest
	taggedReply   LeafReply
)

// Guards against an encoding that differs from the struct tags, which a process
// of another version would misread, and against a field that the hand-written
// methods omit, as happened with Repeat. All fields are drawn by reflection.
func TestLeafMessagesMatchReflectionEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := rapid.Make[LeafRequest]().Draw(t, "request")
		var gotRequest LeafRequest
		raw := encode(t, request)
		assert.DeepEqual(t, raw, encode(t, taggedRequest(request)))
		assert.NilError(t, msgpack.Unmarshal(raw, &gotRequest))
		assert.DeepEqual(t, encode(t, taggedRequest(gotRequest)), raw)

		reply := rapid.Make[LeafReply]().Draw(t, "reply")
		var gotReply LeafReply
		raw = encode(t, reply)
		assert.DeepEqual(t, raw, encode(t, taggedReply(reply)))
		assert.NilError(t, msgpack.Unmarshal(raw, &gotReply))
		assert.DeepEqual(t, encode(t, taggedReply(gotReply)), raw)
	})
}

func encode(t *rapid.T, message any) []byte {
	raw, err := msgpack.Marshal(message)
	assert.NilError(t, err)
	return raw
}

// Guards against refusing or misreading a message of a newer version that has
// an unknown field.
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

// Guards against decoding a field of the wrong type as zero.
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
		{"l": 1}, {"o": "x"}, {"q": 1}, {"c": 1}, {"p": "x"}, {"r": 1}, {"t": 1}, {"y": 1}, {"s": "x"}, {"d": "x"},
	} {
		raw, err := msgpack.Marshal(fields)
		assert.NilError(t, err)
		assert.Assert(t, msgpack.Unmarshal(raw, new(LeafRequest)) != nil, "%v", fields)
	}
}
