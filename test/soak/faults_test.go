package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/harness"
	"github.com/medlarswitch/medlarswitch/platform/standin"
)

// action does something to a world and undoes it after a while. Those that break
// something for the nodes note it in the history.
type action struct {
	name string
	// calm is true for planned work and for faults of leaves, beside which all
	// bounds in time hold.
	calm bool
	run  func(w *world, rnd *rand.Rand, hold time.Duration)
}

var actions = []action{
	{"kill", false, func(w *world, rnd *rand.Rand, _ time.Duration) { pick(rnd, w.nodes).signal(syscall.SIGKILL) }},
	{"kill all", false, func(w *world, _ *rand.Rand, _ time.Duration) {
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
		}
	}},
	{"term", true, func(w *world, rnd *rand.Rand, _ time.Duration) { pick(rnd, w.nodes).terminate() }},
	{"term in turn", true, func(w *world, _ *rand.Rand, _ time.Duration) {
		for _, n := range w.nodes {
			n.terminate()
		}
	}},
	{"term, then hup", true, func(w *world, rnd *rand.Rand, hold time.Duration) {
		n := pick(rnd, w.nodes)
		time.AfterFunc(min(hold, time.Second), func() { n.signal(syscall.SIGHUP) })
		n.terminate()
	}},
	{"pause", false, func(w *world, rnd *rand.Rand, hold time.Duration) {
		n := pick(rnd, w.nodes)
		defer w.history.begin("pause", n.name)()
		n.signal(syscall.SIGSTOP)
		time.Sleep(hold)
		n.signal(syscall.SIGCONT)
	}},
	{"hup", true, func(w *world, rnd *rand.Rand, _ time.Duration) { pick(rnd, w.nodes).signal(syscall.SIGHUP) }},
	{"store down", false, func(w *world, _ *rand.Rand, hold time.Duration) {
		defer w.history.begin("store", "")()
		w.store.SetDown(true)
		time.Sleep(hold)
		w.store.SetDown(false)
	}},
	{"store deaf, then without history", false, func(w *world, _ *rand.Rand, _ time.Duration) {
		defer w.history.begin("store", "")()
		w.store.SetWatchesStalled(true)
		time.Sleep(time.Second)
		w.store.DropHistory()
		w.store.SetWatchesStalled(false)
	}},
	{"way to the store", false, func(w *world, rnd *rand.Rand, hold time.Duration) {
		n := pick(rnd, w.nodes)
		defer w.history.begin("way to the store", n.name)()
		disturb(n.store, rnd, hold)
	}},
	{"way to a seed", false, func(w *world, rnd *rand.Rand, hold time.Duration) {
		defer w.history.begin("way to a seed", "")()
		disturb(pick(rnd, w.nodes).seed, rnd, hold)
	}},
	{"way to a leaf", true, func(w *world, rnd *rand.Rand, hold time.Duration) { disturb(w.pickLeaf(rnd).path, rnd, hold) }},
	{"way to the leaves of a zone", false, func(w *world, rnd *rand.Rand, hold time.Duration) {
		zone, kind := pick(rnd, []string{"a", "b"}), rnd.Uint64()
		for _, l := range w.leaves {
			if l.Zone == zone {
				go disturb(l.path, rand.New(rand.NewPCG(kind, 1)), hold)
			}
		}
		time.Sleep(hold)
	}},
	{"leaf misbehaves", true, func(w *world, rnd *rand.Rand, hold time.Duration) {
		l := w.pickLeaf(rnd)
		good := standin.Behaviour{Body: l.body(), Delay: 5 * time.Millisecond}
		bad := good
		switch rnd.IntN(6) {
		case 0:
			bad.Delay = 400 * time.Millisecond
		case 1:
			bad.Status = 500
		case 2:
			bad.Reset = true
		case 3:
			bad.Shed = true
		case 4:
			bad.WrongRequestID = true
		default:
			bad.NoReceipt = true
		}
		l.SetBehaviour(bad)
		time.Sleep(hold)
		l.SetBehaviour(good)
	}},
	{"leaf leaves", true, func(w *world, rnd *rand.Rand, hold time.Duration) {
		l := w.pickLeaf(rnd)
		if !l.leaving.TryLock() {
			return
		}
		defer l.leaving.Unlock()
		w.register(l, "draining")
		from := time.Now()
		time.Sleep(drainBound + hold)
		w.history.note(func(h *history) { h.drains[l.ID] = append(h.drains[l.ID], fault{from: from, to: time.Now()}) })
		w.register(l, "ready")
	}},
	{"configuration", true, func(w *world, _ *rand.Rand, _ time.Duration) {
		version := w.newest() + 1
		w.configure(version)
		w.history.note(func(h *history) { h.changed[version] = time.Now() })
	}},
}

// disturb delays, resets, silences or holds connections for a while.
func disturb(f *harness.Forwarder, rnd *rand.Rand, hold time.Duration) {
	switch rnd.IntN(5) {
	case 0:
		f.SetDelay(time.Duration(20+rnd.IntN(200)) * time.Millisecond)
		time.Sleep(hold)
		f.SetDelay(0)
	case 1:
		f.Reset()
	case 2:
		f.DropTraffic(harness.ToServer, harness.FromServer)
	case 3:
		f.DropTraffic(harness.FromServer)
	default:
		f.HoldNewConnections(true)
		f.Reset()
		time.Sleep(hold)
		f.HoldNewConnections(false)
		f.Reset()
	}
}

// pickLeaf prefers the leaves that run orders, which are few.
func (w *world) pickLeaf(rnd *rand.Rand) *leaf {
	orders := slices.DeleteFunc(slices.Clone(w.leaves), func(l *leaf) bool { return l.Service != "single" })
	if rnd.IntN(2) == 0 {
		return pick(rnd, orders)
	}
	return pick(rnd, w.leaves)
}

func pick[T any](rnd *rand.Rand, from []T) T { return from[rnd.IntN(len(from))] }

func (h *history) note(change func(h *history)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h)
}
