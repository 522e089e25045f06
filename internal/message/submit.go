package message

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// SubmitForward hands a submit to the VM that issued its ticket.
type SubmitForward struct {
	Ticket   string           `msgpack:"t"`
	Class    topology.ClassID `msgpack:"c"`
	Shard    topology.ShardID `msgpack:"s"`
	Payload  []byte           `msgpack:"p"`
	Deadline time.Duration    `msgpack:"d"`
}

// SubmitAnswer is the outcome of a submit.
type SubmitAnswer struct {
	// Outcome is a value of submit.Kind.
	Outcome   uint8       `msgpack:"o"`
	Result    []byte      `msgpack:"r,omitempty"`
	Reason    errs.Reason `msgpack:"e,omitempty"`
	Repeated  bool        `msgpack:"p"`
	RequestID string      `msgpack:"q"`
	Failure   *Failure    `msgpack:"f,omitempty"`
}
