package confsync

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Action is an operation that Step requests from the agent.
type Action interface{ action() }

// SendHeartbeat sends the agent's complete generation to a peer, which receives
// it as HeartbeatReceived.
type SendHeartbeat struct {
	To         topology.VMID
	Generation uint64
	StoreAge   time.Duration
	Request    ReplyRequest
}

// SendManifest sends a manifest to a peer, which receives it as
// ManifestReceived.
type SendManifest struct {
	To       topology.VMID
	Manifest Manifest
}

// FetchSection requests the text of a section version from a peer, or from the
// store when From is empty.
type FetchSection struct {
	From   topology.VMID
	Name   string
	EditID string
}

// Activate checks a complete generation and makes it the active one. Successive
// Activate actions have increasing generations and must be executed in order.
type Activate struct {
	Manifest Manifest
	Sections []servicedoc.Section
}

// WatchStore starts or stops the watch of the manifest. Starting a running
// watch restarts it.
type WatchStore struct{ On bool }

// PollStore reads the manifest from the store once.
type PollStore struct{}

func (SendHeartbeat) action() {}
func (SendManifest) action()  {}
func (FetchSection) action()  {}
func (Activate) action()      {}
func (WatchStore) action()    {}
func (PollStore) action()     {}
