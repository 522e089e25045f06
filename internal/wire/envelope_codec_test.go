package wire

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

func drawEnvelope(t *rapid.T) *Envelope {
	env := &Envelope{
		ID: rapid.Uint64().Draw(t, "id"), Kind: Kind(rapid.Uint8().Draw(t, "kind")),
		Reply: rapid.Bool().Draw(t, "reply"), Shard: rapid.String().Draw(t, "shard"),
		Snapshot: topology.Snapshot{
			IndexVersion: rapid.Uint64().Draw(t, "version"), PartitionGeneration: rapid.Uint64().Draw(t, "generation"),
		},
		Clock: timeline.Stamp{WallNS: rapid.Int64().Draw(t, "wall"), Logical: rapid.Uint32().Draw(t, "logical")},
	}
	if rapid.Bool().Draw(t, "has body") {
		raw, err := msgpack.Marshal(rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.Int64())).Draw(t, "body"))
		if err != nil {
			t.Fatal(err)
		}
		env.Body = raw
	}
	return env
}

// Guards against an encoding that differs from the struct tags of Envelope,
// which a process of another version would misread, and against a frame that
// contains bytes of the previous frame in the reused buffer.
func TestEnvelopeMatchesReflectionEncoding(t *testing.T) {
	frames := newFrameEncoder()
	rapid.Check(t, func(t *rapid.T) {
		env := drawEnvelope(t)
		want, err := msgpack.Marshal(env)
		assert.NilError(t, err)
		frame, err := frames.encode(env)
		assert.NilError(t, err)
		assert.DeepEqual(t, frame, withLengthPrefix(want))
		assert.NilError(t, checkStructure(want))
		got, err := decodeEnvelope(want)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, env)
	})
}

// Guards against refusing or misreading a message of a newer version that has
// an unknown field.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	payload, err := msgpack.Marshal(map[string]any{
		"new": []any{map[string]int{"i": 5}}, "i": 7, "k": KindLeafReply, "b": "body",
		"v": map[string]any{"i": 3, "new": "x"}, "c": map[string]any{"new": 1.5, "l": 2},
	})
	assert.NilError(t, err)
	env, err := decodeEnvelope(payload)
	assert.NilError(t, err)
	assert.DeepEqual(t, env, &Envelope{
		ID: 7, Kind: KindLeafReply, Snapshot: topology.Snapshot{IndexVersion: 3},
		Clock: timeline.Stamp{Logical: 2}, Body: msgpack.RawMessage("\xa4body"),
	})
}

// Guards against decoding a field of the wrong type as zero.
func TestWrongFieldTypesAreRefused(t *testing.T) {
	for _, fields := range []map[string]any{
		{"i": "x"}, {"k": "x"}, {"r": "x"}, {"s": 1}, {"v": "x"}, {"c": "x"},
		{"v": map[string]any{"i": "x"}}, {"v": map[string]any{"p": "x"}},
		{"c": map[string]any{"w": "x"}}, {"c": map[string]any{"l": "x"}},
	} {
		payload, err := msgpack.Marshal(fields)
		assert.NilError(t, err)
		_, err = decodeEnvelope(payload)
		assert.Assert(t, err != nil, "%v", fields)
	}
	_, err := decodeEnvelope([]byte{0x93, 1, 2, 3})
	assert.Assert(t, err != nil)
}
