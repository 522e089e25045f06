package message

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// SubmitForward forwards a submit to the VM that issued its ticket.
type SubmitForward struct {
	Ticket   string           `msgpack:"t"`
	Class    topology.ClassID `msgpack:"c"`
	Shard    topology.ShardID `msgpack:"s"`
	Payload  []byte           `msgpack:"p"`
	Deadline time.Duration    `msgpack:"d"`
}

// BeginForward asks another entry to issue a ticket on behalf of an entry that
// is about to stop.
type BeginForward struct {
	Class topology.ClassID `msgpack:"c"`
}

// BeginAnswer is the reply to a BeginForward: a ticket, or a failure if none
// was issued.
type BeginAnswer struct {
	Ticket   string        `msgpack:"t"`
	Lifetime time.Duration `msgpack:"l"`
	Failure  *Failure      `msgpack:"f,omitempty"`
}

// SubmitAnswer carries the outcome of a submit.
type SubmitAnswer struct {
	// Outcome is a value of submit.Kind as a number.
	Outcome   uint8       `msgpack:"o"`
	Result    []byte      `msgpack:"r,omitempty"`
	Reason    errs.Reason `msgpack:"e,omitempty"`
	Repeated  bool        `msgpack:"p"`
	RequestID string      `msgpack:"q"`
	// Failure is set, without an outcome, for an invalid submit.
	Failure *Failure `msgpack:"f,omitempty"`
}
