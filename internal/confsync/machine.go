package confsync

import (
	"math/rand/v2"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Machine is the protocol state of one agent.
type Machine struct {
	self    topology.VM
	rnd     *rand.Rand
	now     time.Duration
	actions []Action

	peers peerSet
	start startState
	store storeState

	// complete is the manifest of the newest generation whose sections have all
	// been received. Peers are served from it.
	complete Manifest
	// activeGeneration is the newest complete generation that passed the check.
	activeGeneration uint64
	// texts are the sections of complete and target. A text is added only if
	// its hash matches its reference.
	texts map[SectionRef][]byte

	// target is a newer generation whose sections are being fetched.
	target Manifest
	// targetSource is the peer that sent target, empty for the store.
	targetSource topology.VMID
	fetches      map[SectionRef]*sectionFetch

	lastRequest   manifestRequest
	nextHeartbeat time.Duration
}

// manifestRequest is the last request for a manifest that was sent to a peer.
type manifestRequest struct {
	generation uint64
	at         time.Duration
}

// New returns the machine of a VM that has just started. The random source
// selects peers and spreads retries.
func New(self topology.VM, rnd *rand.Rand) *Machine {
	return &Machine{
		self: self, rnd: rnd,
		peers:   peerSet{byID: map[topology.VMID]*peer{}},
		texts:   map[SectionRef][]byte{},
		fetches: map[SectionRef]*sectionFetch{},
	}
}

// ActiveGeneration returns the newest generation that passed the check, 0 for
// none.
func (m *Machine) ActiveGeneration() uint64 { return m.activeGeneration }

// CompleteManifest returns the newest complete manifest, for status reports.
func (m *Machine) CompleteManifest() Manifest { return m.complete }

// Section returns the text of a section version for a peer that fetches it.
func (m *Machine) Section(name, editID string) ([]byte, bool) {
	for _, manifest := range []Manifest{m.complete, m.target} {
		if ref, ok := manifest.Find(name); ok && ref.EditID == editID {
			text, ok := m.texts[ref]
			return text, ok
		}
	}
	return nil, false
}

// Step handles an event and returns the actions to execute. now must not
// decrease between calls.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.now, m.actions = now, nil
	m.recordStart()
	m.handle(ev)
	m.finishStart()
	m.fetchMissing()
	m.activateTarget()
	return m.actions
}

func (m *Machine) handle(ev Event) {
	switch e := ev.(type) {
	case Tick:
		m.sendHeartbeats()
		m.readStoreIfDue()
	case PeerJoined:
		m.handlePeerJoined(e.VM)
	case PeerLeft:
		m.handlePeerLeft(e.VM)
	case HeartbeatReceived:
		m.handleHeartbeat(e)
	case ManifestReceived:
		m.handleManifest(e)
	case StoreRead:
		m.handleStoreRead(e)
	case SectionReceived:
		m.handleSection(e)
	case FetchFailed:
		m.handleFetchFailed(e)
	case ActivationResult:
		m.handleActivationResult(e)
	}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) sendHeartbeat(to topology.VMID, request ReplyRequest) {
	m.emit(SendHeartbeat{To: to, Generation: m.complete.Generation, StoreAge: m.store.readAge(m.now), Request: request})
}

// knownGeneration returns the newest generation whose manifest has been received.
func (m *Machine) knownGeneration() uint64 { return max(m.complete.Generation, m.target.Generation) }
