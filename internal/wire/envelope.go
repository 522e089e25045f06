package wire

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Envelope is the content of one frame. Its struct tags define the format, which
// envelope_codec.go encodes and decodes without reflection.
type Envelope struct {
	// ID matches a reply to its call. It is 0 for messages that get no reply.
	ID       uint64             `msgpack:"i"`
	Kind     Kind               `msgpack:"k"`
	Reply    bool               `msgpack:"r,omitempty"`
	Shard    string             `msgpack:"s,omitempty"`
	Snapshot topology.Snapshot  `msgpack:"v"`
	Clock    timeline.Stamp     `msgpack:"c"`
	Body     msgpack.RawMessage `msgpack:"b,omitempty"`
}

// matches reports whether e is the reply to the given request.
func (e *Envelope) matches(request *Envelope) bool {
	return e.ID == request.ID && e.Shard == request.Shard && e.Snapshot == request.Snapshot
}
