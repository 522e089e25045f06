package confsync

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Action is something that the agent has to do.
type Action interface{ action() }

// Heartbeat sends the agent's generation to a peer, which sees it as Heard.
type Heartbeat struct {
	To         topology.VMID
	Generation uint64
	StoreAge   time.Duration
	Ask        Ask
}

// Offer sends a manifest to a peer.
type Offer struct {
	To       topology.VMID
	Manifest Manifest
}

// Fetch gets the text of a section version from a peer, or from the store when
// From is empty.
type Fetch struct {
	From   topology.VMID
	Name   string
	EditID string
}

// Activate checks a complete generation and puts it in force. Generations of
// successive actions rise, and the agent carries them out in order.
type Activate struct {
	Manifest Manifest
	Sections []servicedoc.Section
}

// WatchStore starts or ends the watch of the manifest. Starting it while it
// runs restarts it.
type WatchStore struct{ On bool }

// PollStore reads the manifest once.
type PollStore struct{}

func (Heartbeat) action()  {}
func (Offer) action()      {}
func (Fetch) action()      {}
func (Activate) action()   {}
func (WatchStore) action() {}
func (PollStore) action()  {}
