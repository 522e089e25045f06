package leafspeed

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// Kind is a kind of finding.
type Kind uint8

// Kinds of findings. The values are part of the protocol between VMs.
const (
	// KindSlow reports that a leaf was slow.
	KindSlow Kind = iota
	// KindLimit reports the limit that a leaf stated, or that it stated none any more.
	KindLimit
)

// Finding is what a VM has found out about a leaf.
type Finding struct {
	Leaf fleet.LeafID `msgpack:"l"`
	Kind Kind         `msgpack:"k,omitempty"`
	// Slowness is the time of the leaf's requests divided by the expected time.
	Slowness float32 `msgpack:"s,omitempty"`
	// Limited is true if the leaf stated a limit. Limit is that limit, in requests per
	// second from all VMs together.
	Limited bool    `msgpack:"t,omitempty"`
	Limit   float64 `msgpack:"n,omitempty"`
	// Age is how long ago the finding was made. It is a duration because the clocks of
	// VMs differ.
	Age time.Duration `msgpack:"a"`
}
