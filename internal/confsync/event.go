package confsync

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Event is an input of Step.
type Event interface{ event() }

// Tick runs the timers. The agent passes one to Step at least every 250 ms.
type Tick struct{}

// PeerJoined reports a VM that was added to the VM list, in any zone, or whose
// entry changed. It may be the agent's own VM.
type PeerJoined struct{ VM topology.VM }

// PeerLeft reports a VM that was removed from the VM list.
type PeerLeft struct{ VM topology.VMID }

// HeartbeatReceived is a heartbeat from a peer.
type HeartbeatReceived struct {
	From       topology.VMID `msgpack:"f"`
	Generation uint64        `msgpack:"g"`
	// StoreAge is the time since the newest read of the store that the peer
	// knows of, or StoreNeverRead.
	StoreAge time.Duration `msgpack:"s"`
	Request  ReplyRequest  `msgpack:"a"`
}

// ManifestReceived is a manifest from a peer.
type ManifestReceived struct {
	From     topology.VMID `msgpack:"f"`
	Manifest Manifest      `msgpack:"m"`
}

// StoreRead is the result of a poll or of a watch. OK is false if the read
// failed. A store without a manifest gives generation 0. A watch reports at
// least once a second while the store replies, even without a change, and stops
// when it reports a failure. A reply that was read more than 1.5 s after its
// request may be stale and is reported as a failure.
type StoreRead struct {
	Manifest Manifest
	OK       bool
}

// SectionReceived is the text of a section version. Text must not be modified
// afterwards.
type SectionReceived struct {
	Name   string
	EditID string
	Text   []byte
}

// FetchFailed reports a fetch that returned no text.
type FetchFailed struct {
	// From is empty for the store.
	From   topology.VMID
	Name   string
	EditID string
}

// ActivationResult reports whether the generation of an Activate action passed
// the check of the service document and is now active.
type ActivationResult struct {
	Generation uint64
	OK         bool
}

func (Tick) event()              {}
func (PeerJoined) event()        {}
func (PeerLeft) event()          {}
func (HeartbeatReceived) event() {}
func (ManifestReceived) event()  {}
func (StoreRead) event()         {}
func (SectionReceived) event()   {}
func (FetchFailed) event()       {}
func (ActivationResult) event()  {}
