package confsync

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Event is something that happened to the agent.
type Event interface{ event() }

// Tick lets time pass; the agent sends one at least every 250 ms.
type Tick struct{}

// PeerJoined reports a live VM of any zone, or that its entry in the list
// changed. The agent's own VM may be among them.
type PeerJoined struct{ VM topology.VM }

// PeerLeft reports a VM that left the list or fell silent.
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

// ManifestReceived is a peer's manifest.
type ManifestReceived struct {
	From     topology.VMID `msgpack:"f"`
	Manifest Manifest      `msgpack:"m"`
}

// StoreRead is the result of a poll or of a watch, with OK false when the
// store didn't answer. A store without a manifest gives generation 0. A watch
// reports at least once a second while the store answers, changed or not, and
// ends when it reports a failure. An answer that was read more than 1.5 s after
// its request may be old, and is reported as a failure.
type StoreRead struct {
	Manifest Manifest
	OK       bool
}

// SectionReceived is the text of a section version, which must not be changed
// afterwards.
type SectionReceived struct {
	Name   string
	EditID string
	Text   []byte
}

// FetchFailed reports a fetch that gave no text.
type FetchFailed struct {
	// From is empty for the store.
	From   topology.VMID
	Name   string
	EditID string
}

// ActivationResult reports whether an activated generation passed the check of the
// service document and is in force.
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
