package confsync

import (
	"math/rand/v2"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Machine is one agent's part in spreading configurations.
type Machine struct {
	self topology.VM
	rnd  *rand.Rand
	now  time.Duration
	out  []Action

	peers peerSet
	start starting
	store storeState

	// held is the newest complete generation. It is what peers get.
	held Manifest
	// inForce is the newest held generation that passed the check.
	inForce uint64
	// texts are the sections of held and target. A text gets in only with the
	// hash of its reference.
	texts map[SectionRef][]byte

	// target is a newer generation whose sections are being fetched.
	target  Manifest
	origin  topology.VMID
	fetches map[SectionRef]*fetch

	asked    asked
	nextBeat time.Duration
}

// asked is the last request for a manifest.
type asked struct {
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
		fetches: map[SectionRef]*fetch{},
	}
}

// ActiveGeneration returns the generation in force, 0 for none.
func (m *Machine) ActiveGeneration() uint64 { return m.inForce }

// CompleteManifest returns the newest complete manifest, for status reports.
func (m *Machine) CompleteManifest() Manifest { return m.held }

// Section returns the text of a section version for a peer that fetches it.
func (m *Machine) Section(name, editID string) ([]byte, bool) {
	for _, manifest := range []Manifest{m.held, m.target} {
		if ref, ok := manifest.Find(name); ok && ref.EditID == editID {
			text, ok := m.texts[ref]
			return text, ok
		}
	}
	return nil, false
}

// Step takes an event in and returns what to do. Time never goes back.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.now, m.out = now, nil
	m.begin()
	m.take(ev)
	m.gather()
	m.fetch()
	m.activate()
	return m.out
}

func (m *Machine) take(ev Event) {
	switch e := ev.(type) {
	case Tick:
		m.beat()
		m.readStore()
	case PeerJoined:
		m.joined(e.VM)
	case PeerLeft:
		m.left(e.VM)
	case HeartbeatReceived:
		m.heard(e)
	case ManifestReceived:
		m.offered(e)
	case StoreRead:
		m.storeRead(e)
	case SectionReceived:
		m.arrived(e)
	case FetchFailed:
		m.failed(e)
	case ActivationResult:
		m.checked(e)
	}
}

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

func (m *Machine) send(to topology.VMID, ask ReplyRequest) {
	m.do(SendHeartbeat{To: to, Generation: m.held.Generation, StoreAge: m.store.age(m.now), Request: ask})
}

// known returns the newest generation whose manifest is here.
func (m *Machine) known() uint64 { return max(m.held.Generation, m.target.Generation) }
