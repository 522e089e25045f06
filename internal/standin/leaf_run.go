package standin

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// startRun acquires a slot for a request, after a wait if none is free, or refuses
// the request. It returns the boot ID under which the request runs.
func (l *Leaf) startRun(ctx context.Context, startBy int64) (boot uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		l.stats.LeavingRefused++
		l.stats.LastRefusedUnixMS = time.Now().UnixMilli()
		return 0, refusal(errs.ReasonLeaving, l.cfg.ID)
	}
	if l.waiting >= queuePerSlot*l.cfg.Slots {
		l.stats.Shed++
		return 0, refusal(errs.ReasonShed, l.cfg.ID)
	}
	for l.running >= l.cfg.Slots {
		if err := l.waitForSlotLocked(ctx); err != nil {
			return 0, err
		}
	}
	if startBy != 0 && time.Now().UnixMilli() > startBy {
		l.stats.LateStarts++
		return 0, refusal(errs.ReasonStartBy, l.cfg.ID)
	}
	l.running++
	if !l.isWarm() && l.running > 1 {
		l.stats.ColdOverloads++
	}
	l.stats.LastWorkUnixMS = time.Now().UnixMilli()
	return l.boot, nil
}

// waitForSlotLocked waits until a slot may be free. The caller holds l.mu, which
// is released during the wait.
func (l *Leaf) waitForSlotLocked(ctx context.Context) error {
	free := l.slotFree
	l.waiting++
	l.mu.Unlock()
	var err error
	select {
	case <-free:
	case <-ctx.Done():
		err = ctx.Err()
	}
	l.mu.Lock()
	l.waiting--
	return err
}

// endRun releases the slot of a request. A request of an earlier boot holds none,
// because a crash releases all slots.
func (l *Leaf) endRun(boot uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if boot != l.boot {
		return
	}
	l.running--
	l.served++
	close(l.slotFree)
	l.slotFree = make(chan struct{})
}

func (l *Leaf) isWarm() bool { return l.served >= l.cfg.WarmAfter }

// runTime returns a random run time with a tail: 1 request in 50 takes 4 times as
// long.
func (l *Leaf) runTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := time.Duration(float64(l.cfg.Latency) * (0.8 + 0.4*rand.Float64()))
	if rand.IntN(50) == 0 {
		d *= 4
	}
	if !l.isWarm() {
		d *= coldSlowdown
	}
	return d + l.extraRunTime
}

func (l *Leaf) servesSnapshot(s *medlarv1.Snapshot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.GetPartitionGeneration() == l.cfg.PartitionGeneration &&
		slices.Contains(l.cfg.IndexVersions, s.GetIndexVersion())
}

// newestSnapshot returns the newest snapshot that the leaf serves.
func (l *Leaf) newestSnapshot() *medlarv1.Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &medlarv1.Snapshot{
		IndexVersion: slices.Max(l.cfg.IndexVersions), PartitionGeneration: l.cfg.PartitionGeneration,
	}
}

func (l *Leaf) countRun(requestID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[requestID]++
	l.stats.Executions++
	if l.runs[requestID] > 1 {
		l.stats.RepeatedRuns++
	}
	return l.runs[requestID]
}

// Runs returns how often the leaf started a non-idempotent request.
func (l *Leaf) Runs(requestID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[requestID]
}

func (l *Leaf) updateStats(f func(*LeafStats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.stats)
}

func (l *Leaf) bootID() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.boot
}
