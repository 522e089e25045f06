package lifecycle

import (
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// MaxDrain is the maximum time that a planned stop waits for running requests. No
// request may take longer.
const MaxDrain = topology.MaxDeadline + topology.MaxRunLimit

// Drain counts the operations that a planned stop must wait for. It is safe for
// concurrent use.
type Drain struct {
	mu       sync.Mutex
	active   int
	draining bool
	// idle receives a value when the last operation completes.
	idle chan struct{}
}

// NewDrain returns a Drain without running operations.
func NewDrain() *Drain { return &Drain{idle: make(chan struct{}, 1)} }

// Enter counts an operation as running until the returned function is called.
func (d *Drain) Enter() (leave func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
	var once sync.Once
	return func() { once.Do(d.leave) }
}

// Begin marks the start of the stop. New operations are still counted.
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

// Wait waits until no operation is running or the time limit has passed. It
// reports whether all operations have completed.
func (d *Drain) Wait(limit time.Duration) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		if d.isIdle() {
			return true
		}
		select {
		case <-d.idle:
		case <-timeout.C:
			return d.isIdle()
		}
	}
}

func (d *Drain) isIdle() bool {
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
