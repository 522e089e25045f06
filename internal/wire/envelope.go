package wire

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Envelope is the content of one frame. Its tags state the format, which
// envelope_codec.go writes and reads without reflection.
type Envelope struct {
	// ID matches a reply to its call; 0 for messages without a reply.
	ID       uint64             `msgpack:"i"`
	Kind     Kind               `msgpack:"k"`
	Reply    bool               `msgpack:"r,omitempty"`
	Shard    string             `msgpack:"s,omitempty"`
	Snapshot topology.Snapshot  `msgpack:"v"`
	Clock    timeline.Stamp     `msgpack:"c"`
	Body     msgpack.RawMessage `msgpack:"b,omitempty"`
}

// matches reports whether e answers the call that sent the request.
func (e *Envelope) matches(request *Envelope) bool {
	return e.ID == request.ID && e.Shard == request.Shard && e.Snapshot == request.Snapshot
}
