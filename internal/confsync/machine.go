package confsync

import (
	"math/rand/v2"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Machine is one agent's part in spreading configurations.
type Machine struct {
	self    topology.VM
	rnd     *rand.Rand
	now     time.Duration
	actions []Action

	peers peerSet
	start startState
	store storeState

	// complete is the newest complete generation. It is what peers get.
	complete Manifest
	// activeGeneration is the newest held generation that passed the check.
	activeGeneration uint64
	// texts are the sections of held and target. A text gets in only with the
	// hash of its reference.
	texts map[SectionRef][]byte

	// target is a newer generation whose sections are being fetched.
	target       Manifest
	targetSource topology.VMID
	fetches      map[SectionRef]*sectionFetch

	lastRequest   manifestRequest
	nextHeartbeat time.Duration
}

// manifestRequest is the last request for a manifest.
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

// ActiveGeneration returns the generation in force, 0 for none.
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

// Step takes an event in and returns what to do. Time never goes back.
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

func (m *Machine) sendHeartbeat(to topology.VMID, ask ReplyRequest) {
	m.emit(SendHeartbeat{To: to, Generation: m.complete.Generation, StoreAge: m.store.readAge(m.now), Request: ask})
}

// knownGeneration returns the newest generation whose manifest is here.
func (m *Machine) knownGeneration() uint64 { return max(m.complete.Generation, m.target.Generation) }
