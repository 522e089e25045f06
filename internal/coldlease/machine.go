package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Machine manages the leases that one relay holds and the promises that it has
// made to other relays. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	nonce uint64

	// listVersion is the version of the VM list in use, 0 before the first list.
	listVersion uint64
	// listed is true while the list names this VM. firstListedVersion is the
	// version of the first such list, and firstListedAt when it was received.
	listed             bool
	firstListedVersion uint64
	firstListedAt      time.Duration
	peers              map[topology.VMID]*peer
	freeSlots          []int
	slotCount          int
	// lastUnlistedAt is the latest unlistedAt of the removed peers.
	lastUnlistedAt time.Duration

	leases       map[topology.LeafID]*leaseState
	inFlight     map[topology.LeafID]int
	promises     map[topology.LeafID]promise
	sentRequests []sentRequest
	// unreleased holds leaves whose lease was released while peers may still
	// have promises to this boot, and when the last of these promises expires.
	unreleased map[topology.LeafID]time.Duration
	// queuedReleases are the leaves whose promises the next request releases.
	queuedReleases map[topology.LeafID]struct{}

	// evictions maps each entry of the latest read to when it was first read.
	evictions        map[Eviction]time.Duration
	evictionsVersion uint64
	evictionsRead    bool
	evicted          bool

	// maxRunLimit is the largest run limit of any lease or promise so far.
	maxRunLimit time.Duration
	// nextSendAt is when the next lease request or release is due.
	nextSendAt time.Duration
	nextSweep  time.Duration
	lastStep   time.Duration
}

// New returns the machine of a process that has just started.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:            cfg,
		peers:          map[topology.VMID]*peer{},
		lastUnlistedAt: never,
		leases:         map[topology.LeafID]*leaseState{},
		inFlight:       map[topology.LeafID]int{},
		promises:       map[topology.LeafID]promise{},
		unreleased:     map[topology.LeafID]time.Duration{},
		queuedReleases: map[topology.LeafID]struct{}{},
		evictions:      map[Eviction]time.Duration{},
		nextSendAt:     forever,
		nextSweep:      cfg.StartedAt + cfg.Term,
		lastStep:       cfg.StartedAt,
	}
}

// Step applies an event and returns the actions that the shell has to perform.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.resetAfterPause(now)
	var out []Action
	switch ev := ev.(type) {
	case ViewChanged:
		m.viewChanged(now, ev)
	case Acquire:
		m.acquire(now, ev)
	case Release:
		m.release(now, ev.Leaf)
	case LeafRequestDispatched:
		m.inFlight[ev.Leaf]++
	case LeafRequestFinished:
		m.leafRequestFinished(now, ev.Leaf)
	case RequestReceived:
		out = m.requestReceived(now, ev)
	case AckReceived:
		m.ackReceived(now, ev)
	case EvictionsRead:
		m.evictionsReceived(now, ev)
	}
	out = m.sendRequests(now, out)
	m.sweep(now)
	return out
}

// NextWake returns when the shell has to send the next Tick, and false if there
// is nothing to do without another event.
func (m *Machine) NextWake(now time.Duration) (time.Duration, bool) {
	wake := m.nextSendAt
	if len(m.promises) > 0 || len(m.unreleased) > 0 || len(m.sentRequests) > 0 {
		wake = min(wake, m.nextSweep)
	}
	return max(wake, now), wake < forever
}

// Held reports whether this relay may send requests to a cold leaf now. The
// start-by time of such a request must not be after until.
func (m *Machine) Held(now time.Duration, id topology.LeafID) (until time.Duration, ok bool) {
	l := m.leases[id]
	if l == nil {
		return 0, false
	}
	until = m.leaseExpiry(now, l) - ClockMargin
	return until, until > now
}

// FinishedBy returns the time by which a request without a reply can no longer
// run in the leaf.
func (m *Machine) FinishedBy(startBy, runLimit time.Duration) time.Duration {
	return startBy + ClockMargin + m.cfg.Margin + runLimit
}

// Evicted reports whether this boot is evicted and can hold no leases. The shell
// then continues with a new machine and a new boot ID.
func (m *Machine) Evicted() bool { return m.evicted }

func (m *Machine) requestInterval() time.Duration { return m.cfg.Term / requestsPerTerm }

func (m *Machine) sendBy(t time.Duration) { m.nextSendAt = min(m.nextSendAt, t) }

// resetAfterPause resets the counts of unanswered requests after a pause of this
// process, since acknowledgements may be waiting to be read.
func (m *Machine) resetAfterPause(now time.Duration) {
	if now-m.lastStep > pauseThreshold {
		for _, p := range m.peers {
			p.unanswered = 0
		}
	}
	m.lastStep = now
}
