package standin

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// StoreFaults are the failures that a Store shows on demand.
type StoreFaults struct {
	mu          sync.Mutex
	down        bool
	delay       time.Duration
	lostReplies int
}

// SetDown makes every call fail, or ends that.
func (f *StoreFaults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay delays every call.
func (f *StoreFaults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseReplies makes the next n writes apply and then fail.
func (f *StoreFaults) LoseReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostReplies = n
}

// Faults returns the failures of the store, to be changed at any time.
func (s *Store) Faults() *StoreFaults { return &s.faults }

func (f *StoreFaults) check() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return connect.NewError(connect.CodeUnavailable, errors.New("store is down"))
	}
	return nil
}

func (f *StoreFaults) wait(ctx context.Context) error {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *StoreFaults) takeLostReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostReplies == 0 {
		return false
	}
	f.lostReplies--
	return true
}
