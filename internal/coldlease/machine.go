package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Machine holds the leases and promises of one relay. It is not safe for
// concurrent use.
type Machine struct {
	cfg   Config
	nonce uint64

	// listVersion is 0 before the first list.
	listVersion uint64
	// listed is true while the list names this VM; firstListed is the version
	// of the first such list, firstListedAt when it was read.
	listed             bool
	firstListedVersion uint64
	firstListedAt      time.Duration
	peers              map[topology.VMID]*peer
	freeSlots          []int
	slotCount          int
	// lastDropAt is the latest droppedAt of the peers that were forgotten.
	lastDropAt time.Duration

	leases   map[topology.LeafID]*leaseState
	inFlight map[topology.LeafID]int
	promises map[topology.LeafID]promise
	rounds   []round
	// unreleased holds unwanted leaves for which peers may still have promises to
	// this boot, and until when.
	unreleased map[topology.LeafID]time.Duration
	// queuedReleases are leaves to give back with the next request.
	queuedReleases map[topology.LeafID]struct{}

	// evictions holds when each entry was first read.
	evictions        map[Eviction]time.Duration
	evictionsVersion uint64
	evictionsRead    bool
	evicted          bool

	maxRunLimit time.Duration
	wake        time.Duration
	nextSweep   time.Duration
	lastStep    time.Duration
}

// New returns the machine of a process that has just started.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:            cfg,
		peers:          map[topology.VMID]*peer{},
		lastDropAt:     never,
		leases:         map[topology.LeafID]*leaseState{},
		inFlight:       map[topology.LeafID]int{},
		promises:       map[topology.LeafID]promise{},
		unreleased:     map[topology.LeafID]time.Duration{},
		queuedReleases: map[topology.LeafID]struct{}{},
		evictions:      map[Eviction]time.Duration{},
		wake:           forever,
		nextSweep:      cfg.StartedAt + cfg.Term,
		lastStep:       cfg.StartedAt,
	}
}

// Step applies an event and returns what the shell has to do.
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

// NextWake returns when Step has something to do without another event.
func (m *Machine) NextWake(now time.Duration) (time.Duration, bool) {
	wake := m.wake
	if len(m.promises) > 0 || len(m.unreleased) > 0 || len(m.rounds) > 0 {
		wake = min(wake, m.nextSweep)
	}
	return max(wake, now), wake < forever
}

// Held reports whether this relay may send requests to a cold leaf now. The
// start-by of such a request must not be after until.
func (m *Machine) Held(now time.Duration, id topology.LeafID) (until time.Duration, ok bool) {
	l := m.leases[id]
	if l == nil {
		return 0, false
	}
	until = m.leaseExpiry(now, l) - ClockMargin
	return until, until > now
}

// FinishedBy returns when a request without an answer has certainly left the leaf.
func (m *Machine) FinishedBy(startBy, runLimit time.Duration) time.Duration {
	return startBy + ClockMargin + m.cfg.Margin + runLimit
}

// Evicted reports whether this boot is evicted. It then gets no leases; the
// shell starts over with a new machine and a new boot ID.
func (m *Machine) Evicted() bool { return m.evicted }

func (m *Machine) requestInterval() time.Duration { return m.cfg.Term / requestsPerTerm }

func (m *Machine) wakeAt(t time.Duration) { m.wake = min(m.wake, t) }

// resetAfterPause forgets which peers are silent after a pause of this process, since
// their answers may be waiting.
func (m *Machine) resetAfterPause(now time.Duration) {
	if now-m.lastStep > pauseThreshold {
		for _, p := range m.peers {
			p.unanswered = 0
		}
	}
	m.lastStep = now
}
