package lifecycle

import (
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// MaxDrain bounds the wait for running requests at a planned stop. No request
// may take longer.
const MaxDrain = topology.MaxDeadline + topology.MaxRunLimit

// Drain counts the work that a planned stop must wait for. It is safe for
// concurrent use.
type Drain struct {
	mu       sync.Mutex
	active   int
	draining bool
	idle     chan struct{}
}

// NewDrain returns a Drain without work.
func NewDrain() *Drain { return &Drain{idle: make(chan struct{}, 1)} }

// Enter counts one piece of work; the returned function ends it.
func (d *Drain) Enter() (leave func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
	var once sync.Once
	return func() { once.Do(d.leave) }
}

// Begin marks the start of the stop. Work is still accepted.
func (d *Drain) Begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// Draining reports whether the stop has begun.
func (d *Drain) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// Wait returns when no work is left or the time has passed, and reports
// whether all work ended.
func (d *Drain) Wait(limit time.Duration) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		if d.none() {
			return true
		}
		select {
		case <-d.idle:
		case <-timeout.C:
			return d.none()
		}
	}
}

func (d *Drain) none() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active == 0
}

func (d *Drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.active > 0 {
		return
	}
	select {
	case d.idle <- struct{}{}:
	default:
	}
}
