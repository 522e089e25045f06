package confsync

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Action is something that the agent has to do.
type Action interface{ action() }

// SendHeartbeat sends the agent's generation to a peer, which sees it as Heard.
type SendHeartbeat struct {
	To         topology.VMID
	Generation uint64
	StoreAge   time.Duration
	Request    ReplyRequest
}

// SendManifest sends a manifest to a peer.
type SendManifest struct {
	To       topology.VMID
	Manifest Manifest
}

// FetchSection gets the text of a section version from a peer, or from the store when
// From is empty.
type FetchSection struct {
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

func (SendHeartbeat) action() {}
func (SendManifest) action()  {}
func (FetchSection) action()  {}
func (Activate) action()      {}
func (WatchStore) action()    {}
func (PollStore) action()     {}
